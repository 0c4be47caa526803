use std::time::Duration;

use hollyhook_core::{LossMatcher, RolloutOrder, RolloutPlan, RolloutState, TimePoint, TrialEvidence};
use hollyhook_platform::{RolloutStatus, StoreObject};

use super::unix_time::unix_millis;

/// A roll-out as this host knows it.
#[derive(Debug, Clone)]
pub(crate) struct KnownRollout {
    pub(crate) order: RolloutOrder,
    /// The order's object in the store.
    pub(crate) object: StoreObject,
    /// The state in the store; `None` if none has been written.
    pub(crate) stored: Option<RolloutState>,
    /// The furthest state that this host has read; it never goes back, even if the store is restored from an older
    /// copy.
    pub(crate) state: Option<RolloutState>,
    /// When this host learned of the state.
    pub(crate) state_since: TimePoint,
    /// When a host first read the order.
    pub(crate) ordered_at: TimePoint,
    /// Whether the operator removed the order.
    pub(super) is_withdrawn: bool,
    /// This host's evidence about the versions of the service.
    pub(super) evidence: TrialEvidence,
    /// The attempts of the last seconds, by which lost answers become evidence.
    pub(super) matcher: LossMatcher,
}

impl KnownRollout {
    /// Whether the roll-out is undecided.
    pub(crate) fn is_active(&self) -> bool {
        !self.is_withdrawn && !self.state.is_some_and(RolloutState::is_final)
    }

    /// Whether the store has lost the state, which has to be written again.
    pub(crate) fn is_unwritten(&self) -> bool {
        !self.is_withdrawn && self.stored != self.state
    }

    /// The plan by which the roll-out changes its state.
    pub(crate) fn plan(&self) -> RolloutPlan {
        RolloutPlan {
            ordered_at: self.ordered_at,
            duration: self.order.duration,
            state: self.state,
            state_since: self.state_since,
        }
    }

    /// The status to write to the store for a state.
    pub(crate) fn status(&self, now: TimePoint, state: RolloutState) -> RolloutStatus {
        let age = now.since(self.ordered_at).as_millis() as u64;
        RolloutStatus { state, ordered_ms: Some(unix_millis().saturating_sub(age)) }
    }
}

/// When a host first read an order: as the status in the store states, or now if it states no time.
pub(super) fn first_seen_at(now: TimePoint, order: &RolloutOrder, status: Option<&RolloutStatus>) -> TimePoint {
    let stored = status.and_then(|status| status.ordered_ms);
    let age = stored.map_or(0, |at| unix_millis().saturating_sub(at));
    // Bounded by the order's duration, since the time of day may jump.
    now - Duration::from_millis(age).min(order.duration)
}
