use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::ReadinessWait;
use http::{Response, StatusCode};
use http_body_util::Full;

use crate::gateway::GatewayContext;
use crate::net::text_response;

/// How often it is checked whether this host has become ready; the balancer asks about as often.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);

/// Responds to the balancer's readiness check: 200 if this host admits callers, 503 with what it waits for if not, 404 for
/// another path.
pub(crate) fn readiness_response(context: &GatewayContext, path: &str) -> Response<Full<Bytes>> {
    if !hollyhook_platform::is_readiness_path(path) {
        return text_response(StatusCode::NOT_FOUND, "");
    }
    match context.readiness_wait() {
        None => text_response(StatusCode::OK, ""),
        Some(wait) => text_response(StatusCode::SERVICE_UNAVAILABLE, wait_text(wait)),
    }
}

fn wait_text(wait: ReadinessWait) -> &'static str {
    match wait {
        ReadinessWait::Configuration => "waits for the configuration",
        ReadinessWait::Endpoints => "waits for the list of endpoints",
        ReadinessWait::Confirmation => "waits for a confirmation of the configuration",
        ReadinessWait::Shutdown => "is shutting down",
    }
}

/// Sets a gauge for each thing that this host may wait for before it is ready: 1 if it waits for it.
pub(super) fn record_readiness(context: &GatewayContext) {
    let wait = context.readiness_wait();
    let gauges = [
        ("waits_for_configuration", ReadinessWait::Configuration),
        ("waits_for_endpoints", ReadinessWait::Endpoints),
        ("waits_for_confirmation", ReadinessWait::Confirmation),
    ];
    for (gauge, awaited) in gauges {
        context.recorder.set_gauge(gauge, u64::from(wait == Some(awaited)));
    }
}

/// Logs when this host becomes ready for callers, and what it waits for when it is not.
pub(crate) async fn log_readiness(context: Arc<GatewayContext>) {
    let mut logged = None;
    loop {
        let wait = context.readiness_wait();
        if logged != Some(wait) {
            logged = Some(wait);
            match wait {
                None => tracing::info!("host.ready"),
                Some(wait) => tracing::info!(waits_for = wait.as_str(), "host.not_ready"),
            }
        }
        context.timer.wait(READINESS_INTERVAL).await;
    }
}
