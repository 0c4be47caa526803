//! Settings of a gateway: a daemon that reads its configuration and its endpoints from the platform's store.

mod gateway_bounds;
mod gateway_settings;
mod queue_settings;

pub use gateway_bounds::{GatewayBounds, RetryBounds};
pub use gateway_settings::GatewaySettings;
pub use queue_settings::QueueSettings;
