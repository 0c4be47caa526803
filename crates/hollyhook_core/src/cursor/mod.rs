//! The encrypted cursor with which a caller can resume a stream at any host.

mod cursor_seal;
mod stream_cursor;

pub use cursor_seal::{CursorKey, CursorSeal};
pub use stream_cursor::StreamCursor;
