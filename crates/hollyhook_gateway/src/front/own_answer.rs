use bytes::Bytes;
use hollyhook_core::{Error, ErrorKind};
use hollyhook_wire::ApiErrorBody;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// The body of any answer to a caller; an error ends the connection, so that a cut answer does not look whole.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, Error>;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// The answer for an error of hollyhook's own.
pub(crate) fn own_answer(error: &Error) -> Response<AnswerBody> {
    let body = Bytes::from(ApiErrorBody::from(error).to_json());
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = StatusCode::from_u16(error.answer().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    if has_broken_framing(error.kind()) {
        // What follows on the connection may be another part of the same request.
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

/// A body that is there already.
pub(crate) fn whole_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
