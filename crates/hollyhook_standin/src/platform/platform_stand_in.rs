use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use hollyhook_core::Result;
use hollyhook_wire::{HttpServer, ObjectList, ObjectVersion, ServerLimits};
use serde::{Deserialize, Serialize};
use tide::{Request, Response, StatusCode};

use super::object_store::{MAX_VALUE_BYTES, ObjectStore};
use crate::fault::{FaultOrder, FaultState, cut_response, serve};

/// Upper limit on how long a watch waits for changes, whatever wait the client requests.
const MAX_WATCH_WAIT: Duration = Duration::from_mins(1);

/// Options of a platform stand-in, set with chained methods.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlatformOptions {
    is_own_process: bool,
}

impl PlatformOptions {
    /// Declares that the stand-in has its process to itself: [`FaultKind::Die`](crate::FaultKind::Die) exits the process.
    #[must_use]
    pub fn own_process(mut self) -> Self {
        self.is_own_process = true;
        self
    }
}

/// Calls to a platform stand-in; the body of the answer to `GET /admin/counts`.
///
/// Calls during an outage are counted too.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of single objects and of lists.
    pub reads: u64,
    /// Writes, rejected ones included.
    pub writes: u64,
    /// Watches: requests for the changes after a revision, which may wait for a change.
    pub watches: u64,
    /// Writes rejected because their condition on the object's version did not hold.
    pub conflicts: u64,
}

/// A running platform stand-in.
#[derive(Debug, Clone)]
pub struct PlatformStandIn {
    address: SocketAddr,
    shared: Arc<PlatformShared>,
}

#[derive(Debug)]
struct PlatformShared {
    store: Mutex<ObjectStore>,
    counts: Mutex<PlatformCounts>,
    faults: Arc<FaultState>,
}

impl PlatformShared {
    fn store(&self) -> MutexGuard<'_, ObjectStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counts(&self) -> MutexGuard<'_, PlatformCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PlatformStandIn {
    /// Starts the stand-in and listens on `address`; with port 0 the system picks a free port.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if the stand-in can't listen on `address`.
    pub fn start(address: SocketAddr, options: PlatformOptions) -> Result<Self> {
        let server = HttpServer::bind(address, ServerLimits::default())?;
        let faults = Arc::new(FaultState::new(server.gate(), options.is_own_process));
        let address = server.address();
        let shared =
            Arc::new(PlatformShared { store: Mutex::default(), counts: Mutex::default(), faults: Arc::clone(&faults) });
        let mut app = tide::with_state(Arc::clone(&shared));
        app.at("/objects/:kind").get(list);
        app.at("/objects/:kind/:name").get(get).put(put);
        app.at("/admin/counts").get(counts);
        app.at("/admin/fault").post(fault);
        task::spawn(serve(server, app, faults));
        Ok(Self { address, shared })
    }

    /// The address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The calls so far.
    pub fn counts(&self) -> PlatformCounts {
        *self.shared.counts()
    }

    /// Injects a fault, as `POST /admin/fault` does.
    pub fn inject_fault(&self, order: FaultOrder) {
        self.shared.faults.apply(order);
    }
}

async fn get(request: Request<Arc<PlatformShared>>) -> tide::Result {
    let shared = request.state();
    shared.counts().reads += 1;
    if shared.faults.has_outage() {
        return Ok(unavailable_response());
    }
    let object = shared.store().get(request.param("kind")?, request.param("name")?).cloned();
    match object {
        Some(object) => json_response(&object),
        None => Ok(Response::new(StatusCode::NotFound)),
    }
}

async fn list(request: Request<Arc<PlatformShared>>) -> tide::Result {
    #[derive(Deserialize)]
    struct ListQuery {
        after: Option<ObjectVersion>,
        #[serde(default)]
        wait_ms: u64,
    }
    let shared = Arc::clone(request.state());
    let query: ListQuery = request.query()?;
    let kind = request.param("kind")?;
    match query.after {
        None => shared.counts().reads += 1,
        Some(_) => shared.counts().watches += 1,
    }
    if shared.faults.has_outage() {
        return Ok(unavailable_response());
    }
    let Some(after) = query.after else {
        let list = shared.store().list(kind);
        return json_response(&list);
    };
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WATCH_WAIT);
    let found = async_std::future::timeout(wait, wait_for_changes(&shared, kind, after)).await;
    match found {
        Ok(list) => json_response(&list),
        Err(_) => json_response(&ObjectList { revision: after, changes: Vec::new() }),
    }
}

/// Waits until a kind has changes after a revision, and lists them.
async fn wait_for_changes(shared: &PlatformShared, kind: &str, after: ObjectVersion) -> ObjectList {
    loop {
        let (list, change_signal) = {
            let store = shared.store();
            (store.changes(kind, after), store.change_signal())
        };
        if !list.changes.is_empty() {
            return list;
        }
        let _closed = change_signal.recv().await;
    }
}

async fn put(mut request: Request<Arc<PlatformShared>>) -> tide::Result {
    let bytes = request.body_bytes().await?;
    let shared = Arc::clone(request.state());
    shared.counts().writes += 1;
    if shared.faults.has_outage() {
        return Ok(unavailable_response());
    }
    if bytes.len() > MAX_VALUE_BYTES {
        return Ok(Response::new(StatusCode::PayloadTooLarge));
    }
    let value = serde_json::from_slice(&bytes)?;
    let header = |name: &str| request.header(name).map(|values| values.as_str().to_owned());
    let expected = match (header("if-match"), header("if-none-match").as_deref()) {
        (Some(version), None) => Some(ObjectVersion(version.parse()?)),
        (None, Some("*")) => None,
        _ => return Ok(Response::new(StatusCode::PreconditionRequired)),
    };
    let written = shared.store().put(request.param("kind")?, request.param("name")?, expected, value);
    if written.is_ok() && shared.faults.take_lost_reply() {
        return Ok(cut_response());
    }
    match written {
        Ok(version) => json_response(&version),
        Err(_condition) => {
            shared.counts().conflicts += 1;
            Ok(Response::new(StatusCode::PreconditionFailed))
        }
    }
}

async fn counts(request: Request<Arc<PlatformShared>>) -> tide::Result {
    let counts = *request.state().counts();
    json_response(&counts)
}

async fn fault(mut request: Request<Arc<PlatformShared>>) -> tide::Result {
    let order: FaultOrder = request.body_json().await?;
    request.state().faults.apply(order);
    Ok(Response::new(StatusCode::Ok))
}

fn unavailable_response() -> Response {
    Response::new(StatusCode::ServiceUnavailable)
}

fn json_response(value: &impl Serialize) -> tide::Result {
    Ok(Response::builder(StatusCode::Ok).body(tide::Body::from_json(value)?).build())
}
