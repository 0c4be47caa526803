//! Which new connections a host reads, by what its link bears.

mod capacity_gate;
mod host_capacity;

pub use capacity_gate::{CapacityGate, GateVerdict};
pub use host_capacity::{HostCapacity, UsageReading};
