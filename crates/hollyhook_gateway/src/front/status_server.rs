use std::convert::Infallible;
use std::sync::Arc;

use async_std::net::TcpListener;
use async_std::task;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use super::front_server::ACCEPT_PAUSE;
use super::readiness::record_readiness;
use crate::gateway::GatewayContext;
use crate::net::{text_response, wire_stream};

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
