//! The settings of a daemon that takes its configuration and its endpoints from the platform.

mod gateway_bounds;
mod gateway_settings;

pub use gateway_bounds::{GatewayBounds, RetryBounds};
pub use gateway_settings::GatewaySettings;
