//! The gateway: an entry host's daemon whose configuration and endpoints lie in the platform's store.
//!
//! It routes opaque requests by host and path to services, carries event streams over the loss of an engine, and
//! keeps nothing. [`Gateway::start`] runs one; the decisions are those of `hollyhook_core`, and what the platform calls
//! things stands in `hollyhook_platform`.

mod forward;
mod front;
mod gateway;
mod net;
mod peer;
mod pool;
mod store;
mod sync;

pub use gateway::Gateway;
