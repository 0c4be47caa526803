//! The gateway: the daemon of a host whose configuration and endpoints are in the platform's store.
//!
//! The gateway routes opaque requests by host and path to services, and resumes event streams after the loss of an
//! engine. It stores nothing locally. [`Gateway::start`] runs a gateway; its decisions are made by `hollyhook_core`,
//! and the platform's names and formats are defined in `hollyhook_platform`.

mod demand;
mod forward;
mod front;
mod gateway;
mod lease;
mod net;
mod origin;
mod path;
mod peer;
mod pool;
mod quarantine;
mod queue;
mod quota;
mod store;
mod sync;

pub use gateway::Gateway;
