use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::AttemptFailure;
use http::{Request, header};
use http_body_util::Full;

use super::attempt::{send, send_alone};
use super::endpoint_reply::EndpointReply;
use crate::gateway::GatewayContext;
use crate::path::EndpointTarget;

/// Maximum size of an endpoint's reply to a request of hollyhook's own. The largest is the list of the prompt parts that
/// an engine holds, with about 50 bytes for each.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// Sends a request of hollyhook's own to an endpoint and reads the whole response.
///
/// # Errors
///
/// `Silent` if that takes longer than `limit`; `NotConnected`, `Broken` or `Garbled` if the connection fails; `Garbled`
/// also for an answer with an attempt id, which the request has none of; `Failed` if the reply is larger than [`MAX_REPLY_BYTES`].
pub(super) async fn call_endpoint(
    context: &GatewayContext,
    target: &EndpointTarget,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<EndpointReply, AttemptFailure> {
    let exchange = async {
        let response = send(context, target, request, None, |_sent_at| {}).await?;
        response.read_to_end(context, &target.id, MAX_REPLY_BYTES).await
    };
    context.timer.within(limit, exchange).await.unwrap_or(Err(AttemptFailure::Silent))
}

/// Sends an order of hollyhook's own to an endpoint on a new connection, reads the whole response and closes the connection.
///
/// Neither order nor answer carries an id: on a connection that is used again, a late second answer to one order would be
/// taken for the answer to the next.
///
/// # Errors
///
/// As [`call_endpoint`].
pub(super) async fn order_endpoint(
    context: &GatewayContext,
    target: &EndpointTarget,
    order: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<EndpointReply, AttemptFailure> {
    let exchange = async { send_alone(context, target, order).await?.read_and_close(MAX_REPLY_BYTES).await };
    context.timer.within(limit, exchange).await.unwrap_or(Err(AttemptFailure::Silent))
}

/// Sends an engine an order to copy the KV cache of a run, and reads the whole response; `None` if there is
/// none in time.
pub(super) async fn order_copy(
    context: &GatewayContext,
    engine: &EndpointTarget,
    order: Vec<u8>,
    limit: Duration,
) -> Option<EndpointReply> {
    let request = Request::post(hollyhook_platform::backup_path())
        .header(header::HOST, engine.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(order))
        .ok()?;
    order_endpoint(context, engine, request, limit).await.ok()
}
