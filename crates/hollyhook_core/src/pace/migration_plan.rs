use std::time::Duration;

use super::EngineSpeed;

/// A stream counts as in time if it is expected to end within this fraction of the time left. The rest is a margin:
/// events come more slowly when the engine gets further requests.
const SAFE_SHARE: f64 = 0.9;
/// Expected time from the last event at one engine to the next event at the other: the first engine stops and sends the
/// rest of the KV cache, and the second one admits the request.
const MIGRATION_TIME: Duration = Duration::from_millis(400);
/// A stream migrates only if it would take at most this fraction of its expected remaining time at the other engine.
/// The speed of that engine is an estimate, and the stream itself slows it down.
const MAX_SHARE_ELSEWHERE: f64 = 0.7;
/// The shortest time between two migrations of a stream. The pace at the new engine is known only after 2 s.
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// The expected remaining work of a running stream, by which it is decided whether the stream should migrate.
///
/// ```
/// use hollyhook_core::{EngineSpeed, MigrationPlan};
/// use std::time::Duration;
///
/// let plan = MigrationPlan::new(100, Duration::from_millis(200), Duration::from_secs(15));
/// assert!(plan.is_late());
/// assert!(plan.gains_at(EngineSpeed::default()));
/// let at_rest = MigrationPlan::new(100, Duration::from_millis(30), Duration::from_secs(15));
/// assert!(!at_rest.is_late());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MigrationPlan {
    events_left: u64,
    event_time: Duration,
    time_left: Duration,
    since_last: Option<Duration>,
}

impl MigrationPlan {
    /// A plan for a stream with up to `events_left` events to come, which follow each other after `event_time` at its
    /// present engine, and with `time_left` until its deadline.
    pub fn new(events_left: u64, event_time: Duration, time_left: Duration) -> Self {
        Self { events_left, event_time, time_left, since_last: None }
    }

    /// Sets how long ago the stream migrated, if it has.
    #[must_use]
    pub fn since_last(mut self, since: Option<Duration>) -> Self {
        self.since_last = since;
        self
    }

    /// Whether the stream would miss its deadline at its present engine, and has not migrated recently.
    pub fn is_late(&self) -> bool {
        let is_settled = self.since_last.is_none_or(|since| since >= MIN_INTERVAL);
        is_settled && self.time_to_end(self.event_time) > self.time_left.mul_f64(SAFE_SHARE)
    }

    /// Whether an engine of this speed would end the stream in time, and much sooner than its present engine.
    pub fn gains_at(&self, speed: EngineSpeed) -> bool {
        let here = self.time_to_end(self.event_time);
        let elsewhere = MIGRATION_TIME + self.time_to_end(speed.event_time);
        elsewhere <= self.time_left.mul_f64(SAFE_SHARE) && elsewhere <= here.mul_f64(MAX_SHARE_ELSEWHERE)
    }

    fn time_to_end(&self, event_time: Duration) -> Duration {
        Duration::from_secs_f64(self.events_left as f64 * event_time.as_secs_f64())
    }
}
