use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::{
    CrashRecords, EraVerdict, HostRecord, Name, OriginSnapshot, RolloutOrder, StoreLatency, StoreRevision, TimePoint,
};
use hollyhook_kernel::TimerService;
use hollyhook_platform::{ObjectKind, RolloutStatus, StoreChange, StoreObject, StorePage, TrialReport};
use http::{Method, Response, StatusCode};

use super::StoreError;
use super::late_reads::{EndedRead, LateReads, ReadFuture, ReadQuery};
use super::partial_list::PartialList;
use crate::gateway::GatewayContext;
use crate::net::{PersistentClient, build_request};
use crate::peer::FeedState;

/// Timeout of calls that list hosts or write this host's own objects. No request waits for these calls.
const HOST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A successful answer to a read.
struct StoreAnswer {
    /// The era of the store.
    era: u64,
    body: Bytes,
    sent_at: TimePoint,
}

/// A page of a list, as read from the store.
#[derive(Debug)]
pub(super) struct ReadPage {
    /// The era of the store.
    pub(super) era: u64,
    pub(super) page: StorePage,
    /// When the page was requested; later changes may be missing.
    pub(super) sent_at: TimePoint,
}

/// Client of the platform's store; sends one call after another over one persistent connection.
pub(crate) struct StoreClient {
    timer: TimerService,
    client: PersistentClient,
    /// Tracks the newest era of the store that this host has seen, in answers of the store or of other hosts.
    feed: Arc<FeedState>,
    /// Returns the store's current address, which a reload of the settings may change.
    address: Box<dyn Fn() -> SocketAddr + Send + Sync>,
    /// Address of the store at which the last list began; revisions of a store at another address are not comparable.
    listed_address: Option<SocketAddr>,
    /// Reads that may still be answered after their time limit; `None` where an answer must not be older than its call.
    late_reads: Option<LateReads>,
}

impl StoreClient {
    /// Timeout of calls that read and write crash records, write roll-out states, or list trial reports.
    pub(crate) const SHARED_RECORD_TIMEOUT: Duration = Duration::from_millis(700);

    pub(crate) fn new(context: &Arc<GatewayContext>) -> Self {
        let address_context = Arc::clone(context);
        let timer = TimerService::clone(&context.timer);
        Self {
            client: PersistentClient::new(timer.clone()),
            timer,
            feed: Arc::clone(&context.feed),
            address: Box::new(move || address_context.store_address()),
            listed_address: None,
            late_reads: None,
        }
    }

    /// Uses an answer that comes after its read's time limit, as long as the same is still to be read. The time limits of
    /// reads are then the caller's, and don't follow the store's latency.
    pub(crate) fn late_reads(mut self) -> Self {
        self.late_reads = Some(LateReads::default());
        self
    }

    /// Gives up reads whose time limit has passed: what they may return is older than what is known by now.
    pub(crate) fn forget_late_reads(&mut self) {
        if let Some(late_reads) = &mut self.late_reads {
            late_reads.clear();
        }
    }

    /// Lists all objects of a kind, and returns them with the revision to watch from.
    ///
    /// # Errors
    ///
    /// `HistoryGone` if the store was restored from an older copy between two pages; otherwise why a page was not read
    /// within `timeout`, which applies to each page.
    pub(crate) async fn list(
        &mut self,
        kind: ObjectKind,
        timeout: Duration,
    ) -> Result<(Vec<StoreObject>, StoreRevision), StoreError> {
        self.listed_address = Some((self.address)());
        self.read_pages(|after| hollyhook_platform::list_path(kind, after), timeout).await
    }

    /// Reads the page of objects of a kind that follow the name `after`.
    ///
    /// # Errors
    ///
    /// `HistoryGone` if the store's address changed since the first page; otherwise why the page was not read within
    /// `timeout`.
    pub(super) async fn list_page(
        &mut self,
        kind: ObjectKind,
        after: Option<&str>,
        timeout: Duration,
    ) -> Result<ReadPage, StoreError> {
        let address = (self.address)();
        if after.is_none() {
            self.listed_address = Some(address);
        } else if self.listed_address != Some(address) {
            // The store's address changed since the first page; pages of two stores don't form one list.
            return Err(StoreError::HistoryGone);
        }
        self.read_page(&hollyhook_platform::list_path(kind, after), timeout).await
    }

    async fn read_page(&mut self, path: &str, timeout: Duration) -> Result<ReadPage, StoreError> {
        let StoreAnswer { era, body, sent_at } = self.read(path, Duration::ZERO, timeout).await?;
        self.feed.observe_latency(self.timer.now().since(sent_at));
        let page: StorePage = hollyhook_platform::decode_page(&body).map_err(StoreError::Malformed)?;
        if page.unnamed_count > 0 {
            tracing::error!(count = page.unnamed_count, "store.objects_nameless");
        }
        Ok(ReadPage { era, page, sent_at })
    }

    /// Lists the registered hosts of an availability zone; the list may be some seconds old.
    pub(crate) async fn list_hosts(&mut self, zone: &str) -> Result<Vec<StoreObject>, StoreError> {
        let (objects, _revision) =
            self.read_pages(|after| hollyhook_platform::host_list_path(zone, after), HOST_TIMEOUT).await?;
        Ok(objects)
    }

    async fn read_pages(
        &mut self,
        path: impl Fn(Option<&str>) -> String,
        timeout: Duration,
    ) -> Result<(Vec<StoreObject>, StoreRevision), StoreError> {
        let mut list = PartialList::new(self.timer.now());
        loop {
            let page = self.read_page(&path(list.after.as_deref()), timeout).await?;
            list.add_page(page)?;
            if list.after.is_none() {
                return Ok((list.objects, list.revision.unwrap_or_default()));
            }
        }
    }

    /// Waits up to `wait` for changes of a kind after a revision, and returns them with the revision to watch from
    /// next.
    ///
    /// # Errors
    ///
    /// `HistoryGone` if the revision is of another store or era, or the store no longer has all changes after it;
    /// otherwise why no answer was read within `timeout`.
    pub(crate) async fn watch(
        &mut self,
        kind: ObjectKind,
        revision: StoreRevision,
        wait: Duration,
        timeout: Duration,
    ) -> Result<(Vec<StoreChange>, StoreRevision), StoreError> {
        if self.listed_address != Some((self.address)()) {
            // The store's address changed since the list; a revision of one store means nothing to another.
            return Err(StoreError::HistoryGone);
        }
        if self.feed.era() != revision.era {
            return Err(StoreError::HistoryGone);
        }
        let path = hollyhook_platform::watch_path(kind, revision.number, wait);
        let StoreAnswer { era, body, sent_at } = self.read(&path, wait, timeout).await?;
        if era != revision.era {
            // The store was restored from an older copy: its changes after this revision are not all that changed.
            return Err(StoreError::HistoryGone);
        }
        let (changes, number) = hollyhook_platform::decode_changes(&body).map_err(StoreError::Malformed)?;
        if changes.is_empty() {
            self.feed.observe_latency(self.timer.now().since(sent_at + wait));
        }
        Ok((changes, StoreRevision::new(era, number)))
    }

    /// Creates or replaces this host's entry in the list of hosts.
    pub(crate) async fn register_host(&mut self, record: &HostRecord) -> Result<(), StoreError> {
        let body = hollyhook_platform::encode_host(record).map_err(StoreError::Malformed)?;
        let create = hollyhook_platform::host_create_path(&record.zone);
        let replace = hollyhook_platform::host_path(&record.zone, &record.host);
        self.create_or_replace(&create, &replace, Bytes::from(body)).await
    }

    /// Creates or replaces the object with this host's reports on versions on trial.
    pub(crate) async fn write_trials(&mut self, host: &Name, reports: &[TrialReport]) -> Result<(), StoreError> {
        let body = hollyhook_platform::encode_trials(host, reports).map_err(StoreError::Malformed)?;
        let create = hollyhook_platform::create_path(ObjectKind::Trial);
        let replace = hollyhook_platform::object_path(ObjectKind::Trial, host);
        self.create_or_replace(create, &replace, Bytes::from(body)).await
    }

    /// Creates an object, or replaces it unconditionally if it exists, since no other host writes it.
    async fn create_or_replace(&mut self, create: &str, replace: &str, body: Bytes) -> Result<(), StoreError> {
        match self.call(Method::POST, create, body.clone(), HOST_TIMEOUT).await {
            Err(StoreError::Conflict) => self.call(Method::PUT, replace, body, HOST_TIMEOUT).await.map(|_answer| ()),
            outcome => outcome.map(|_answer| ()),
        }
    }

    /// Reads one object by its name.
    pub(crate) async fn read_object(&mut self, kind: ObjectKind, name: &str) -> Result<StoreObject, StoreError> {
        let path = hollyhook_platform::object_path(kind, name);
        let answer = self.read(&path, Duration::ZERO, Self::SHARED_RECORD_TIMEOUT).await?;
        hollyhook_platform::decode_object(&answer.body).map_err(StoreError::Malformed)
    }

    /// Writes the crash records of requests into the status of an endpoint's entry.
    ///
    /// # Errors
    ///
    /// `Conflict` if the entry was changed since it was read; otherwise why the call failed.
    pub(crate) async fn write_crashes(
        &mut self,
        entry: &StoreObject,
        records: &CrashRecords,
    ) -> Result<(), StoreError> {
        let body = hollyhook_platform::encode_crashes(entry, records).map_err(StoreError::Malformed)?;
        let path = hollyhook_platform::status_path(ObjectKind::Endpoint, &entry.name);
        self.call(Method::PUT, &path, Bytes::from(body), Self::SHARED_RECORD_TIMEOUT).await.map(|_answer| ())
    }

    /// Writes the state of a roll-out into the status of its order.
    ///
    /// # Errors
    ///
    /// `Conflict` if the order or its status was changed since it was read; otherwise why the call failed.
    pub(crate) async fn write_rollout(
        &mut self,
        object: &StoreObject,
        order: &RolloutOrder,
        status: &RolloutStatus,
        rejected: &BTreeSet<Name>,
    ) -> Result<(), StoreError> {
        let body = hollyhook_platform::encode_rollout_status(object, order, status, rejected);
        let body = body.map_err(StoreError::Malformed)?;
        let path = hollyhook_platform::status_path(ObjectKind::Rollout, &object.name);
        self.call(Method::PUT, &path, Bytes::from(body), Self::SHARED_RECORD_TIMEOUT).await.map(|_answer| ())
    }

    /// Writes the record of the versions of a service whose streams may still come back; `replaced` is the record as it
    /// was read.
    ///
    /// # Errors
    ///
    /// `Conflict` if the record was created or changed since it was read; otherwise why the call failed.
    pub(crate) async fn write_versions(
        &mut self,
        service: &Name,
        replaced: Option<&StoreObject>,
        versions: &BTreeSet<Name>,
    ) -> Result<(), StoreError> {
        let body = hollyhook_platform::encode_versions(service, replaced, versions).map_err(StoreError::Malformed)?;
        let (method, path) = match replaced {
            None => (Method::POST, hollyhook_platform::create_path(ObjectKind::Version).to_owned()),
            Some(object) => (Method::PUT, hollyhook_platform::object_path(ObjectKind::Version, &object.name)),
        };
        self.call(method, &path, Bytes::from(body), Self::SHARED_RECORD_TIMEOUT).await.map(|_answer| ())
    }

    /// Reads the object with a host's origin snapshot; `None` if there is none.
    pub(crate) async fn read_origins(&mut self, host: &Name) -> Result<Option<StoreObject>, StoreError> {
        match self.read_object(ObjectKind::Origin, host).await {
            Ok(object) => Ok(Some(object)),
            Err(StoreError::Missing) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes a host's origin snapshot, and returns the new revision of its object; `replaced` is the revision as it was
    /// read.
    ///
    /// # Errors
    ///
    /// `Conflict` if the object was created or changed since it was read; otherwise why the call failed.
    pub(crate) async fn write_origins(
        &mut self,
        host: &Name,
        replaced: Option<u64>,
        snapshot: &OriginSnapshot,
    ) -> Result<u64, StoreError> {
        let body = hollyhook_platform::encode_origins(host, replaced, snapshot).map_err(StoreError::Malformed)?;
        let (method, path) = match replaced {
            None => (Method::POST, hollyhook_platform::create_path(ObjectKind::Origin).to_owned()),
            Some(_) => (Method::PUT, hollyhook_platform::object_path(ObjectKind::Origin, host)),
        };
        let (_era, body) = self.call(method, &path, Bytes::from(body), Self::SHARED_RECORD_TIMEOUT).await?;
        let object = hollyhook_platform::decode_object(&body).map_err(StoreError::Malformed)?;
        Ok(object.revision)
    }

    /// Sends one write, and returns the era and the body of a successful response.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(u64, Bytes), StoreError> {
        let address = (self.address)();
        let request = build_request(method, address, path, body)?;
        let response = self.client.call(address, request, self.feed.latency().limit(timeout)).await?;
        let era = self.check_response(&response)?;
        Ok((era, response.into_body()))
    }

    /// Reads what a path names; `wait` is the time for which the path asks the store to wait before it answers.
    ///
    /// # Errors
    ///
    /// Why no successful response was read within `timeout`, which follows the store's latency unless late reads are kept.
    async fn read(&mut self, path: &str, wait: Duration, timeout: Duration) -> Result<StoreAnswer, StoreError> {
        let query = ReadQuery { address: (self.address)(), path: path.to_owned(), wait, sent_at: self.timer.now() };
        let request = build_request(Method::GET, query.address, path, Bytes::new())?;
        let Some(late_reads) = &mut self.late_reads else {
            let timeout = wait + self.feed.latency().limit(timeout.saturating_sub(wait));
            let response = self.client.call(query.address, request, timeout).await?;
            return self.answer(&query, response);
        };
        let client = PersistentClient::new(self.timer.clone());
        let mut client = std::mem::replace(&mut self.client, client);
        let own_query = query.clone();
        let read: ReadFuture = Box::pin(async move {
            let outcome = client.call(own_query.address, request, wait + StoreLatency::MAX_LIMIT).await;
            EndedRead { query: own_query, client, outcome }
        });
        let (timer, feed) = (&self.timer, &self.feed);
        // The answer to another read still shows how long the store takes.
        let observe = |late: &ReadQuery| feed.observe_latency(timer.now().since(late.sent_at + late.wait));
        let ended = late_reads.answer(timer, &query, read, timeout, observe).await;
        let ended = ended.ok_or(StoreError::Unavailable("no response within the time limit"))?;
        let EndedRead { query, client, outcome } = ended;
        self.client = client;
        let answer = self.answer(&query, outcome?)?;
        self.forget_late_reads();
        Ok(answer)
    }

    fn answer(&self, query: &ReadQuery, response: Response<Bytes>) -> Result<StoreAnswer, StoreError> {
        let era = self.check_response(&response)?;
        Ok(StoreAnswer { era, body: response.into_body(), sent_at: query.sent_at })
    }

    /// Returns the era that a successful response states.
    fn check_response(&self, response: &Response<Bytes>) -> Result<u64, StoreError> {
        let era = self.check_era(response)?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => Ok(era),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            StatusCode::CONFLICT => Err(StoreError::Conflict),
            StatusCode::NOT_FOUND => Err(StoreError::Missing),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::Throttled),
            _ => Err(StoreError::Rejected),
        }
    }

    /// Returns the era that a response states, zero if none, and records an era newer than any seen before.
    ///
    /// # Errors
    ///
    /// `Unavailable` if a successful response states an older era than the newest one seen, or none although one was
    /// seen; an error response is not used beyond its status, and passes.
    fn check_era(&self, response: &Response<Bytes>) -> Result<u64, StoreError> {
        let stated = hollyhook_platform::store_era(response.headers()).map_err(StoreError::Malformed)?;
        let before = self.feed.era();
        match self.feed.observe_era(stated) {
            EraVerdict::Same => {}
            EraVerdict::Newer => tracing::info!(before, era = stated, "store.era"),
            EraVerdict::Older | EraVerdict::Missing if !response.status().is_success() => {}
            EraVerdict::Older | EraVerdict::Missing => {
                tracing::error!(newest = before, era = stated, "store.era_wrong");
                return Err(StoreError::Unavailable("the response states an older era than seen before, or none"));
            }
        }
        Ok(stated.unwrap_or_default())
    }
}

impl fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreClient").field("address", &(self.address)()).finish_non_exhaustive()
    }
}
