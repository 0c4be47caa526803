//! Putting the services of a daemon together.

mod assembly;
mod status;

pub use assembly::Daemon;
