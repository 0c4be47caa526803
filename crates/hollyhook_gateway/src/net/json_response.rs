use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

use super::text_response;

/// A response of this program to another host with a JSON message; `event` is logged if the message can't be encoded.
pub(crate) fn json_response(message: &impl Serialize, event: &'static str) -> Response<Full<Bytes>> {
    match serde_json::to_vec(message) {
        Ok(body) => Response::new(Full::from(body)),
        Err(error) => {
            tracing::error!(%error, "{event}");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "the answer can't be encoded")
        }
    }
}
