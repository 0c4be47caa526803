//! The site as its operator configured it: routes, services, client accounts, limits, and which version is in force.

mod account_plan;
mod route_plan;
mod service_plan;
mod site_index;
mod site_ledger;
mod site_plan;

pub use account_plan::AccountPlan;
pub use route_plan::{RequestKind, RoutePlan, ServiceShare};
pub use service_plan::{EngineMemory, ServicePlan};
pub use site_index::SiteIndex;
pub use site_ledger::{PlanAdoption, SiteLedger};
pub use site_plan::{CallerLimits, SitePlan};
