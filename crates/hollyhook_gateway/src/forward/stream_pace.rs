use std::time::Duration;

use hollyhook_core::TimePoint;

/// How a stream's events reached its caller.
#[derive(Debug, Default)]
pub(super) struct StreamPace {
    first: Option<TimePoint>,
    last: Option<TimePoint>,
    longest_gap: Duration,
}

impl StreamPace {
    /// Takes in that events are on their way to the caller.
    pub(super) fn note(&mut self, now: TimePoint) {
        let gap = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.longest_gap = self.longest_gap.max(gap);
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// When the first event was there.
    pub(super) fn first(&self) -> Option<TimePoint> {
        self.first
    }

    /// The longest time between two events.
    pub(super) fn longest_gap(&self) -> Duration {
        self.longest_gap
    }
}
