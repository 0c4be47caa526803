//! Sockets and timers as `hyper` wants them.

mod dial;
mod kept_line;
mod wire_stream;

pub(crate) use dial::dial;
pub(crate) use kept_line::{KeptLine, LineFault, line_request};
pub(crate) use wire_stream::{WireStream, wire_stream};
