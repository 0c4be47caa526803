use std::collections::BTreeMap;
use std::time::Duration;

use super::rate_meter::RateMeter;
use crate::TimePoint;

/// How long arriving requests count towards the rate at which a priority's requests arrive.
const ARRIVAL_MEMORY: Duration = Duration::from_secs(1);
/// Time for which unused turns accumulate.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Minimum rate in requests per second, so that waiting requests are still sent when no further ones arrive.
const MIN_RATE: f64 = 1.0;

/// How many requests of one priority a host sends, as a fraction of those that arrive.
#[derive(Debug)]
pub(super) struct DispatchShare {
    fraction: f64,
    arrivals: RateMeter,
    turns: f64,
    updated_at: TimePoint,
}

impl DispatchShare {
    pub(super) fn new(now: TimePoint) -> Self {
        Self { fraction: 1.0, arrivals: RateMeter::new(now, ARRIVAL_MEMORY), turns: 1.0, updated_at: now }
    }

    pub(super) fn record_arrival(&mut self, now: TimePoint) {
        self.arrivals.record(now);
    }

    pub(super) fn set_fraction(&mut self, now: TimePoint, fraction: f64) {
        self.refill(now);
        self.fraction = fraction.clamp(0.0, 1.0);
    }

    /// Whether fewer requests may be sent than arrive.
    pub(super) fn is_limited(&self) -> bool {
        self.fraction < 1.0
    }

    /// Requests per second that arrive.
    pub(super) fn arrivals(&self, now: TimePoint) -> f64 {
        self.arrivals.rough_rate(now)
    }

    /// Requests per second that are expected to be sent.
    pub(super) fn rate(&self, now: TimePoint) -> f64 {
        self.arrivals(now) * self.fraction
    }

    /// Requests per second that may be sent.
    fn turn_rate(&self, now: TimePoint) -> f64 {
        self.rate(now).max(MIN_RATE)
    }

    /// When the next request may be sent.
    pub(super) fn opens_at(&self, now: TimePoint) -> TimePoint {
        if !self.is_limited() {
            return now;
        }
        let rate = self.turn_rate(now);
        let turns = self.turns_at(now, rate);
        now + Duration::from_secs_f64((1.0 - turns).max(0.0) / rate)
    }

    pub(super) fn take(&mut self, now: TimePoint) {
        self.refill(now);
        self.turns = (self.turns - 1.0).max(-1.0);
    }

    fn refill(&mut self, now: TimePoint) {
        self.turns = self.turns_at(now, self.turn_rate(now));
        self.updated_at = now;
    }

    fn turns_at(&self, now: TimePoint, rate: f64) -> f64 {
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        (self.turns + rate * now.since(self.updated_at).as_secs_f64()).min(burst)
    }
}

/// The shares of all priorities, by priority.
pub(super) type DispatchShares = BTreeMap<u8, DispatchShare>;
