//! Roll-outs of another version of a service: the requests that get the version on trial, and the verdict on it.

mod loss_matcher;
mod rollout_order;
mod rollout_plan;
mod trial_evidence;
mod version_filter;
mod version_outcome;
mod version_tally;
mod version_verdict;

pub use loss_matcher::{AttemptEnd, LossMatcher};
pub use rollout_order::{RolloutOrder, RolloutState};
pub use rollout_plan::{RolloutPlan, RolloutStep, TargetShare};
pub use trial_evidence::TrialEvidence;
pub use version_filter::VersionFilter;
pub use version_outcome::VersionOutcome;
pub use version_tally::{TimeTally, VersionTally};
pub use version_verdict::{VersionFault, VersionVerdict, evaluate_version};
