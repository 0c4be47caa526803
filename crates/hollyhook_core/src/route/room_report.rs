use std::time::Duration;

use crate::TimePoint;

/// How long a report of room is relied on. A host that sends little hears rarely of an endpoint.
const ROOM_AGE: Duration = Duration::from_secs(5);
/// Free share of an endpoint above which there is room for a request whatever other hosts send meanwhile: in the time
/// that a request takes, about as many arrive as are running.
const AMPLE_SHARE: f64 = 0.4;
/// By how much the free share in a report is assumed to grow per second. Load varies, and a host that never used an
/// endpoint again because of an old report would get no further report from it.
const RELAXATION: f64 = 1.0;
/// Free share below which an endpoint counts as full.
const FULL_SHARE: f64 = 0.1;

/// The free share of an endpoint, as it last reported it.
#[derive(Debug, Clone, Copy)]
pub(super) struct RoomReport {
    at: TimePoint,
    free_share: f64,
    /// Whether this host has sent a request since.
    is_used: bool,
}

impl RoomReport {
    pub(super) fn new(at: TimePoint, free_share: f64) -> Self {
        Self { at, free_share, is_used: false }
    }

    pub(super) fn add_send(&mut self) {
        self.is_used = true;
    }

    /// Whether the endpoint had no room for a further request.
    pub(super) fn is_full(&self, capacity: u32) -> bool {
        self.left(capacity) < FULL_SHARE
    }

    /// Whether there is room for a request besides those of all other hosts.
    ///
    /// A host with a slot of its own may send further requests on the same report. Reports from before `full_at` do not
    /// count: an endpoint of the service was full then.
    pub(super) fn is_ample(&self, now: TimePoint, capacity: u32, is_own: bool, full_at: Option<TimePoint>) -> bool {
        let (age, left) = (now.since(self.at), self.left(capacity));
        let relaxed = if left > 0.01 { left + RELAXATION * age.as_secs_f64() } else { left };
        (is_own || !self.is_used) && age <= ROOM_AGE && full_at.is_none_or(|at| self.at >= at) && relaxed >= AMPLE_SHARE
    }

    fn left(&self, capacity: u32) -> f64 {
        self.free_share - 1.0 / f64::from(capacity.max(1))
    }
}
