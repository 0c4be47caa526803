use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::task;
use hollyhook_core::{AttemptNumber, EndpointRefusal, Error, ErrorKind, GenerationId, LoadReport, Result};
use hollyhook_wire::{
    ApiErrorBody, ApiStyle, CallerRequest, EngineExtension, HttpServer, LOAD_HEADER, ServerLimits, body_channel,
};
use serde::Deserialize;
use tide::{Request, Response, StatusCode};

use super::engine_batch::EngineBatch;
use super::engine_shared::EngineShared;
use super::stream_task::StreamTask;
use super::{EngineCounts, EngineOptions};
use crate::fault::{FaultOrder, FaultState, serve};

/// Chunks of a stream that are buffered for a reader that is behind.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// A running engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineStandIn {
    address: SocketAddr,
    shared: Arc<EngineShared>,
}

impl EngineStandIn {
    /// Starts the stand-in and listens on `address`; with port 0 the system picks a free port.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if the stand-in can't listen on `address`.
    pub fn start(address: SocketAddr, options: EngineOptions) -> Result<Self> {
        let server = HttpServer::bind(address, ServerLimits::default().idle_timeout(Duration::from_mins(10)))?;
        let faults = Arc::new(FaultState::new(server.gate(), options.is_own_process));
        let address = server.address();
        let capacity = options.capacity;
        let shared = Arc::new(EngineShared {
            batch: Mutex::new(EngineBatch::new(options.clone())),
            options,
            faults: Arc::clone(&faults),
            cut_epoch: AtomicU64::new(0),
            silence_epoch: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_load_hidden: AtomicBool::new(false),
            reported_load: Mutex::new(LoadReport { capacity, ..LoadReport::default() }),
        });
        task::spawn(run_batch(Arc::clone(&shared)));
        task::spawn(refresh_load(Arc::clone(&shared)));
        task::spawn(serve(server, routes(Arc::clone(&shared)), faults));
        Ok(Self { address, shared })
    }

    /// The address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The work and events so far.
    pub fn counts(&self) -> EngineCounts {
        self.shared.batch().total_counts()
    }

    /// Injects a fault, as `POST /admin/fault` does.
    pub fn inject_fault(&self, order: FaultOrder) {
        self.shared.inject_fault(order);
    }
}

/// Runs the decode steps at a fixed rate until the engine dies; steps missed during a pause are skipped.
async fn run_batch(shared: Arc<EngineShared>) {
    let mut next = Instant::now();
    while !shared.faults.is_dead() {
        next += shared.options.step;
        task::sleep(next.saturating_duration_since(Instant::now())).await;
        if shared.faults.is_paused() {
            shared.faults.wait_pause().await;
            next = Instant::now();
        }
        shared.batch().step(Instant::now());
    }
}

/// Refreshes the reported load every `load_lag` until the engine dies.
async fn refresh_load(shared: Arc<EngineShared>) {
    while !shared.faults.is_dead() {
        let load = shared.batch().load();
        *shared.reported_load.lock().unwrap_or_else(PoisonError::into_inner) = load;
        task::sleep(shared.options.load_lag).await;
    }
}

fn routes(shared: Arc<EngineShared>) -> tide::Server<Arc<EngineShared>> {
    let mut app = tide::with_state(shared);
    app.at(ApiStyle::Completion.path()).post(|request| generate(request, ApiStyle::Completion));
    app.at(ApiStyle::Chat.path()).post(|request| generate(request, ApiStyle::Chat));
    app.at("/v1/generations/:id").get(state).delete(cancel);
    app.at("/v1/generations/:id/stream").get(attach);
    app.at("/v1/load").get(load);
    app.at("/health").get(|_request| async { Ok("ok") });
    app.at("/admin/counts").get(counts);
    app.at("/admin/fault").post(fault);
    app
}

async fn generate(mut request: Request<Arc<EngineShared>>, style: ApiStyle) -> tide::Result {
    let bytes = request.body_bytes().await?;
    let shared = Arc::clone(request.state());
    if shared.is_leaving.load(Ordering::SeqCst) {
        return Ok(refusal_response(EndpointRefusal::Busy));
    }
    let parsed = CallerRequest::parse(style, &bytes).and_then(|caller| {
        let extension = caller.body.get("hollyhook").cloned().unwrap_or_default();
        let extension: EngineExtension = serde_json::from_value(extension)
            .map_err(|error| Error::new(ErrorKind::InvalidRequest, error.to_string()).param("hollyhook"))?;
        Ok((caller, extension))
    });
    let (caller, extension) = match parsed {
        Ok(parsed) => parsed,
        Err(error) => return Ok(ApiErrorBody::response(&error).into()),
    };
    let (id, attempt) = (extension.generation, extension.attempt);
    let from = extension.resume_tokens.len();
    let submitted = shared.batch().submit(&caller, extension);
    match submitted {
        Ok(notifications) => Ok(stream_response(shared, id, attempt, from, notifications)),
        Err(refusal) => Ok(refusal_response(refusal)),
    }
}

async fn attach(request: Request<Arc<EngineShared>>) -> tide::Result {
    #[derive(Deserialize)]
    struct AttachQuery {
        attempt: AttemptNumber,
        from: usize,
    }
    let shared = Arc::clone(request.state());
    let Ok(id) = GenerationId::from_str(request.param("id")?) else {
        return Ok(refusal_response(EndpointRefusal::NotHeld));
    };
    let query: AttachQuery = request.query()?;
    let attached = shared.batch().attach(id, query.attempt);
    match attached {
        Ok(notifications) => Ok(stream_response(shared, id, query.attempt, query.from, notifications)),
        Err(refusal) => Ok(refusal_response(refusal)),
    }
}

async fn state(request: Request<Arc<EngineShared>>) -> tide::Result {
    let Ok(id) = GenerationId::from_str(request.param("id")?) else {
        return Ok(refusal_response(EndpointRefusal::NotHeld));
    };
    let state = request.state().batch().state(id);
    match state {
        Some(state) => json_response(&state),
        None => Ok(refusal_response(EndpointRefusal::NotHeld)),
    }
}

async fn cancel(request: Request<Arc<EngineShared>>) -> tide::Result {
    #[derive(Deserialize)]
    struct CancelQuery {
        attempt: AttemptNumber,
    }
    let Ok(id) = GenerationId::from_str(request.param("id")?) else {
        return Ok(refusal_response(EndpointRefusal::NotHeld));
    };
    let query: CancelQuery = request.query()?;
    let was_held = request.state().batch().cancel(id, query.attempt);
    Ok(if was_held { Response::new(StatusCode::Ok) } else { refusal_response(EndpointRefusal::NotHeld) })
}

async fn load(request: Request<Arc<EngineShared>>) -> tide::Result {
    json_response(&request.state().load())
}

async fn counts(request: Request<Arc<EngineShared>>) -> tide::Result {
    let counts = request.state().batch().total_counts();
    json_response(&counts)
}

async fn fault(mut request: Request<Arc<EngineShared>>) -> tide::Result {
    let order: FaultOrder = request.body_json().await?;
    request.state().inject_fault(order);
    Ok(Response::new(StatusCode::Ok))
}

fn refusal_response(refusal: EndpointRefusal) -> Response {
    Response::new(match refusal {
        EndpointRefusal::Busy => StatusCode::ServiceUnavailable,
        EndpointRefusal::Unable => StatusCode::UnprocessableEntity,
        EndpointRefusal::NotHeld => StatusCode::NotFound,
        EndpointRefusal::Superseded => StatusCode::Conflict,
        EndpointRefusal::Invalid => StatusCode::BadRequest,
    })
}

fn json_response(value: &impl serde::Serialize) -> tide::Result {
    Ok(Response::builder(StatusCode::Ok).body(tide::Body::from_json(value)?).build())
}

/// Builds the response that streams a generation's tokens from a position on, and spawns the task that sends them.
fn stream_response(
    shared: Arc<EngineShared>,
    id: GenerationId,
    attempt: AttemptNumber,
    from: usize,
    notifications: Receiver<()>,
) -> Response {
    let (sender, body) = body_channel(STREAM_BUFFER_CHUNKS);
    let load = serde_json::to_string(&shared.load()).unwrap_or_default();
    let stream_task = StreamTask::new(shared, id, attempt, from);
    task::spawn(stream_task.run(sender, notifications));
    Response::builder(StatusCode::Ok).content_type("text/event-stream").header(LOAD_HEADER, load).body(body).build()
}
