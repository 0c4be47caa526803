//! Server-sent events (WHATWG HTML, section 9.2): reading them piece by piece.

mod sse_parser;

pub use sse_parser::{SseEvent, SseParser};
