use std::collections::BTreeMap;
use std::time::Duration;

use super::EndpointState;
use crate::{EndpointId, TimePoint};

/// Decides when an endpoint whose entry is missing from the platform's list is removed, and which entries are outdated.
///
/// Entries may expire during an outage of the platform although their endpoints are alive. An entry that is missing
/// just after the platform has recovered is therefore kept for a grace period. At other times, a missing entry is
/// removed at once.
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
    /// When the platform last recovered from an outage, which started the grace period of missing entries.
    grace_start: Option<TimePoint>,
    /// Missing entries that are kept for now, and when they are removed.
    missing: BTreeMap<EndpointId, TimePoint>,
    /// Recently removed entries, and when each was removed.
    removed: BTreeMap<EndpointId, TimePoint>,
    /// Until when the list may contain entries of endpoints that left after the platform's older copy was made.
    suspect_until: TimePoint,
}

impl EndpointMembership {
    /// The time after the platform's recovery within which endpoints restore entries that expired during the outage.
    ///
    /// The platform states about two seconds; the other 250 ms are for the read that returns the restored entry.
    pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_250);

    /// How long an entry that is not renewed stays in the platform's list: three heartbeats and the lag of the list.
    const UNRENEWED_ENTRY_LIFETIME: Duration = Duration::from_secs(5);
    /// How long removals of entries are remembered; the copies that the platform is restored from are some seconds old.
    const REMOVAL_RETENTION: Duration = Duration::from_mins(1);

    /// Records that the platform was restored from an older copy, which may contain entries of endpoints that have left
    /// since.
    pub fn platform_rolled_back(&mut self, now: TimePoint) {
        self.suspect_until = now + Self::UNRENEWED_ENTRY_LIFETIME;
    }

    /// Whether the list may still contain outdated entries from the older copy that the platform was restored from.
    ///
    /// Endpoints that are alive renew their entries, which stay in the list; the entries of those that left expire.
    pub fn is_list_suspect(&self, now: TimePoint) -> bool {
        now < self.suspect_until
    }

    /// Whether an entry that was not written since the platform was restored from an older copy is outdated: its
    /// endpoint has left, or its `known` state is leaving while the entry says that it is live.
    pub fn is_outdated(
        &self,
        now: TimePoint,
        id: &EndpointId,
        known: Option<EndpointState>,
        listed: EndpointState,
    ) -> bool {
        let is_state_older = known == Some(EndpointState::Leaving) && listed == EndpointState::Live;
        self.is_list_suspect(now) && (is_state_older || self.removed.contains_key(id))
    }

    fn add_removal(&mut self, now: TimePoint, id: &EndpointId) {
        self.removed.retain(|_, at| now.since(*at) < Self::REMOVAL_RETENTION);
        self.removed.insert(EndpointId::clone(id), now);
    }

    /// Records that the platform answers again after an outage; the grace period of missing entries begins at `at`.
    pub fn platform_recovered(&mut self, at: TimePoint) {
        self.grace_start = Some(at);
    }

    /// Records that the entry of an endpoint is missing, and returns whether the endpoint is to be removed now.
    ///
    /// If not, [`take_expired`](Self::take_expired) returns the endpoint once its grace period has ended.
    pub fn mark_missing(&mut self, now: TimePoint, id: &EndpointId) -> bool {
        let Some(grace_start) = self.grace_start.filter(|at| now.since(*at) < Self::RECOVERY_GRACE) else {
            self.add_removal(now, id);
            return true;
        };
        self.missing.entry(EndpointId::clone(id)).or_insert(grace_start + Self::RECOVERY_GRACE);
        false
    }

    /// Records that the entry of an endpoint is in the list.
    pub fn mark_present(&mut self, id: &EndpointId) {
        self.missing.remove(id);
        self.removed.remove(id);
    }

    /// Removes and returns the endpoints whose grace period has ended.
    pub fn take_expired(&mut self, now: TimePoint) -> Vec<EndpointId> {
        let due = self.missing.iter().filter(|(_, at)| **at <= now).map(|(id, _)| EndpointId::clone(id));
        let due: Vec<EndpointId> = due.collect();
        for id in &due {
            self.missing.remove(id);
            self.add_removal(now, id);
        }
        due
    }
}
