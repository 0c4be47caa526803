//! Incremental parser for server-sent events (WHATWG HTML, section 9.2).

mod sse_parser;

pub use sse_parser::{SseEvent, SseParser};
