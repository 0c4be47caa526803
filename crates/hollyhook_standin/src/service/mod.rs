//! Stand-in of a plain service, which counts its executions by idempotency key.

mod service_stand_in;

pub use service_stand_in::{ServiceCounts, ServiceOptions, ServiceStandIn};
