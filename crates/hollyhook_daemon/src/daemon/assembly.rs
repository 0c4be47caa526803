use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use futures::future::{AbortHandle, abortable};
use hollyhook_core::{CursorSeal, Error, ErrorKind, Result, RetryBudget};
use hollyhook_kernel::{Mailbox, ServiceRegistry, TimerService, WallClock};
use hollyhook_settings::{LimitSettings, ProcessSettings, SiteSettings};
use hollyhook_wire::{
    ConnectionGate, EngineClient, HttpServer, PeerServer, PlatformClient, ServerLimits, StatusReport, serve_peers,
};

use super::status::{host_report, status_report};
use crate::call::ClaimService;
use crate::fleet::{CancelOrder, FleetTable, HostContext, ProbeService, ResumeService, run_cancels, run_load_polls};
use crate::front::{FrontState, serve_front};
use crate::relay::TraceStore;
use hollyhook_telemetry::MetricRecorder;

/// How long a connection to an endpoint may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Retries that the budget saves up.
const RETRY_RESERVE: f64 = 20.0;

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    address: SocketAddr,
    peer_address: SocketAddr,
    gate: ConnectionGate,
    context: Arc<HostContext>,
    tasks: Vec<AbortHandle>,
}

impl Daemon {
    /// Starts a daemon; it serves when this returns.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if an address can't be listened at or sent to.
    pub async fn start(settings: ProcessSettings, site: SiteSettings) -> Result<Self> {
        let server = HttpServer::bind(settings.listen, server_limits(&site.limits))?;
        let peers = TcpListener::bind(settings.peer_listen).await.map_err(|error| {
            let message = format!("can't listen at {}: {error}", settings.peer_listen);
            Error::new(ErrorKind::InvalidSetting, message).param("peer_listen")
        })?;
        let address = server.address();
        let peer_address = peers.local_addr().unwrap_or(settings.peer_listen);
        let gate = server.gate();

        let (mailbox, orders) = Mailbox::bounded(CancelOrder::SERVICE, CancelOrder::CAPACITY);
        let registry = register(&settings, site, mailbox)?;
        let engine = EngineClient::new(CONNECT_TIMEOUT);
        let context = Arc::new(HostContext::find(&registry, &settings, engine)?);
        let mut daemon =
            Self { address, peer_address, gate: gate.clone(), context: Arc::clone(&context), tasks: Vec::new() };
        daemon.spawn(run_cancels(Arc::clone(&context), orders));
        daemon.spawn(run_load_polls(Arc::clone(&context)));
        daemon.spawn(run_flushes(Arc::clone(&context)));
        daemon.spawn(serve_peers(peers, daemon.peer_server()));
        let state = FrontState { context: Arc::clone(&context), gate };
        task::spawn(serve_front(server, state));
        tracing::info!(host = %context.host, zone = %context.zone, address = %address, peers = %peer_address,
            config = %context.site.digest, "daemon.started");
        Ok(daemon)
    }

    /// Where it serves callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where it serves other daemons and the operator's command.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// What it shows an operator.
    pub fn status(&self) -> StatusReport {
        status_report(&self.context, &self.gate)
    }

    /// Stops taking requests, waits until those that have begun have ended, and stops.
    ///
    /// Returns whether all ended within the drain timeout.
    pub async fn drain(self) -> bool {
        let begun = self.gate.requests();
        tracing::info!(host = %self.context.host, requests = begun, "daemon.draining");
        self.gate.drain();
        let limit = self.context.site.limits.drain_timeout;
        let is_idle = self.context.timer.within(limit, self.gate.idle()).await.is_some();
        tracing::info!(host = %self.context.host, is_idle, "daemon.stopped");
        is_idle
    }

    fn peer_server(&self) -> PeerServer {
        let (context, gate) = (Arc::clone(&self.context), self.gate.clone());
        let (status_context, status_gate) = (Arc::clone(&self.context), self.gate.clone());
        let traces = Arc::clone(&self.context.traces);
        PeerServer::new(move || host_report(&context, &gate))
            .status(move || status_report(&status_context, &status_gate))
            .trace(move |generation| traces.find(generation))
    }

    fn spawn(&mut self, work: impl Future<Output = ()> + Send + 'static) {
        let (work, handle) = abortable(work);
        self.tasks.push(handle);
        task::spawn(work);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.gate.drain();
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Registers the services that the parts of a daemon find by name.
fn register(settings: &ProcessSettings, site: SiteSettings, cancels: Mailbox<CancelOrder>) -> Result<ServiceRegistry> {
    let registry = ServiceRegistry::default();
    let limits = site.limits.clone();
    let site = registry.register(HostContext::SITE, site)?;
    let timer = registry.register(TimerService::NAME, TimerService::from(WallClock::start()))?;
    let recorder = match settings.statsd {
        Some(address) => MetricRecorder::with_statsd(address, &settings.host)?,
        None => MetricRecorder::default(),
    };
    let recorder = registry.register(MetricRecorder::NAME, recorder)?;
    registry.register(FleetTable::NAME, FleetTable::new(&settings.host, &settings.zone, &site))?;
    let mut seal = CursorSeal::new(&settings.cursor_key, limits.cursor_age);
    if let Some(previous) = &settings.previous_cursor_key {
        seal = seal.previous_key(previous);
    }
    registry.register(HostContext::SEAL, seal)?;
    registry.register(CancelOrder::SERVICE, cancels)?;
    registry.register(ResumeService::NAME, ResumeService::new(limits.resumes))?;
    registry.register(TraceStore::NAME, TraceStore::default())?;
    registry.register(ProbeService::NAME, ProbeService::new())?;
    registry.register(HostContext::RETRIES, Mutex::new(RetryBudget::new(limits.retry_share, RETRY_RESERVE)))?;
    let platform = settings.platform.map(PlatformClient::new);
    registry.register(ClaimService::NAME, ClaimService::start(platform.as_ref(), &recorder, &timer, limits.key_age))?;
    Ok(registry)
}

/// Keeps metrics no older than a second.
async fn run_flushes(context: Arc<HostContext>) {
    const INTERVAL: Duration = Duration::from_secs(1);
    loop {
        context.timer.wait(INTERVAL).await;
        context.recorder.flush();
    }
}

fn server_limits(limits: &LimitSettings) -> ServerLimits {
    ServerLimits::default()
        .connections(limits.connections)
        .read_timeout(limits.read_timeout)
        .write_timeout(limits.write_timeout)
        .idle_timeout(limits.idle_timeout)
}
