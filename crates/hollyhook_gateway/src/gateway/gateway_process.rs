use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use hollyhook_core::{Error, ErrorKind, HostRecord, Name, Result, ZoneName};
use hollyhook_kernel::ServiceRegistry;
use hollyhook_settings::GatewaySettings;
use hollyhook_wire::listen;

use super::GatewayContext;
use crate::front::{log_readiness, metrics_response, readiness_response, serve_callers, serve_status};
use crate::peer::{HostRegistrar, serve_peers};
use crate::store::{EndpointWatch, RolloutWatch, SiteWatch, SnapshotRecorder, VersionRecorder};

/// How often idle connections past their keep-alive are closed.
const CLOSE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a gateway that shuts down checks whether all requests have ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    context: Arc<GatewayContext>,
    address: SocketAddr,
    ready_address: SocketAddr,
    metrics_address: Option<SocketAddr>,
}

impl Gateway {
    /// Starts a gateway.
    ///
    /// It accepts connections when this function returns, and serves callers once it has read the configuration.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if the process can't listen at an address of the settings.
    pub fn start(settings: &GatewaySettings) -> Result<Self> {
        let registry = ServiceRegistry::default();
        GatewayContext::register(&registry, settings)?;
        let context = Arc::new(GatewayContext::find(&registry, settings)?);
        let front = bind(settings.listen, "listen")?;
        let ready = bind(settings.ready_listen, "ready_listen")?;
        let address = front.local_addr().unwrap_or(settings.listen);
        let ready_address = ready.local_addr().unwrap_or(settings.ready_listen);
        task::spawn(serve_callers(front, Arc::clone(&context)));
        task::spawn(serve_status(ready, Arc::clone(&context), readiness_response));
        let metrics_address = serve_metrics(settings, &context)?;
        share_feed(settings, &context)?;
        task::spawn(SiteWatch::new(Arc::clone(&context)).run());
        task::spawn(EndpointWatch::new(Arc::clone(&context)).run());
        task::spawn(RolloutWatch::new(Arc::clone(&context)).run());
        task::spawn(VersionRecorder::new(Arc::clone(&context)).run());
        task::spawn(SnapshotRecorder::new(Arc::clone(&context)).run());
        task::spawn(Arc::clone(&context.connector).run_checks());
        task::spawn(close_expired_connections(Arc::clone(&context)));
        task::spawn(log_readiness(Arc::clone(&context)));
        tracing::info!(host = %context.host, zone = %context.zone, listen = %settings.listen, store = %settings.store,
            "gateway.started");
        Ok(Self { context, address, ready_address, metrics_address })
    }

    /// The address at which the gateway serves callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address at which the gateway answers readiness checks.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// The address at which the gateway serves metrics; `None` if the settings name none.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_address
    }

    /// Applies changed settings: the bounds and the address of the store. Other changes take effect after a restart.
    pub fn reload(&self, settings: &GatewaySettings) {
        self.context.reload(settings);
        tracing::info!(store = %settings.store, "gateway.reloaded");
    }

    /// Shuts down gracefully, and returns whether all requests ended within the grace period.
    ///
    /// The host reports to the load balancer that it is not ready, serves the callers that still arrive, and waits for
    /// the running requests.
    pub async fn drain(self) -> bool {
        let timer = &self.context.timer;
        let began_at = timer.now();
        self.context.begin_stop();
        tracing::info!(requests = self.context.load.requests(), "gateway.stopping");
        timer.wait(self.context.stop_plan().accept_period()).await;
        while timer.now().since(began_at) < self.context.stop_plan().usable_grace() {
            if self.context.load.try_close() {
                tracing::info!("gateway.stopped");
                return true;
            }
            timer.wait(STOP_CHECK_INTERVAL).await;
        }
        tracing::warn!(requests = self.context.load.requests(), "gateway.cut_off");
        false
    }
}

fn serve_metrics(settings: &GatewaySettings, context: &Arc<GatewayContext>) -> Result<Option<SocketAddr>> {
    let Some(address) = settings.metrics_listen else {
        return Ok(None);
    };
    let listener = bind(address, "metrics_listen")?;
    let address = listener.local_addr().unwrap_or(address);
    task::spawn(serve_status(listener, Arc::clone(context), metrics_response));
    Ok(Some(address))
}

/// Serves this host's copy of the store to other hosts, and registers the host; does nothing if the settings name no
/// address for peers.
fn share_feed(settings: &GatewaySettings, context: &Arc<GatewayContext>) -> Result<()> {
    let Some(address) = settings.peer_listen else {
        return Ok(());
    };
    let listener = bind(address, "peer_listen")?;
    let address = listener.local_addr().unwrap_or(address);
    let own = HostRecord {
        host: Name::clone(&context.host),
        zone: ZoneName::clone(&context.zone),
        address,
        link_mbps: settings.link_mbps,
    };
    context.feed.begin_listing();
    task::spawn(serve_peers(listener, Arc::clone(context)));
    task::spawn(HostRegistrar::new(Arc::clone(context), own).run());
    Ok(())
}

fn bind(address: SocketAddr, key: &'static str) -> Result<async_std::net::TcpListener> {
    listen(address).map_err(|error| {
        Error::new(ErrorKind::InvalidSetting, format!("can't listen at {address}: {error}")).param(key)
    })
}

async fn close_expired_connections(context: Arc<GatewayContext>) {
    loop {
        context.timer.wait(CLOSE_INTERVAL).await;
        context.pool.close_expired();
    }
}
