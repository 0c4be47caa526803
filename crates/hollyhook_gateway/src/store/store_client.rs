use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::{CrashRecords, EraVerdict, HostRecord, Name, RolloutOrder, StoreRevision};
use hollyhook_kernel::TimerService;
use hollyhook_platform::{FormatError, ObjectKind, RolloutStatus, StoreChange, StoreObject, StorePage, TrialReport};
use http::{Method, Response, StatusCode};

use crate::gateway::GatewayContext;
use crate::net::{ExchangeError, PersistentClient, build_request};
use crate::peer::FeedBoard;

/// How long a call about hosts may take; nobody waits for it.
const HOST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a call to the store gave nothing.
#[derive(Debug)]
pub(crate) enum StoreError {
    /// No answer, or one that says that nothing was done.
    Away(&'static str),
    /// The history that a watch asks for is gone: list again.
    HistoryGone,
    /// Too many calls.
    Throttled,
    /// The object to be created exists, or the one to be changed has changed.
    Exists,
    /// The answer can't be understood.
    Malformed(FormatError),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Away(why) => write!(f, "the store is away: {why}"),
            Self::HistoryGone => f.write_str("the history after the watched revision is gone"),
            Self::Throttled => f.write_str("the store takes no more calls for now"),
            Self::Exists => f.write_str("the object exists, or is another one now"),
            Self::Malformed(fault) => fault.fmt(f),
        }
    }
}

impl From<ExchangeError> for StoreError {
    fn from(fault: ExchangeError) -> Self {
        Self::Away(fault.0)
    }
}

/// Calls the platform's store over one kept connection.
pub(crate) struct StoreClient {
    client: PersistentClient,
    /// Where the eras of the store are known that others heard of.
    feed: Arc<FeedBoard>,
    /// Where the store is now.
    address: Box<dyn Fn() -> SocketAddr + Send + Sync>,
    /// The store whose revisions the last list gave.
    listed_at: Option<SocketAddr>,
}

impl StoreClient {
    /// How long a call about what hosts note may take.
    pub(crate) const NOTE_TIMEOUT: Duration = Duration::from_millis(700);

    pub(crate) fn new(context: &Arc<GatewayContext>) -> Self {
        let of_address = Arc::clone(context);
        Self {
            client: PersistentClient::new(TimerService::clone(&context.timer)),
            feed: Arc::clone(&context.feed),
            address: Box::new(move || of_address.store_address()),
            listed_at: None,
        }
    }

    /// All objects of a kind, and the revision to watch from; each page within `limit`.
    pub(crate) async fn list(
        &mut self,
        kind: ObjectKind,
        limit: Duration,
    ) -> Result<(Vec<StoreObject>, StoreRevision), StoreError> {
        self.listed_at = Some((self.address)());
        self.pages(|after| hollyhook_platform::list_path(kind, after), limit).await
    }

    /// One page of the objects of a kind, from after a name, and the era that it is of.
    ///
    /// # Errors
    ///
    /// Why there was no answer, within `limit`.
    pub(crate) async fn list_page(
        &mut self,
        kind: ObjectKind,
        after: Option<&str>,
        limit: Duration,
    ) -> Result<(u64, StorePage), StoreError> {
        let address = (self.address)();
        if after.is_none() {
            self.listed_at = Some(address);
        } else if self.listed_at != Some(address) {
            // The store has moved; pages of two of them are no list.
            return Err(StoreError::HistoryGone);
        }
        self.page(&hollyhook_platform::list_path(kind, after), limit).await
    }

    async fn page(&mut self, path: &str, limit: Duration) -> Result<(u64, StorePage), StoreError> {
        let (era, body) = self.call(Method::GET, path, Bytes::new(), limit).await?;
        let page: StorePage = hollyhook_platform::decode_page(&body).map_err(StoreError::Malformed)?;
        if page.unnamed_count > 0 {
            tracing::error!(count = page.unnamed_count, "store.objects_nameless");
        }
        Ok((era, page))
    }

    /// The hosts of an availability zone as they were registered some seconds ago.
    pub(crate) async fn list_hosts(&mut self, zone: &str) -> Result<Vec<StoreObject>, StoreError> {
        let (objects, _revision) =
            self.pages(|after| hollyhook_platform::host_list_path(zone, after), HOST_TIMEOUT).await?;
        Ok(objects)
    }

    async fn pages(
        &mut self,
        path: impl Fn(Option<&str>) -> String,
        limit: Duration,
    ) -> Result<(Vec<StoreObject>, StoreRevision), StoreError> {
        let mut objects = Vec::new();
        let mut first_revision = None;
        let mut after = None;
        loop {
            let (era, page) = self.page(&path(after.as_deref()), limit).await?;
            objects.extend(page.objects);
            // Changes between two pages are seen again by a watch from the first page's revision.
            let read_at = StoreRevision::new(era, page.revision);
            let revision = *first_revision.get_or_insert(read_at);
            if revision.era != era {
                // The store came back from a copy between two pages; together they are the list of no moment.
                return Err(StoreError::HistoryGone);
            }
            match page.next_after {
                Some(name) => after = Some(name),
                None => return Ok((objects, revision)),
            }
        }
    }

    /// Waits up to `wait` for changes of a kind after a revision; the answer has to come within `limit`.
    pub(crate) async fn watch(
        &mut self,
        kind: ObjectKind,
        revision: StoreRevision,
        wait: Duration,
        limit: Duration,
    ) -> Result<(Vec<StoreChange>, StoreRevision), StoreError> {
        if self.listed_at != Some((self.address)()) {
            // The store has moved; the revisions of another one mean nothing there.
            return Err(StoreError::HistoryGone);
        }
        if self.feed.era() != revision.era {
            return Err(StoreError::HistoryGone);
        }
        let path = hollyhook_platform::watch_path(kind, revision.number, wait);
        let (era, body) = self.call(Method::GET, &path, Bytes::new(), limit).await?;
        if era != revision.era {
            // Since it came back from a copy, what it counts from this revision on is not what has changed.
            return Err(StoreError::HistoryGone);
        }
        let (changes, number) = hollyhook_platform::decode_changes(&body).map_err(StoreError::Malformed)?;
        Ok((changes, StoreRevision::new(era, number)))
    }

    /// Writes this host's entry, whether there is one or not.
    pub(crate) async fn register_host(&mut self, member: &HostRecord) -> Result<(), StoreError> {
        let body = hollyhook_platform::encode_host(member).map_err(StoreError::Malformed)?;
        let create = hollyhook_platform::host_create_path(&member.zone);
        let replace = hollyhook_platform::host_path(&member.zone, &member.host);
        self.write_own(&create, &replace, Bytes::from(body)).await
    }

    /// Writes what this host saw of versions on trial, whether there is an object for it or not.
    pub(crate) async fn write_trials(&mut self, host: &Name, reports: &[TrialReport]) -> Result<(), StoreError> {
        let body = hollyhook_platform::encode_trials(host, reports).map_err(StoreError::Malformed)?;
        let create = hollyhook_platform::create_path(ObjectKind::Trial);
        let replace = hollyhook_platform::object_path(ObjectKind::Trial, host);
        self.write_own(create, &replace, Bytes::from(body)).await
    }

    /// Creates an object that no other host writes, or replaces it.
    async fn write_own(&mut self, create: &str, replace: &str, body: Bytes) -> Result<(), StoreError> {
        match self.call(Method::POST, create, body.clone(), HOST_TIMEOUT).await {
            Err(StoreError::Exists) => self.call(Method::PUT, replace, body, HOST_TIMEOUT).await.map(|_answer| ()),
            outcome => outcome.map(|_answer| ()),
        }
    }

    /// One object.
    pub(crate) async fn read(&mut self, kind: ObjectKind, name: &str) -> Result<StoreObject, StoreError> {
        let path = hollyhook_platform::object_path(kind, name);
        let (_era, body) = self.call(Method::GET, &path, Bytes::new(), Self::NOTE_TIMEOUT).await?;
        hollyhook_platform::decode_object(&body).map_err(StoreError::Malformed)
    }

    /// Writes what was noted of requests that end endpoints at an endpoint's entry.
    ///
    /// # Errors
    ///
    /// `Exists` if the entry has changed since it was read.
    pub(crate) async fn write_crashes(
        &mut self,
        entry: &StoreObject,
        records: &CrashRecords,
    ) -> Result<(), StoreError> {
        let body = hollyhook_platform::encode_crashes(entry, records).map_err(StoreError::Malformed)?;
        let path = hollyhook_platform::status_path(ObjectKind::Endpoint, &entry.name);
        self.call(Method::PUT, &path, Bytes::from(body), Self::NOTE_TIMEOUT).await.map(|_answer| ())
    }

    /// Writes how far a roll-out is.
    ///
    /// # Errors
    ///
    /// `Exists` if the order, or what stands there of it, has changed since it was read.
    pub(crate) async fn write_rollout(
        &mut self,
        object: &StoreObject,
        order: &RolloutOrder,
        status: &RolloutStatus,
    ) -> Result<(), StoreError> {
        let body = hollyhook_platform::encode_rollout_status(object, order, status).map_err(StoreError::Malformed)?;
        let path = hollyhook_platform::status_path(ObjectKind::Rollout, &object.name);
        self.call(Method::PUT, &path, Bytes::from(body), Self::NOTE_TIMEOUT).await.map(|_answer| ())
    }

    /// One call; the era that its answer is of, and its body.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(u64, Bytes), StoreError> {
        let address = (self.address)();
        let request = build_request(method, address, path, body)?;
        let response = self.client.call(address, request, limit).await?;
        let era = self.judge_era(&response)?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => Ok((era, response.into_body())),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            StatusCode::CONFLICT => Err(StoreError::Exists),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::Throttled),
            _ => Err(StoreError::Away("it turned the call away")),
        }
    }

    /// The era of an answer, if it may be believed.
    fn judge_era(&self, response: &Response<Bytes>) -> Result<u64, StoreError> {
        let told = hollyhook_platform::store_era(response.headers()).map_err(StoreError::Malformed)?;
        let before = self.feed.era();
        match self.feed.judge_era(told) {
            EraVerdict::Same => {}
            EraVerdict::Newer => tracing::info!(before, era = told, "store.era"),
            EraVerdict::Older | EraVerdict::Missing if !response.status().is_success() => {}
            EraVerdict::Older | EraVerdict::Missing => {
                tracing::error!(newest = before, era = told, "store.era_wrong");
                return Err(StoreError::Away("its answer is of another era than it told before"));
            }
        }
        Ok(told.unwrap_or_default())
    }
}

impl fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreClient").field("address", &(self.address)()).finish_non_exhaustive()
    }
}
