use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::FutureExt;
use hollyhook_core::{GateVerdict, StopPhase};
use hollyhook_wire::bound_caller_buffers;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use socket2::SockRef;

use super::idle_watch::IdleWatch;
use super::request_handler::handle;
use super::unwritten_responses::{FlushedStream, UnwrittenResponses};
use crate::gateway::GatewayContext;
use crate::net::{metered_stream, reset_on_close};

/// Delay after a failed accept, which most likely failed because the process has no file descriptors left.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of callers' connections. A process has 4,100 file descriptors on the smallest hosts; the rest are
/// left for connections to endpoints.
const MAX_CONNECTIONS: usize = 2_500;
/// Interval at which a connection checks whether its idle timeout has passed or the gateway is closing.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Accepts callers' connections until the process ends; each connection closes after its idle timeout or when the host
/// stops.
pub(crate) async fn serve_callers(listener: TcpListener, context: Arc<GatewayContext>) {
    let connections = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            context.timer.wait(ACCEPT_PAUSE).await;
            continue;
        };
        if connections.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            tracing::info!(connections = MAX_CONNECTIONS, "caller.connection_refused");
            continue;
        }
        if context.read_gate.judge(context.timer.now()) != GateVerdict::Read {
            context.recorder.count("connections_closed_unread");
            continue;
        }
        connections.fetch_add(1, Ordering::Relaxed);
        context.recorder.count("caller_connections");
        let (context, connections) = (Arc::clone(&context), Arc::clone(&connections));
        task::spawn(async move {
            serve(stream, context).await;
            connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve(stream: TcpStream, context: Arc<GatewayContext>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    if let Err(error) = bound_caller_buffers(&stream) {
        tracing::debug!(%error, "caller.buffers_not_bounded");
    }
    let socket = stream.clone();
    let watch = Arc::new(IdleWatch::new(context.timer.now()));
    let unwritten = UnwrittenResponses::default();
    let service = service_fn(|request| {
        let (context, watch, unwritten) = (Arc::clone(&context), Arc::clone(&watch), unwritten.clone());
        async move { Ok::<_, Infallible>(handle(request, &context, watch, unwritten).await) }
    });
    let limits = context.site().map(|site| site.limits()).unwrap_or_default();
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head_bytes.max(8_192)).pipeline_flush(false);
    let stream = metered_stream(FlushedStream::new(stream, unwritten.clone()), &context.meter);
    let mut connection = pin!(builder.serve_connection(stream, service));
    loop {
        let tick = pin!(context.timer.wait(WATCH_INTERVAL).fuse());
        match futures::future::select(connection.as_mut(), tick).await {
            futures::future::Either::Left((outcome, _)) => {
                if outcome.is_err() && watch.is_ended_by_close() {
                    end_with_reset(&socket);
                }
                return;
            }
            futures::future::Either::Right(((), _)) => {}
        }
        let now = context.timer.now();
        let is_idle_too_long = now >= watch.expires(now, limits.idle_timeout);
        if is_idle_too_long || context.phase() >= StopPhase::Closing {
            // Closes the connection at once if no request is in progress, else after the response.
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// Makes the connection end with a reset, as a truncated response that ends with its connection would look complete.
fn end_with_reset(socket: &TcpStream) {
    if let Err(error) = reset_on_close(&SockRef::from(socket)) {
        tracing::warn!(%error, "caller.reset_failed");
    }
}
