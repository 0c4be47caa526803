//! Outgoing connections, and sockets adapted to `hyper`.

mod dead_peer;
mod dial;
mod driver_guard;
mod json_response;
mod metered_stream;
mod persistent_client;
mod reset_on_close;
mod text_response;
mod usage_meter;
mod wire_stream;

pub(crate) use dead_peer::detect_dead_peer;
pub(crate) use dial::dial;
pub(crate) use driver_guard::DriverGuard;
pub(crate) use json_response::json_response;
pub(crate) use metered_stream::metered_stream;
pub(crate) use persistent_client::{ExchangeError, PersistentClient, build_request, encode_message};
pub(crate) use reset_on_close::reset_on_close;
pub(crate) use text_response::text_response;
pub(crate) use usage_meter::UsageMeter;
pub(crate) use wire_stream::{WireIo, WireStream, wire_stream};
