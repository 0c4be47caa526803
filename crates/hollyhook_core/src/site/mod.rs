//! The site configuration written by the operator (routes, services, client accounts, limits), the version in force, and
//! whether a host is ready for callers.

mod account_config;
mod host_readiness;
mod route_config;
mod service_config;
mod service_priorities;
mod site_config;
mod site_index;
mod site_state;

pub use account_config::AccountConfig;
pub use host_readiness::{HostReadiness, ReadinessWait};
pub use route_config::{RequestKind, RouteConfig, ServiceShare};
pub use service_config::{EngineMemory, ServiceConfig};
pub use service_priorities::{AccountPriorities, ServicePriorities};
pub use site_config::{CallerLimits, SiteConfig};
pub use site_index::SiteIndex;
pub use site_state::{ConfigAdoption, SiteState};
