use bytes::Bytes;
use hollyhook_core::{Error, ErrorKind};
use hollyhook_wire::ApiErrorBody;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// Body of a response to a caller. An error closes the connection, so that a truncated response does not look complete.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, Error>;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Builds the response for an error of hollyhook's own.
pub(crate) fn error_response(error: &Error) -> Response<ResponseBody> {
    let body = Bytes::from(ApiErrorBody::from(error).to_json());
    let mut response = Response::new(full_body(body));
    *response.status_mut() = StatusCode::from_u16(error.answer().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    if has_broken_framing(error.kind()) {
        // The next bytes on the connection may still belong to this request.
        response.headers_mut().insert(CONNECTION, CLOSE);
    }
    if let Some(span) = error.get_retry_after() {
        hollyhook_platform::set_retry_after(response.headers_mut(), span);
    }
    response
}

fn has_broken_framing(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::MalformedHead | ErrorKind::BodyTooLarge | ErrorKind::RequestTimeout)
}

/// Wraps bytes that are already in memory as a body.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
