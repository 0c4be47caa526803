//! The state that the parts of a gateway share, and the start and graceful shutdown of the process.

mod attempt_evidence;
mod endpoint_directory;
mod endpoint_outcomes;
mod endpoint_reports;
mod endpoint_routing;
mod endpoint_silences;
mod endpoint_terms;
mod gateway_context;
mod gateway_process;
mod known_rollout;
mod live_settings;
mod quarantine_tracker;
mod read_gate;
mod request_load;
mod retry_budgets;
mod rollout_routing;
mod rollout_tracker;
mod unix_time;
mod version_checks;

pub(crate) use attempt_evidence::AttemptEvidence;
pub(crate) use endpoint_directory::EndpointDirectory;
pub(crate) use endpoint_routing::RoutingFailure;
pub(crate) use gateway_context::GatewayContext;
pub use gateway_process::Gateway;
pub(crate) use known_rollout::KnownRollout;
pub(crate) use quarantine_tracker::SurvivingRun;
pub(crate) use request_load::{BodyReservation, RequestGuard, StreamWaitGuard};
