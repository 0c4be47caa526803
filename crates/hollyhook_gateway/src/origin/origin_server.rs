use std::net::IpAddr;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::origin_message::{COPY_PATH, FIND_PATH, OriginCopies, OriginQuestion, OriginReply};
use crate::gateway::GatewayContext;
use crate::net::{json_response, text_response};

/// Maximum size of a message: the copies of some ten thousand origins.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Whether a request of another host concerns origins of streams.
pub(crate) fn is_origin_request(request: &Request<Incoming>) -> bool {
    matches!(request.uri().path(), COPY_PATH | FIND_PATH)
}

/// Answers a request about origins from a host at the address `sender`.
pub(crate) async fn answer_origin_request(
    context: &GatewayContext,
    request: Request<Incoming>,
    sender: IpAddr,
) -> Response<Full<Bytes>> {
    if request.method() != Method::POST {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "origins are copied and asked for with POST");
    }
    let is_copy = request.uri().path() == COPY_PATH;
    if is_copy && !context.paths.is_host(sender) {
        return text_response(StatusCode::FORBIDDEN, "only registered hosts may copy origins");
    }
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await else {
        return text_response(StatusCode::BAD_REQUEST, "the body must be whole and have at most 1 MB");
    };
    let body = body.to_bytes();
    if is_copy { take_copies(context, &body) } else { answer_question(context, &body) }
}

fn take_copies(context: &GatewayContext, body: &[u8]) -> Response<Full<Bytes>> {
    let Ok(copies) = serde_json::from_slice::<OriginCopies>(body) else {
        return text_response(StatusCode::BAD_REQUEST, "the body must be a JSON object of origins");
    };
    for (first_attempt, version) in copies.origins {
        context.origins.record_copy(first_attempt, version);
    }
    text_response(StatusCode::NO_CONTENT, "")
}

fn answer_question(context: &GatewayContext, body: &[u8]) -> Response<Full<Bytes>> {
    let Ok(question) = serde_json::from_slice::<OriginQuestion>(body) else {
        return text_response(StatusCode::BAD_REQUEST, "the body must name a service and the first client attempt");
    };
    let answer = context.origins.answer(&question.service, &question.first_attempt);
    json_response(&OriginReply::from(answer), "origin.not_written")
}
