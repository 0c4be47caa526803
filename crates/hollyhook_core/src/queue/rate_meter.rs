use std::time::Duration;

use crate::TimePoint;

/// Minimum time over which events are counted before a rate is returned.
const MIN_SPAN: Duration = Duration::from_millis(500);
/// Minimum number of counted events before a rate is returned. The rate from three events is within a factor of two of
/// the true one in most cases.
const MIN_EVENTS: f64 = 3.0;

/// Measures the rate of events, with exponentially decreasing weight of older ones.
#[derive(Debug, Clone)]
pub(super) struct RateMeter {
    memory: Duration,
    updated_at: TimePoint,
    events: f64,
    /// Time over which the events were counted, weighted as they are.
    span_secs: f64,
}

impl RateMeter {
    /// A meter in which the weight of an event decays within about `memory`.
    pub(super) fn new(now: TimePoint, memory: Duration) -> Self {
        Self { memory, updated_at: now, events: 0.0, span_secs: 0.0 }
    }

    pub(super) fn record(&mut self, now: TimePoint) {
        self.advance(now);
        self.events += 1.0;
    }

    /// Excludes the time since the last update from the measurement.
    pub(super) fn skip_to(&mut self, now: TimePoint) {
        self.updated_at = now;
    }

    /// Events per second; `None` if too few were counted.
    pub(super) fn rate(&self, now: TimePoint) -> Option<f64> {
        let mut meter = self.clone();
        meter.advance(now);
        let is_measured = meter.span_secs >= MIN_SPAN.as_secs_f64() && meter.events >= MIN_EVENTS;
        is_measured.then(|| meter.events / meter.span_secs)
    }

    /// Events per second even if few were counted, as an average over at least the minimum span.
    pub(super) fn rough_rate(&self, now: TimePoint) -> f64 {
        let mut meter = self.clone();
        meter.advance(now);
        meter.events / meter.span_secs.max(MIN_SPAN.as_secs_f64())
    }

    fn advance(&mut self, now: TimePoint) {
        let memory_secs = self.memory.as_secs_f64();
        let decay = (-now.since(self.updated_at).as_secs_f64() / memory_secs).exp();
        self.events *= decay;
        self.span_secs = self.span_secs * decay + memory_secs * (1.0 - decay);
        self.updated_at = self.updated_at.max(now);
    }
}
