use std::collections::BTreeMap;
use std::time::Duration;

use super::EndpointState;
use crate::{EndpointId, TimePoint};

/// Which endpoints are members, as far as the platform's list can be believed.
///
/// Entries may lapse while the platform is away, although their endpoints live. What is missing just after its return
/// is therefore kept for a grace time and forgotten only then. Otherwise a missing entry is gone at once.
///
/// ```
/// use hollyhook_core::{EndpointMembership, TimePoint};
/// use std::time::Duration;
///
/// let mut membership = EndpointMembership::default();
/// membership.platform_recovered(TimePoint::ZERO);
/// assert!(!membership.mark_missing(TimePoint::from_millis(10), &"engine-1".into()));
/// assert_eq!(membership.take_expired(TimePoint::from_millis(5_000)).len(), 1);
/// assert!(membership.mark_missing(TimePoint::from_millis(5_000), &"engine-2".into()));
/// ```
#[derive(Debug, Default)]
pub struct EndpointMembership {
    back_at: Option<TimePoint>,
    /// Missing entries and when they are taken as gone.
    missing: BTreeMap<EndpointId, TimePoint>,
    /// When entries went, of those that went lately.
    gone: BTreeMap<EndpointId, TimePoint>,
    /// Until when what an older copy of the platform's list holds may be gone.
    relics_until: TimePoint,
}

impl EndpointMembership {
    /// How long after the platform's return an entry that lapsed meanwhile may take to come back.
    ///
    /// The platform states about two seconds; the quarter more is for the read that shows it.
    pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_250);

    /// How long an entry stays in the platform's list that nobody renews: three heartbeats and what the list lags behind.
    const RELIC_TIME: Duration = Duration::from_secs(5);
    /// How long it is remembered that an entry went; copies from which the platform comes back are some seconds old.
    const GONE_KEPT: Duration = Duration::from_mins(1);

    /// Notes that the platform came back from an older copy of itself: entries in it may be of endpoints that left since.
    pub fn platform_rolled_back(&mut self, now: TimePoint) {
        self.relics_until = now + Self::RELIC_TIME;
    }

    /// Whether what the list says of an endpoint may be of before, which the list shows only by chance.
    ///
    /// Who lives renews its entry, and it stays; who left does not, and it goes.
    pub fn is_list_suspect(&self, now: TimePoint) -> bool {
        now < self.relics_until
    }

    /// Whether an entry that nobody has written since the platform came back from an older copy says less than what is known:
    /// its endpoint has left, or is `known` to leave and is said to be live.
    pub fn is_outdated(
        &self,
        now: TimePoint,
        id: &EndpointId,
        known: Option<EndpointState>,
        told: EndpointState,
    ) -> bool {
        let is_back = known == Some(EndpointState::Leaving) && told == EndpointState::Live;
        self.is_list_suspect(now) && (is_back || self.gone.contains_key(id))
    }

    fn note_gone(&mut self, now: TimePoint, id: &EndpointId) {
        self.gone.retain(|_, at| now.since(*at) < Self::GONE_KEPT);
        self.gone.insert(EndpointId::clone(id), now);
    }

    /// Notes that the platform answers again after it did not; what is missing has its grace time from `at` on.
    pub fn platform_recovered(&mut self, at: TimePoint) {
        self.back_at = Some(at);
    }

    /// Whether an endpoint whose entry is missing is to be forgotten now; if not, [`take_expired`](Self::take_expired) tells when.
    pub fn mark_missing(&mut self, now: TimePoint, id: &EndpointId) -> bool {
        let Some(back_at) = self.back_at.filter(|at| now.since(*at) < Self::RECOVERY_GRACE) else {
            self.note_gone(now, id);
            return true;
        };
        self.missing.entry(EndpointId::clone(id)).or_insert(back_at + Self::RECOVERY_GRACE);
        false
    }

    /// Notes that an entry is there.
    pub fn mark_present(&mut self, id: &EndpointId) {
        self.missing.remove(id);
        self.gone.remove(id);
    }

    /// The endpoints whose grace time is over; each is returned once.
    pub fn take_expired(&mut self, now: TimePoint) -> Vec<EndpointId> {
        let due = self.missing.iter().filter(|(_, at)| **at <= now).map(|(id, _)| EndpointId::clone(id));
        let due: Vec<EndpointId> = due.collect();
        for id in &due {
            self.missing.remove(id);
            self.note_gone(now, id);
        }
        due
    }
}
