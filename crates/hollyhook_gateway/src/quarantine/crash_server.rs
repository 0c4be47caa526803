use std::net::IpAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::CrashSpreader;
use super::crash_message::{MAX_BODY_BYTES, scope_of};
use crate::gateway::GatewayContext;
use crate::net::text_response;

/// Whether a request of another host brings crash records.
pub(crate) fn is_crash_request(request: &Request<Incoming>) -> bool {
    scope_of(request.uri().path()).is_some()
}

/// Takes the crash records of a host at the address `sender`, and passes them on as far as they have to go.
pub(crate) async fn answer_crash_request(
    context: &Arc<GatewayContext>,
    request: Request<Incoming>,
    sender: IpAddr,
) -> Response<Full<Bytes>> {
    if request.method() != Method::POST {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "crash records are sent with POST");
    }
    if !context.paths.is_host(sender) {
        return text_response(StatusCode::FORBIDDEN, "only registered hosts may send crash records");
    }
    let Some(scope) = scope_of(request.uri().path()) else {
        return text_response(StatusCode::NOT_FOUND, "");
    };
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await else {
        return text_response(StatusCode::BAD_REQUEST, "the body must be whole and have at most 512 KB");
    };
    let Ok(records) = hollyhook_platform::decode_crash_message(&body.to_bytes()) else {
        return text_response(StatusCode::BAD_REQUEST, "the body must be a JSON object of crash records by digest");
    };
    context.quarantine.merge_told(&records);
    CrashSpreader::pass_on(context, scope, &records);
    text_response(StatusCode::NO_CONTENT, "")
}
