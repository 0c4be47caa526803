use std::time::Duration;

use hollyhook_core::TimePoint;

/// How a stream's events reached its caller.
#[derive(Debug, Default)]
pub(super) struct StreamPace {
    first: Option<TimePoint>,
    last: Option<TimePoint>,
    longest_gap: Duration,
    /// Since when an attempt is looked for after a loss.
    lost: Option<TimePoint>,
    resumes: Vec<Duration>,
}

impl StreamPace {
    /// Takes in that events are on their way to the caller.
    pub(super) fn note(&mut self, now: TimePoint) {
        let gap = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.longest_gap = self.longest_gap.max(gap);
        self.first.get_or_insert(now);
        if let Some(lost) = self.lost.take() {
            self.resumes.push(now.since(lost));
        }
        self.last = Some(now);
    }

    /// Takes in that the attempt is lost that sent the last events.
    pub(super) fn note_loss(&mut self) {
        self.lost = self.lost.or(self.last);
    }

    /// The times from the last event before a loss to the next.
    pub(super) fn resumes(&self) -> &[Duration] {
        &self.resumes
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
