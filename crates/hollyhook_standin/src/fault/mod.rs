//! Faults that a stand-in takes by an admin call.

mod fault_order;
mod fault_state;

pub use fault_order::{FaultKind, FaultOrder};
pub(crate) use fault_state::{FaultState, cut_connection, serve};
