use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_kernel::TimerService;
use hollyhook_platform::{ObjectKind, StoreChange, StoreFault, StoreObject, StorePage};
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};

use crate::net::dial;
use crate::pool::PooledConnection;

/// How long a connection to the store may take; it answers within milliseconds from within the region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a call other than a watch may take: a slow store was seen to take 0.3 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How much longer than asked for a watch may take.
const WATCH_SLACK: Duration = Duration::from_millis(800);
/// The most bytes of one answer; the store states about 1 MB a page.
const MOST_BYTES: usize = 4 << 20;

/// Why a call to the store gave nothing.
#[derive(Debug)]
pub(crate) enum StoreError {
    /// No answer, or one that says that nothing was done.
    Away(&'static str),
    /// The history that a watch asks for is gone: list again.
    HistoryGone,
    /// Too many calls.
    Throttled,
    /// The answer can't be understood.
    Malformed(StoreFault),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Away(why) => write!(f, "the store is away: {why}"),
            Self::HistoryGone => f.write_str("the history after the watched revision is gone"),
            Self::Throttled => f.write_str("the store takes no more calls for now"),
            Self::Malformed(fault) => fault.fmt(f),
        }
    }
}

/// Calls the platform's store over one kept connection.
pub(crate) struct StoreClient {
    timer: TimerService,
    /// Where the store is now.
    address: Box<dyn Fn() -> SocketAddr + Send + Sync>,
    connection: Option<StoreConnection>,
    /// The store whose revisions the last list gave.
    listed_at: Option<SocketAddr>,
}

struct StoreConnection {
    address: SocketAddr,
    inner: PooledConnection,
}

impl StoreClient {
    pub(crate) fn new(timer: TimerService, address: impl Fn() -> SocketAddr + Send + Sync + 'static) -> Self {
        Self { timer, address: Box::new(address), connection: None, listed_at: None }
    }

    /// All objects of a kind, and the revision to watch from.
    pub(crate) async fn list(&mut self, kind: ObjectKind) -> Result<(Vec<StoreObject>, u64), StoreError> {
        self.listed_at = Some((self.address)());
        let mut objects = Vec::new();
        let mut first_revision = None;
        let mut after = None;
        loop {
            let path = hollyhook_platform::list_path(kind, after.as_deref());
            let body = self.call(&path, CALL_TIMEOUT).await?;
            let page: StorePage = hollyhook_platform::decode_page(&body).map_err(StoreError::Malformed)?;
            objects.extend(page.objects);
            // Changes between two pages are seen again by a watch from the first page's revision.
            let revision = *first_revision.get_or_insert(page.revision);
            match page.next_after {
                Some(name) => after = Some(name),
                None => return Ok((objects, revision)),
            }
        }
    }

    /// Waits up to `wait` for changes of a kind after a revision.
    pub(crate) async fn watch(
        &mut self,
        kind: ObjectKind,
        revision: u64,
        wait: Duration,
    ) -> Result<(Vec<StoreChange>, u64), StoreError> {
        if self.listed_at != Some((self.address)()) {
            // The store has moved; the revisions of another one mean nothing there.
            return Err(StoreError::HistoryGone);
        }
        let path = hollyhook_platform::watch_path(kind, revision, wait);
        let body = self.call(&path, wait + WATCH_SLACK).await?;
        hollyhook_platform::decode_change(&body).map_err(StoreError::Malformed)
    }

    async fn call(&mut self, path: &str, limit: Duration) -> Result<Bytes, StoreError> {
        let timer = self.timer.clone();
        let outcome = timer.within(limit, self.exchange(path)).await;
        match outcome {
            Some(Ok(body)) => Ok(body),
            Some(Err(error)) => Err(error),
            None => {
                // A connection on which an answer was lost returns nothing further.
                self.connection = None;
                Err(StoreError::Away("no answer in time"))
            }
        }
    }

    async fn exchange(&mut self, path: &str) -> Result<Bytes, StoreError> {
        let address = (self.address)();
        let kept = self.connection.take().filter(|kept| kept.address == address && kept.inner.is_ready());
        let mut connection = match kept {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        let response = connection.inner.send(request(address, path)?).await;
        let response = response.map_err(|_fault| StoreError::Away("the connection broke"))?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::GONE => return Err(StoreError::HistoryGone),
            StatusCode::TOO_MANY_REQUESTS => return Err(StoreError::Throttled),
            _ => return Err(StoreError::Away("it turned the call away")),
        }
        let body = Limited::new(response.into_body(), MOST_BYTES).collect().await;
        let body = body.map_err(|_error| StoreError::Away("the answer was cut off"))?.to_bytes();
        self.connection = Some(connection);
        Ok(body)
    }

    async fn connect(&self, address: SocketAddr) -> Result<StoreConnection, StoreError> {
        let stream = dial(&self.timer, address, CONNECT_TIMEOUT).await;
        let stream = stream.map_err(|_error| StoreError::Away("no connection"))?;
        let inner = PooledConnection::start(stream).await.map_err(|_error| StoreError::Away("no connection"))?;
        Ok(StoreConnection { address, inner })
    }
}

impl fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreClient").field("address", &(self.address)()).finish_non_exhaustive()
    }
}

fn request(address: SocketAddr, path: &str) -> Result<Request<Full<Bytes>>, StoreError> {
    let request = Request::get(path).header(header::HOST, address.to_string()).body(Full::default());
    request.map_err(|_error| StoreError::Away("the path is not valid"))
}
