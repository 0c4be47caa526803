//! Fault injection: the faults that a stand-in accepts at `POST /admin/fault`, and their effects.

mod fault_order;
mod fault_state;

pub use fault_order::{FaultKind, FaultOrder};
pub(crate) use fault_state::{FaultState, cut_response, serve};
