//! Faults that a stand-in takes by an admin call.

mod fault_command;
mod fault_state;

pub use fault_command::{FaultCommand, FaultKind};
pub(crate) use fault_state::{FaultState, cut_connection, serve};
