//! Relaying one generation from an endpoint to its caller: attempts, token positions, failure detection and fail-over.

mod end_reason;
mod generation_id;
mod generation_relay;
mod latency_estimator;
mod relay_action;
mod relay_event;
mod relay_phase;
mod relay_policy;
mod token_log;

pub use end_reason::EndReason;
pub use generation_id::{AttemptNumber, GenerationId};
pub use generation_relay::GenerationRelay;
pub use latency_estimator::{LatencyEstimator, StreamTimeouts};
pub use relay_action::{OpenMode, RelayAction, RelayCounter};
pub use relay_event::{EndpointRefusal, ProbeReport, RelayEvent};
pub use relay_phase::RelayPhase;
pub use relay_policy::RelayPolicy;
pub use token_log::{PrefixDigest, TokenLog};
