//! The daemon of an entry host: a thin shell around the decisions of `hollyhook_core`.
//!
//! [`Daemon::start`] registers the services by name and serves callers and other daemons. The binary `hollyhookd`
//! runs one; the demo and the load tool run several in one process.

mod call;
mod daemon;
mod fleet;
mod front;
mod relay;

pub use daemon::Daemon;
