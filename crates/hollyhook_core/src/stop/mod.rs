//! Graceful shutdown of a host.

mod stop_plan;

pub use stop_plan::{StopPhase, StopPlan};
