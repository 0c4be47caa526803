use std::time::Duration;

use crate::TimePoint;

/// Minimum time over which the events of a stream are counted: pauses for the prompts of other requests last a few
/// tenths of a second and must not make an engine look slow.
const MIN_SPAN: Duration = Duration::from_secs(2);

/// Measures the time between the events of a running stream.
///
/// ```
/// use hollyhook_core::{ProgressMeter, TimePoint};
/// use std::time::Duration;
///
/// let mut meter = ProgressMeter::default();
/// for millis in (0..=2_000).step_by(100) {
///     meter.record(TimePoint::from_millis(millis), 1);
/// }
/// assert_eq!(meter.event_time(TimePoint::from_millis(2_000)), Some(Duration::from_millis(100)));
/// ```
#[derive(Debug, Default)]
pub struct ProgressMeter {
    /// The event from which the current span is counted; `None` before the first event.
    start: Option<TimePoint>,
    /// The events of the current span after the one at its start.
    events: u32,
    /// The time between events in the last whole span.
    last: Option<Duration>,
}

impl ProgressMeter {
    /// Records that events have arrived.
    pub fn record(&mut self, now: TimePoint, events: u32) {
        let Some(start) = self.start else {
            self.start = Some(now);
            return;
        };
        self.events += events;
        let span = now.since(start);
        if span >= MIN_SPAN && self.events > 0 {
            self.last = Some(span / self.events);
            self.start = Some(now);
            self.events = 0;
        }
    }

    /// The time between recent events; `None` until events have been counted over 2 s.
    ///
    /// The result is that of the last whole span, or, if it is longer, the time that the current span implies if its
    /// next event arrived now: so an engine that becomes slow is noticed before its next event.
    pub fn event_time(&self, now: TimePoint) -> Option<Duration> {
        let last = self.last?;
        let span = self.start.map_or(Duration::ZERO, |start| now.since(start));
        if span < MIN_SPAN {
            return Some(last);
        }
        Some(last.max(span / (self.events + 1)))
    }
}
