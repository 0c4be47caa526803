use std::time::Duration;

use futures::future::{Either, select};
use hollyhook_core::TimePoint;

use super::{SystemClock, VirtualClock};

/// The time, and waiting for it, for every part of a process.
///
/// ```
/// use hollyhook_kernel::{TimerService, VirtualClock};
/// use std::time::Duration;
///
/// let clock = VirtualClock::default();
/// let timer = TimerService::from(clock.clone());
/// clock.advance(Duration::from_secs(5));
/// assert_eq!(timer.now().as_micros(), 5_000_000);
/// ```
#[derive(Debug, Clone)]
pub struct TimerService {
    source: ClockSource,
}

#[derive(Debug, Clone)]
enum ClockSource {
    Wall(SystemClock),
    Virtual(VirtualClock),
}

impl TimerService {
    /// The name that the service is registered under.
    pub const NAME: &'static str = "timer";

    /// The time since the clock's start.
    pub fn now(&self) -> TimePoint {
        match &self.source {
            ClockSource::Wall(clock) => clock.now(),
            ClockSource::Virtual(clock) => clock.now(),
        }
    }

    /// The time of day in Unix seconds; under a virtual clock, seconds since its start.
    pub fn unix_secs(&self) -> u64 {
        match &self.source {
            ClockSource::Wall(_) => SystemClock::unix_secs(),
            ClockSource::Virtual(clock) => clock.now().as_micros() / 1_000_000,
        }
    }

    /// Waits until that time, or returns at once if it is past.
    pub async fn wait_until(&self, at: TimePoint) {
        match &self.source {
            ClockSource::Wall(clock) => clock.wait_until(at).await,
            ClockSource::Virtual(clock) => clock.wait_until(at).await,
        }
    }

    /// Waits that long.
    pub async fn wait(&self, span: Duration) {
        self.wait_until(self.now() + span).await;
    }

    /// The outcome of `work`, or `None` if it takes longer than `span`; the work is dropped then.
    pub async fn within<T>(&self, span: Duration, work: impl Future<Output = T>) -> Option<T> {
        let work = std::pin::pin!(work);
        let limit = std::pin::pin!(self.wait(span));
        match select(work, limit).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right(((), _)) => None,
        }
    }
}

impl From<SystemClock> for TimerService {
    fn from(clock: SystemClock) -> Self {
        Self { source: ClockSource::Wall(clock) }
    }
}

impl From<VirtualClock> for TimerService {
    fn from(clock: VirtualClock) -> Self {
        Self { source: ClockSource::Virtual(clock) }
    }
}
