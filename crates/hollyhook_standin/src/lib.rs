//! Small stand-ins for what hollyhook serves: a model engine, a plain service and the platform.
//!
//! They speak the published protocols, count the work they did, and take faults by an admin call. They run as
//! processes of their own through `hollyhook stand-in`, or within the demo's process.

mod engine;
mod fault;
mod platform;
mod service;

pub use engine::{EngineCounts, EngineOptions, EngineStandIn, TokenChain};
pub use fault::{FaultCommand, FaultKind};
pub use platform::{PlatformCounts, PlatformOptions, PlatformStandIn};
pub use service::{ServiceCounts, ServiceOptions, ServiceStandIn};
