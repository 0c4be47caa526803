use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;

/// A response of this program to other hosts and to the platform, with a short text, which may be empty.
pub(crate) fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}
