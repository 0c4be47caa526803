use std::time::Duration;

use super::{RolloutState, VersionVerdict};
use crate::TimePoint;

/// What is left until the deadline when a good version is moved to. Should it turn bad after all, everything that it got by the
/// deadline counts, so that this is short; plain calls that run elsewhere end within it.
const MOVING_LEAD: Duration = Duration::from_millis(700);
/// How long it is moved to before it is completed: hosts hear of it within a tenth of a second, and plain calls end.
const MOVING_TIME: Duration = Duration::from_millis(400);

/// How long after it was completed endpoints of other versions may still be registered. What comes later is of a newer version.
const OLD_GONE_AFTER: Duration = Duration::from_secs(10);

/// Which of a service's requests the target of a roll-out gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetShare {
    /// None.
    None,
    /// A small share.
    Trial,
    /// All of them.
    All,
    /// Its part, as any other version.
    Unrestricted,
}

/// What is to be written of a roll-out next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutStep {
    /// Nothing yet.
    Wait,
    /// This state.
    Write(RolloutState),
}

/// When a roll-out goes on, by its verdict and its deadline.
///
/// A bad version must never have got more than its share between the order and the deadline, also if it turns bad late.
/// Therefore it stays on trial until the deadline is near, however good it looks.
#[derive(Debug, Clone, Copy)]
pub struct RolloutPlan {
    /// When the order was heard of.
    pub ordered_at: TimePoint,
    /// How long after it a decision is due.
    pub duration: Duration,
    /// What stands in the store; none if nothing was written yet.
    pub state: Option<RolloutState>,
    /// Since when this host knows that state.
    pub state_since: TimePoint,
}

impl RolloutPlan {
    /// The next step.
    pub fn step(&self, now: TimePoint, verdict: VersionVerdict) -> RolloutStep {
        let is_bad = matches!(verdict, VersionVerdict::Bad(_));
        match self.state {
            Some(state) if state.is_final() => RolloutStep::Wait,
            None => RolloutStep::Write(RolloutState::Trial),
            Some(_) if is_bad => RolloutStep::Write(RolloutState::RolledBack),
            Some(RolloutState::Trial) if verdict == VersionVerdict::Good && self.is_due(now) => {
                RolloutStep::Write(RolloutState::Moving)
            }
            Some(RolloutState::Moving) if now.since(self.state_since) >= MOVING_TIME => {
                RolloutStep::Write(RolloutState::Completed)
            }
            Some(_) => RolloutStep::Wait,
        }
    }

    /// Which of a service's requests the target gets now.
    pub fn share(&self, now: TimePoint) -> TargetShare {
        match self.state {
            None | Some(RolloutState::RolledBack) => TargetShare::None,
            Some(RolloutState::Trial) => TargetShare::Trial,
            Some(RolloutState::Moving) => TargetShare::All,
            Some(RolloutState::Completed) if now.since(self.state_since) < OLD_GONE_AFTER => TargetShare::All,
            Some(RolloutState::Completed) => TargetShare::Unrestricted,
        }
    }

    fn is_due(&self, now: TimePoint) -> bool {
        now.since(self.ordered_at) + MOVING_LEAD >= self.duration
    }
}
