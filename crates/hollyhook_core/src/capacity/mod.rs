//! Which new connections a host reads, by what its link bears.

mod capacity_gate;
mod usage_reading;

pub use capacity_gate::{CapacityGate, GateVerdict};
pub use usage_reading::UsageReading;
