use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::{DemandMessage, DemandReply, HostRecord};
use http::StatusCode;

use crate::net::{ExchangeError, PersistentClient, encode_message};

/// The path at which a host accepts summaries of demand.
pub(super) const DEMAND_PATH: &str = "/demand";
/// Maximum size of a message: a summary with 64 paces, and those of 64 hosts that are passed on.
pub(super) const MAX_BODY_BYTES: usize = 256 << 10;
/// Time limit for a message and its answer, well within the interval between two messages.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// The answer to a message, and the size of both bodies.
pub(super) struct DemandAnswer {
    pub(super) reply: DemandReply,
    pub(super) bytes: usize,
}

/// Sends a message about demand to another host; returns its answer.
///
/// # Errors
///
/// If the exchange fails or takes too long, or the host refuses the message or gives an answer that can't be used.
pub(super) async fn post_demand(
    client: &mut PersistentClient,
    host: &HostRecord,
    message: &DemandMessage,
) -> Result<DemandAnswer, ExchangeError> {
    let body = encode_message(message)?;
    let sent = body.len();
    let response = client.post(host.address, DEMAND_PATH, body, MESSAGE_TIMEOUT).await?;
    if response.status() != StatusCode::OK {
        return Err(ExchangeError("the host takes no summaries from this one"));
    }
    let reply = read_reply(response.body()).ok_or(ExchangeError("the answer can't be parsed"))?;
    Ok(DemandAnswer { reply, bytes: sent + response.body().len() })
}

/// Reads a message of another host; `None` if it is malformed or beyond its bounds.
pub(super) fn read_message(body: &[u8]) -> Option<DemandMessage> {
    serde_json::from_slice::<DemandMessage>(body).ok().filter(DemandMessage::is_valid)
}

fn read_reply(body: &Bytes) -> Option<DemandReply> {
    serde_json::from_slice::<DemandReply>(body).ok().filter(DemandReply::is_valid)
}
