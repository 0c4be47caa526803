use std::time::Duration;

use hollyhook_core::{RolloutOrder, RolloutPlan, RolloutState, TimePoint, TrialEvidence};
use hollyhook_platform::{RolloutStatus, StoreObject};

use super::unix_time::unix_millis;

/// A roll-out, as far as this host knows.
#[derive(Debug, Clone)]
pub(crate) struct KnownRollout {
    pub(crate) order: RolloutOrder,
    /// The order as the store holds it, and what was written of it there.
    pub(crate) object: StoreObject,
    pub(crate) stored: Option<RolloutState>,
    /// How far it is. It never goes back, also if the store does.
    pub(crate) state: Option<RolloutState>,
    pub(crate) state_since: TimePoint,
    pub(crate) ordered_at: TimePoint,
    /// Whether the operator took the order away.
    pub(super) is_withdrawn: bool,
    /// What this host saw.
    pub(super) evidence: TrialEvidence,
}

impl KnownRollout {
    /// Whether it is being decided.
    pub(crate) fn is_active(&self) -> bool {
        !self.is_withdrawn && !self.state.is_some_and(RolloutState::is_final)
    }

    /// Whether the store should hold another state than it does.
    pub(crate) fn is_unwritten(&self) -> bool {
        !self.is_withdrawn && self.stored != self.state
    }

    /// When it goes on.
    pub(crate) fn plan(&self) -> RolloutPlan {
        RolloutPlan {
            ordered_at: self.ordered_at,
            duration: self.order.duration,
            state: self.state,
            state_since: self.state_since,
        }
    }

    /// What is to stand in the store for a state.
    pub(crate) fn status(&self, now: TimePoint, state: RolloutState) -> RolloutStatus {
        let age = now.since(self.ordered_at).as_millis() as u64;
        RolloutStatus { state, ordered_ms: Some(unix_millis().saturating_sub(age)) }
    }
}

/// When an order was first heard of: by the note of the host that heard of it, if there is one.
pub(super) fn first_seen_at(now: TimePoint, order: &RolloutOrder, status: Option<&RolloutStatus>) -> TimePoint {
    let noted = status.and_then(|status| status.ordered_ms);
    let age = noted.map_or(0, |at| unix_millis().saturating_sub(at));
    // Times of day may jump.
    now - Duration::from_millis(age).min(order.duration)
}
