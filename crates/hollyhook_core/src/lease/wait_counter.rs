use std::time::Duration;

use crate::TimePoint;

/// Span within which the requests that wait are counted: each looks for an endpoint every few milliseconds.
const WAIT_SPAN: Duration = Duration::from_millis(5);
/// How long a request that waited counts as waiting.
const WAIT_AGE: Duration = Duration::from_millis(15);

/// How many requests wait.
#[derive(Debug, Default)]
pub(super) struct WaitCounter {
    span: u64,
    count: u32,
    /// The last full span, with what was counted in it.
    last: (u64, u32),
}

impl WaitCounter {
    /// Counts a request that waits.
    pub(super) fn add(&mut self, now: TimePoint) {
        let span = span_at(now);
        if span != self.span {
            self.last = (self.span, self.count);
            (self.span, self.count) = (span, 0);
        }
        self.count += 1;
    }

    /// A request was sent, most likely one that waited.
    pub(super) fn remove_one(&mut self) {
        self.count = self.count.saturating_sub(1);
        self.last.1 = self.last.1.saturating_sub(1);
    }

    /// How many requests waited lately.
    pub(super) fn count(&self, now: TimePoint) -> u32 {
        let oldest = span_at(now).saturating_sub((WAIT_AGE.as_micros() / WAIT_SPAN.as_micros()) as u64);
        let is_recent = |span: u64| span > 0 && span >= oldest;
        let present = if is_recent(self.span) { self.count } else { 0 };
        if is_recent(self.last.0) { present.max(self.last.1) } else { present }
    }
}

fn span_at(now: TimePoint) -> u64 {
    now.as_micros() / WAIT_SPAN.as_micros() as u64
}
