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
use crate::front::ACCEPT_PAUSE;
use crate::gateway::GatewayContext;
use crate::net::wire_stream;

/// The longest that a follower may wait for news.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Tells other hosts what this one reads of the store, until the process ends.
pub(crate) async fn serve_peers(listener: TcpListener, context: Arc<GatewayContext>) {
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            context.timer.wait(ACCEPT_PAUSE).await;
            continue;
        };
        // News are small writes that followers wait for.
        let _slower = stream.set_nodelay(true);
        let context = Arc::clone(&context);
        task::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let context = Arc::clone(&context);
                async move { Ok::<_, Infallible>(answer(&context, &request).await) }
            });
            // A follower asks again on a new connection.
            let _outcome = http1::Builder::new().serve_connection(wire_stream(stream), service).await;
        });
    }
}

async fn answer(context: &GatewayContext, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(query) = FeedQuery::from_path(request.uri().path(), request.uri().query()) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let sent_at = context.timer.now();
    let Some(update) = wait_for_update(context, &query).await else {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    let message = FeedMessage::new(update, sent_at, context.timer.now());
    match serde_json::to_vec(&message) {
        Ok(body) => Response::new(Full::from(body)),
        Err(error) => {
            tracing::error!(%error, "feed.not_written");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// The news after the follower's revision; none if this host may not tell, or has heard nothing itself within the wait.
async fn wait_for_update(context: &GatewayContext, query: &FeedQuery) -> Option<FeedUpdate<StoreObject>> {
    let until = context.timer.now() + query.wait.min(MAX_WAIT);
    loop {
        // Waited for before looking, so that what comes in between is not missed.
        let signal = context.feed.update_signal();
        let update = context.feed.update_after(query.kind, query.after);
        let time_left = until.since(context.timer.now());
        // After a loss of all hosts those that are asked start at the same moment as those that ask.
        let is_awaited = update.as_ref().map_or(!context.feed.has_updates(query.kind), FeedUpdate::is_empty);
        if !is_awaited || time_left.is_zero() {
            return update;
        }
        let _signal = context.timer.within(time_left, signal).await;
    }
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
