use hollyhook_core::{Error, ErrorKind, Result};

/// The maximum number of header fields in a request.
const MAX_FIELDS: usize = 100;

/// What the server needs from a request head before the HTTP library parses the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestHead {
    /// The length of the body in bytes; `None` if the body has a transfer encoding (chunked).
    pub(super) content_length: Option<u64>,
}

/// The length of the head including its final empty line, or `None` if the head is incomplete.
pub(super) fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|start| start + 4)
}

impl RequestHead {
    /// Checks a complete head.
    ///
    /// # Errors
    ///
    /// `MalformedHead` if the head is not valid HTTP/1, does not have exactly one `Host` field or leaves the length of
    /// the body ambiguous; `HeadTooLarge` if it has more than [`MAX_FIELDS`] fields.
    pub(super) fn parse(head: &[u8]) -> Result<Self> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        match request.parse(head) {
            Ok(httparse::Status::Complete(_)) => {}
            Ok(httparse::Status::Partial) => return Err(malformed("the head is not whole")),
            Err(httparse::Error::TooManyHeaders) => {
                let message = format!("the head has more than {MAX_FIELDS} fields");
                return Err(Error::new(ErrorKind::HeadTooLarge, message));
            }
            Err(error) => return Err(malformed(&error.to_string())),
        }
        let lengths: Vec<&[u8]> = values(request.headers, "content-length").collect();
        let is_chunked = values(request.headers, "transfer-encoding").next().is_some();
        if values(request.headers, "host").count() != 1 {
            return Err(malformed("exactly one Host field is needed"));
        }
        match (lengths.as_slice(), is_chunked) {
            ([], true) => Ok(Self { content_length: None }),
            ([], false) => Ok(Self { content_length: Some(0) }),
            ([length], false) => Ok(Self { content_length: Some(parse_length(length)?) }),
            _ => Err(malformed("the length of the body is given more than once")),
        }
    }
}

fn values<'h>(headers: &'h [httparse::Header<'h>], name: &'h str) -> impl Iterator<Item = &'h [u8]> {
    headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
}

fn parse_length(bytes: &[u8]) -> Result<u64> {
    let text = std::str::from_utf8(bytes).unwrap_or_default();
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let length = if is_number { text.parse().ok() } else { None };
    length.ok_or_else(|| malformed("Content-Length is not a number"))
}

fn malformed(detail: &str) -> Error {
    Error::new(ErrorKind::MalformedHead, format!("the request is not valid HTTP/1.1: {detail}")).param("head")
}
