use std::time::Duration;

use super::{RolloutState, VersionVerdict};
use crate::TimePoint;

/// How long before the deadline a good version gets all requests. Short, since all requests that the version has got by
/// the deadline count against its share if it turns bad after all; long enough for plain calls at other versions to
/// end.
const MOVING_LEAD: Duration = Duration::from_millis(700);
/// How long the roll-out stays in `Moving` before it is completed: hosts learn of the state within a tenth of a second,
/// and plain calls at other versions end.
const MOVING_TIME: Duration = Duration::from_millis(400);

/// How long after completion endpoints of older versions may still be registered. Endpoints of another version that
/// register later are of a newer one.
const OLD_VERSION_GRACE: Duration = Duration::from_secs(10);

/// Which of a service's requests may go to the target of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetShare {
    /// No request.
    None,
    /// A small share of the requests.
    Trial,
    /// All requests.
    All,
    /// Any request: the target is treated like every other version.
    Unrestricted,
}

/// The next change of a roll-out's state in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutStep {
    /// No change yet.
    Wait,
    /// Write this state.
    Write(RolloutState),
}

/// Decides when a roll-out changes its state, from the verdict on its target and from its deadline.
///
/// A bad version must not get more than its trial share between the order and the deadline, even if it turns bad late.
/// Therefore the target stays on trial until shortly before the deadline, however good the verdict is.
#[derive(Debug, Clone, Copy)]
pub struct RolloutPlan {
    /// When a host first read the order.
    pub ordered_at: TimePoint,
    /// How long after `ordered_at` the decision is due.
    pub duration: Duration,
    /// The current state; `None` if none has been written to the store yet.
    pub state: Option<RolloutState>,
    /// When this host learned of the current state.
    pub state_since: TimePoint,
}

impl RolloutPlan {
    /// The change of state that is due now.
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

    /// Which of the service's requests may go to the target now.
    pub fn share(&self, now: TimePoint) -> TargetShare {
        match self.state {
            None | Some(RolloutState::RolledBack) => TargetShare::None,
            Some(RolloutState::Trial) => TargetShare::Trial,
            Some(RolloutState::Moving) => TargetShare::All,
            Some(RolloutState::Completed) if now.since(self.state_since) < OLD_VERSION_GRACE => TargetShare::All,
            Some(RolloutState::Completed) => TargetShare::Unrestricted,
        }
    }

    fn is_due(&self, now: TimePoint) -> bool {
        now.since(self.ordered_at) + MOVING_LEAD >= self.duration
    }
}
