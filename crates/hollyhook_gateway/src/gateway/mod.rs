//! The parts of a gateway, put together, and its start and stop.

mod gateway_context;
mod gateway_process;
mod live_settings;
mod request_load;
mod retry_budgets;

pub(crate) use gateway_context::GatewayContext;
pub use gateway_process::Gateway;
pub(crate) use request_load::{BodyClaim, RequestGuard};
