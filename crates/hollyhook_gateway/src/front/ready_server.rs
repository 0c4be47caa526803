use std::convert::Infallible;
use std::sync::Arc;

use async_std::net::TcpListener;
use async_std::task;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use crate::gateway::GatewayContext;
use crate::net::wire_stream;

/// Answers the balancer's question whether this host takes callers.
pub(crate) async fn serve_ready(listener: TcpListener, context: Arc<GatewayContext>) {
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            context.timer.wait(super::front_server::ACCEPT_PAUSE).await;
            continue;
        };
        let context = Arc::clone(&context);
        task::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let status = ready_status(&context, request.uri().path());
                async move {
                    let mut response = Response::new(Full::<Bytes>::default());
                    *response.status_mut() = status;
                    Ok::<_, Infallible>(response)
                }
            });
            // The balancer asks again on a new connection.
            let _outcome = http1::Builder::new().serve_connection(wire_stream(stream), service).await;
        });
    }
}

fn ready_status(context: &GatewayContext, path: &str) -> StatusCode {
    if !hollyhook_platform::is_ready_path(path) {
        StatusCode::NOT_FOUND
    } else if context.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
