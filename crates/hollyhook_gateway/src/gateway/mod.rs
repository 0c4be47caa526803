//! The parts of a gateway, put together, and its start and stop.

mod gateway_context;
mod gateway_process;
mod stop_phase;

pub(crate) use gateway_context::{BodyClaim, GatewayContext, RequestGuard};
pub use gateway_process::Gateway;
pub(crate) use stop_phase::{StopPhase, StopState};
