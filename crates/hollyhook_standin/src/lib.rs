//! Small stand-ins for the systems that hollyhook works with: a model engine, a plain service and the platform.
//!
//! The stand-ins implement the published protocols, count the work that they do, and accept faults to inject at
//! `POST /admin/fault`. Each runs as a process of its own (`hollyhook stand-in`) or inside another process, such as
//! the demo's.

mod engine;
mod fault;
mod platform;
mod service;

pub use engine::{EngineCounts, EngineOptions, EngineStandIn, TokenChain};
pub use fault::{FaultKind, FaultOrder};
pub use platform::{PlatformCounts, PlatformOptions, PlatformStandIn};
pub use service::{ServiceCounts, ServiceOptions, ServiceStandIn};
