//! Fault injection: the faults that a stand-in accepts at `POST /admin/fault`, and their effects.

mod fault_command;
mod fault_state;

pub use fault_command::{FaultCommand, FaultKind};
pub(crate) use fault_state::{FaultState, cut_response, serve};
