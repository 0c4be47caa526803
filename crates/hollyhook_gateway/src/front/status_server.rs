use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use bytes::Bytes;
use hollyhook_core::ReadinessWait;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use super::front_server::ACCEPT_PAUSE;
use crate::gateway::GatewayContext;
use crate::net::{text_response, wire_stream};

/// How often it is checked whether this host has become ready; the balancer asks about as often.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);
const METRICS_PATH: &str = "/metrics";
/// Content type of the exposition format that scrapers expect.
const METRICS_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// Serves status requests about this host; each connection is served until its peer closes it.
pub(crate) async fn serve_status<F>(listener: TcpListener, context: Arc<GatewayContext>, respond: F)
where
    F: Fn(&GatewayContext, &str) -> Response<Full<Bytes>> + Copy + Send + Sync + 'static,
{
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            context.timer.wait(ACCEPT_PAUSE).await;
            continue;
        };
        let context = Arc::clone(&context);
        task::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = respond(&context, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            // After a connection error the peer sends its next request on a new connection.
            let _outcome = http1::Builder::new().serve_connection(wire_stream(stream), service).await;
        });
    }
}

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

/// Responds with the counters, gauges and histograms.
pub(crate) fn metrics_response(context: &GatewayContext, path: &str) -> Response<Full<Bytes>> {
    if path != METRICS_PATH {
        return text_response(StatusCode::NOT_FOUND, "");
    }
    context.recorder.set_gauge("streams_waiting_for_callers", context.load.waiting_streams() as u64);
    context.recorder.set_gauge("tunnels_open", context.paths.open_tunnels().into());
    context.queues.record_gauges();
    record_readiness(context);
    match context.recorder.to_text() {
        Ok(text) => {
            let mut response = Response::new(Full::from(text));
            response.headers_mut().insert(CONTENT_TYPE, METRICS_TYPE);
            response
        }
        Err(error) => {
            tracing::error!(%error, "metrics.not_written");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
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
fn record_readiness(context: &GatewayContext) {
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
