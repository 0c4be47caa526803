//! Assembles the services of a daemon, starts and drains it, and reports its status.

mod assembly;
mod status;

pub use assembly::Daemon;
