use std::time::Duration;

use crate::TimePoint;

/// How long a report of room is relied on. A host that sends little hears rarely of an endpoint.
const ROOM_AGE: Duration = Duration::from_secs(5);
/// Free share of an endpoint above which there is room for a request whatever other hosts send meanwhile: in the time
/// that a request takes, about as many arrive as are running.
const AMPLE_SHARE: f64 = 0.4;

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

    /// Whether there is room for a request besides those of all other hosts.
    pub(super) fn is_ample(&self, now: TimePoint, capacity: u32) -> bool {
        let left = self.free_share - 1.0 / f64::from(capacity.max(1));
        !self.is_used && now.since(self.at) <= ROOM_AGE && left >= AMPLE_SHARE
    }
}
