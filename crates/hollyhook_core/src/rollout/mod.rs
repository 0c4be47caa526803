//! Moving a service to another version: who gets it while it is on trial, and how it is judged.

mod rollout_order;
mod rollout_plan;
mod trial_evidence;
mod version_judge;
mod version_rule;
mod version_tally;

pub use rollout_order::{RolloutOrder, RolloutState};
pub use rollout_plan::{RolloutPlan, RolloutStep, TargetShare};
pub use trial_evidence::TrialEvidence;
pub use version_judge::{VersionFault, VersionVerdict, judge_version};
pub use version_rule::VersionRule;
pub use version_tally::{TimeTally, VersionTally};
