//! Outgoing connections, and sockets adapted to `hyper`.

mod dial;
mod persistent_client;
mod wire_stream;

pub(crate) use dial::dial;
pub(crate) use persistent_client::{ExchangeError, PersistentClient, build_request};
pub(crate) use wire_stream::{WireStream, wire_stream};
