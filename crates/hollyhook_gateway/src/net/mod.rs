//! Sockets and timers as `hyper` wants them.

mod dial;
mod wire_stream;

pub(crate) use dial::dial;
pub(crate) use wire_stream::{WireStream, wire_stream};
