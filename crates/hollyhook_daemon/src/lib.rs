//! The daemon of an entry host: performs the I/O for the state machines of `hollyhook_core`.
//!
//! [`Daemon::start`] registers the services by name and serves callers and other daemons. The binary `hollyhookd`
//! runs one daemon; the demo and the load tool run several in one process.

mod call;
mod daemon;
mod fleet;
mod front;
mod relay;

pub use daemon::Daemon;
