use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use futures::future::{AbortHandle, abortable};
use hollyhook_core::{CursorSeal, Error, ErrorKind, Result, RetryBudget};
use hollyhook_kernel::{Mailbox, ServiceRegistry, SystemClock, TimerService};
use hollyhook_settings::{LimitSettings, ProcessSettings, SiteSettings};
use hollyhook_wire::{
    ConnectionGate, EngineClient, HttpServer, PeerServer, PlatformClient, ServerLimits, StatusReport, serve_peers,
};

use super::status::{host_report, status_report};
use crate::call::ClaimService;
use crate::fleet::{CancelCommand, FleetTable, HostContext, ProbeService, ResumeService, run_cancels, run_load_polls};
use crate::front::{FrontState, serve_callers};
use crate::relay::TraceStore;
use hollyhook_telemetry::MetricRecorder;

/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Initial and maximum balance of the retry budget, in retries.
const RETRY_RESERVE: f64 = 20.0;

/// A running daemon of an entry host.
#[derive(Debug)]
pub struct Daemon {
    address: SocketAddr,
    peer_address: SocketAddr,
    gate: ConnectionGate,
    context: Arc<HostContext>,
    tasks: Vec<AbortHandle>,
}

impl Daemon {
    /// Starts a daemon; its listeners accept connections when this returns.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if a listen address can't be bound or metrics can't be sent to the statsd address.
    pub async fn start(settings: ProcessSettings, site: SiteSettings) -> Result<Self> {
        let server = HttpServer::bind(settings.listen, server_limits(&site.limits))?;
        let peer_listener = TcpListener::bind(settings.peer_listen).await.map_err(|error| {
            let message = format!("can't listen at {}: {error}", settings.peer_listen);
            Error::new(ErrorKind::InvalidSetting, message).param("peer_listen")
        })?;
        let address = server.address();
        let peer_address = peer_listener.local_addr().unwrap_or(settings.peer_listen);
        let gate = server.gate();

        let (cancels, cancel_commands) = Mailbox::bounded(CancelCommand::MAILBOX, CancelCommand::CAPACITY);
        let registry = register_services(&settings, site, cancels)?;
        let engine = EngineClient::new(CONNECT_TIMEOUT);
        let context = Arc::new(HostContext::from_registry(&registry, &settings, engine)?);
        let mut daemon =
            Self { address, peer_address, gate: gate.clone(), context: Arc::clone(&context), tasks: Vec::new() };
        daemon.spawn(run_cancels(Arc::clone(&context), cancel_commands));
        daemon.spawn(run_load_polls(Arc::clone(&context)));
        daemon.spawn(flush_metrics(Arc::clone(&context)));
        daemon.spawn(serve_peers(peer_listener, daemon.peer_server()));
        let state = FrontState { context: Arc::clone(&context), gate };
        task::spawn(serve_callers(server, state));
        tracing::info!(host = %context.host, zone = %context.zone, address = %address, peers = %peer_address,
            config = %context.site.digest, "daemon.started");
        Ok(daemon)
    }

    /// The address at which the daemon serves callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address at which the daemon serves other daemons and the operator's command.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// The status that the operator's command shows.
    pub fn status(&self) -> StatusReport {
        status_report(&self.context, &self.gate)
    }

    /// Stops accepting requests, waits for the requests in progress, and stops the daemon.
    ///
    /// Returns whether all requests ended within the drain timeout; those that did not are no longer waited for.
    pub async fn drain(self) -> bool {
        let in_progress = self.gate.requests();
        tracing::info!(host = %self.context.host, requests = in_progress, "daemon.draining");
        self.gate.drain();
        let timeout = self.context.site.limits.drain_timeout;
        let is_idle = self.context.timer.within(timeout, self.gate.wait_idle()).await.is_some();
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

    fn spawn(&mut self, future: impl Future<Output = ()> + Send + 'static) {
        let (task, handle) = abortable(future);
        self.tasks.push(handle);
        task::spawn(task);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.gate.drain();
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Registers the services that the daemon's components look up by name.
fn register_services(
    settings: &ProcessSettings,
    site: SiteSettings,
    cancels: Mailbox<CancelCommand>,
) -> Result<ServiceRegistry> {
    let registry = ServiceRegistry::default();
    let limits = site.limits.clone();
    let site = registry.register(HostContext::SITE, site)?;
    let timer = registry.register(TimerService::NAME, TimerService::from(SystemClock::start()))?;
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
    registry.register(CancelCommand::MAILBOX, cancels)?;
    registry.register(ResumeService::NAME, ResumeService::new(limits.resumes))?;
    registry.register(TraceStore::NAME, TraceStore::default())?;
    registry.register(ProbeService::NAME, ProbeService::new())?;
    registry.register(HostContext::RETRY_BUDGET, Mutex::new(RetryBudget::new(limits.retry_share, RETRY_RESERVE)))?;
    let platform = settings.platform.map(PlatformClient::new);
    registry.register(ClaimService::NAME, ClaimService::start(platform.as_ref(), &recorder, &timer, limits.key_age))?;
    Ok(registry)
}

/// Flushes buffered metrics to statsd once a second.
async fn flush_metrics(context: Arc<HostContext>) {
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
