//! A plain service that counts each execution.

mod service_stand_in;

pub use service_stand_in::{ServiceCounts, ServiceOptions, ServiceStandIn};
