use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use bytes::Bytes;
use hollyhook_core::FeedUpdate;
use hollyhook_platform::StoreObject;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use super::feed_message::{FeedMessage, FeedQuery};
use crate::demand::{answer_demand_request, is_demand_request};
use crate::front::ACCEPT_PAUSE;
use crate::gateway::GatewayContext;
use crate::lease::{answer_lease_request, is_lease_request};
use crate::net::{text_response, wire_stream};
use crate::origin::{answer_origin_request, is_origin_request};
use crate::path::{TunnelServer, is_tunnel_request};
use crate::quarantine::{answer_crash_request, is_crash_request};
use crate::quota::{answer_quota_request, is_quota_request};

/// Longest time for which a request of another host waits for an update.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Serves this host's copy of the store's contents, tunnels to endpoints, origins of streams, crash records
/// and sums of demand to other hosts until the process ends.
pub(crate) async fn serve_peers(listener: TcpListener, context: Arc<GatewayContext>) {
    let tunnels = Arc::new(TunnelServer::new(Arc::clone(&context)));
    loop {
        let Ok((stream, sender)) = listener.accept().await else {
            context.timer.wait(ACCEPT_PAUSE).await;
            continue;
        };
        // Updates are small writes that other hosts wait for.
        let _slower = stream.set_nodelay(true);
        let (context, tunnels) = (Arc::clone(&context), Arc::clone(&tunnels));
        task::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let (context, tunnels) = (Arc::clone(&context), Arc::clone(&tunnels));
                async move {
                    if is_tunnel_request(&request) {
                        return Ok::<_, Infallible>(tunnels.answer(request, sender.ip()).await);
                    }
                    if is_origin_request(&request) {
                        return Ok(answer_origin_request(&context, request, sender.ip()).await);
                    }
                    if is_crash_request(&request) {
                        return Ok(answer_crash_request(&context, request, sender.ip()).await);
                    }
                    if is_lease_request(&request) {
                        return Ok(answer_lease_request(&context, request, sender.ip()).await);
                    }
                    if is_quota_request(&request) {
                        return Ok(answer_quota_request(&context, request, sender.ip()).await);
                    }
                    if is_demand_request(&request) {
                        return Ok(answer_demand_request(&context, request, sender.ip()).await);
                    }
                    Ok(answer(&context, &request).await)
                }
            });
            // After an error, the other host sends its request again on a new connection.
            let _outcome = http1::Builder::new().serve_connection(wire_stream(stream), service).with_upgrades().await;
        });
    }
}

async fn answer(context: &GatewayContext, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(query) = FeedQuery::from_path(request.uri().path(), request.uri().query()) else {
        return text_response(StatusCode::NOT_FOUND, "");
    };
    let received_at = context.timer.now();
    let Some(update) = wait_for_update(context, &query).await else {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    let message = FeedMessage::new(update, received_at, context.timer.now());
    match serde_json::to_vec(&message) {
        Ok(body) => Response::new(Full::from(body)),
        Err(error) => {
            tracing::error!(%error, "feed.not_written");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

/// Waits for changes after the revision of the query, and returns an empty update if there are none within the wait.
///
/// `None` if this host must not pass its copy on, or has received no update itself within the wait.
async fn wait_for_update(context: &GatewayContext, query: &FeedQuery) -> Option<FeedUpdate<StoreObject>> {
    let deadline = context.timer.now() + query.wait.min(MAX_WAIT);
    loop {
        // Created before the look-up, so that an update that is applied in between is not missed.
        let signal = context.feed.update_signal();
        let update = context.feed.update_after(query.kind, query.after);
        let time_left = deadline.since(context.timer.now());
        // After a loss of all hosts, this host starts at the same moment as the host that sent the query, and may not
        // have received an update yet.
        let is_pending = update.as_ref().map_or(!context.feed.has_updates(query.kind), FeedUpdate::is_empty);
        if !is_pending || time_left.is_zero() {
            return update;
        }
        let _signal = context.timer.within(time_left, signal).await;
    }
}
