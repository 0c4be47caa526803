use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::task;
use hollyhook_core::{AttemptNumber, EndpointRefusal, Error, ErrorKind, GenerationId, LoadReport, Result};
use hollyhook_wire::{
    ApiErrorBody, ApiStyle, CallerRequest, EngineExtension, HttpServer, LOAD_FIELD, ServerLimits, feed_body,
};
use serde::Deserialize;
use tide::{Request, Response, StatusCode};

use super::engine_batch::EngineBatch;
use super::engine_shared::EngineShared;
use super::stream_pump::StreamPump;
use super::{EngineCounts, EngineOptions};
use crate::fault::{FaultCommand, FaultState, serve};

/// Pieces that a stream may be ahead of its reader.
const FEED_CAPACITY: usize = 64;

/// A running engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineStandIn {
    address: SocketAddr,
    shared: Arc<EngineShared>,
}

impl EngineStandIn {
    /// Starts an engine at `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if the address can't be listened at.
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
            is_lying: AtomicBool::new(false),
            reported: Mutex::new(LoadReport { capacity, ..LoadReport::default() }),
        });
        task::spawn(run_steps(Arc::clone(&shared)));
        task::spawn(run_reports(Arc::clone(&shared)));
        task::spawn(serve(server, routes(Arc::clone(&shared)), faults));
        Ok(Self { address, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it has done.
    pub fn counts(&self) -> EngineCounts {
        self.shared.batch().total_counts()
    }

    /// Lets it suffer a fault.
    pub fn inject_fault(&self, order: FaultCommand) {
        self.shared.inject_fault(order);
    }
}

async fn run_steps(shared: Arc<EngineShared>) {
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

async fn run_reports(shared: Arc<EngineShared>) {
    while !shared.faults.is_dead() {
        let load = shared.batch().load();
        *shared.reported.lock().unwrap_or_else(PoisonError::into_inner) = load;
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
        return Ok(refuse(EndpointRefusal::Busy));
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
        Ok(wake) => Ok(stream(shared, id, attempt, from, wake)),
        Err(refusal) => Ok(refuse(refusal)),
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
        return Ok(refuse(EndpointRefusal::NotHeld));
    };
    let query: AttachQuery = request.query()?;
    let attached = shared.batch().attach(id, query.attempt);
    match attached {
        Ok(wake) => Ok(stream(shared, id, query.attempt, query.from, wake)),
        Err(refusal) => Ok(refuse(refusal)),
    }
}

async fn state(request: Request<Arc<EngineShared>>) -> tide::Result {
    let Ok(id) = GenerationId::from_str(request.param("id")?) else {
        return Ok(refuse(EndpointRefusal::NotHeld));
    };
    let state = request.state().batch().state(id);
    match state {
        Some(state) => json(&state),
        None => Ok(refuse(EndpointRefusal::NotHeld)),
    }
}

async fn cancel(request: Request<Arc<EngineShared>>) -> tide::Result {
    #[derive(Deserialize)]
    struct CancelQuery {
        attempt: AttemptNumber,
    }
    let Ok(id) = GenerationId::from_str(request.param("id")?) else {
        return Ok(refuse(EndpointRefusal::NotHeld));
    };
    let query: CancelQuery = request.query()?;
    let was_held = request.state().batch().cancel(id, query.attempt);
    Ok(if was_held { Response::new(StatusCode::Ok) } else { refuse(EndpointRefusal::NotHeld) })
}

async fn load(request: Request<Arc<EngineShared>>) -> tide::Result {
    json(&request.state().load())
}

async fn counts(request: Request<Arc<EngineShared>>) -> tide::Result {
    let counts = request.state().batch().total_counts();
    json(&counts)
}

async fn fault(mut request: Request<Arc<EngineShared>>) -> tide::Result {
    let order: FaultCommand = request.body_json().await?;
    request.state().inject_fault(order);
    Ok(Response::new(StatusCode::Ok))
}

fn refuse(refusal: EndpointRefusal) -> Response {
    Response::new(match refusal {
        EndpointRefusal::Busy => StatusCode::ServiceUnavailable,
        EndpointRefusal::Unable => StatusCode::UnprocessableEntity,
        EndpointRefusal::NotHeld => StatusCode::NotFound,
        EndpointRefusal::Superseded => StatusCode::Conflict,
        EndpointRefusal::Invalid => StatusCode::BadRequest,
    })
}

fn json(value: &impl serde::Serialize) -> tide::Result {
    Ok(Response::builder(StatusCode::Ok).body(tide::Body::from_json(value)?).build())
}

fn stream(
    shared: Arc<EngineShared>,
    id: GenerationId,
    attempt: AttemptNumber,
    from: usize,
    wake: Receiver<()>,
) -> Response {
    let (feed, body) = feed_body(FEED_CAPACITY);
    let load = serde_json::to_string(&shared.load()).unwrap_or_default();
    let pump = StreamPump::new(shared, id, attempt, from);
    task::spawn(pump.run(feed, wake));
    Response::builder(StatusCode::Ok).content_type("text/event-stream").header(LOAD_FIELD, load).body(body).build()
}
