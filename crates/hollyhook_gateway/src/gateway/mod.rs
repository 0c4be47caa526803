//! The parts of a gateway, put together, and its start and stop.

mod gateway_context;
mod gateway_process;
mod live_settings;

pub(crate) use gateway_context::{BodyClaim, GatewayContext, RequestGuard};
pub use gateway_process::Gateway;
