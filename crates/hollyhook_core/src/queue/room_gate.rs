use std::time::Duration;

use crate::TimePoint;

/// Bounds of the time between two searches for room. The upper bound applies to engines, whose reports are 100 to 200
/// ms old: more frequent searches would mostly see the same reports.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
const MAX_INTERVAL: Duration = Duration::from_millis(160);

/// Determines when the request at the head of a queue may search for room again after a search found none.
///
/// The interval doubles with each unsuccessful search, up to the time of a call, within which a slot is likely to
/// become free. A request of a higher priority than those that found no room searches at once, since room may be
/// reserved for it.
#[derive(Debug, Clone)]
pub struct RoomGate {
    interval: Duration,
    opens_at: TimePoint,
    /// The highest priority of the requests that have found no room since the last successful search.
    full_for: Option<u8>,
}

impl Default for RoomGate {
    fn default() -> Self {
        Self { interval: MIN_INTERVAL, opens_at: TimePoint::ZERO, full_for: None }
    }
}

impl RoomGate {
    /// When a request of a priority may search for room.
    pub fn opens_at(&self, now: TimePoint, priority: u8) -> TimePoint {
        if self.is_full_for(priority) { self.opens_at.max(now) } else { now }
    }

    /// Whether the last requests of this or a higher priority found no room.
    pub fn is_full_for(&self, priority: u8) -> bool {
        self.full_for.is_some_and(|full_for| priority >= full_for)
    }

    /// Records that a request of a priority found no room, at a service whose calls take `call_time`.
    pub fn record_full(&mut self, now: TimePoint, priority: u8, call_time: Duration) {
        self.full_for = Some(self.full_for.map_or(priority, |full_for| full_for.min(priority)));
        self.opens_at = now + self.interval;
        self.interval = (self.interval * 2).min(call_time.clamp(MIN_INTERVAL, MAX_INTERVAL));
    }

    /// Records that a request found room.
    pub fn record_found(&mut self) {
        *self = Self::default();
    }

    /// Records that a request of this host ended, which may have made room.
    pub fn record_end(&mut self, now: TimePoint) {
        self.opens_at = self.opens_at.min(now);
    }
}
