use std::time::Duration;

use futures::future::{Either, select};
use hollyhook_core::TimePoint;

use super::{SystemClock, VirtualClock};

/// Provides the current time, waits and timeouts to a whole process.
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
    System(SystemClock),
    Virtual(VirtualClock),
}

impl TimerService {
    /// The name under which the service is registered.
    pub const NAME: &'static str = "timer";

    /// The time since the clock started.
    pub fn now(&self) -> TimePoint {
        match &self.source {
            ClockSource::System(clock) => clock.now(),
            ClockSource::Virtual(clock) => clock.now(),
        }
    }

    /// The current Unix time in seconds; with a virtual clock, the seconds since the clock started.
    pub fn unix_secs(&self) -> u64 {
        match &self.source {
            ClockSource::System(_) => SystemClock::unix_secs(),
            ClockSource::Virtual(clock) => clock.now().as_micros() / 1_000_000,
        }
    }

    /// Waits until the time `at`; does not wait if that time has passed.
    pub async fn wait_until(&self, at: TimePoint) {
        match &self.source {
            ClockSource::System(clock) => clock.wait_until(at).await,
            ClockSource::Virtual(clock) => clock.wait_until(at).await,
        }
    }

    /// Waits for the duration `span`.
    pub async fn wait(&self, span: Duration) {
        self.wait_until(self.now() + span).await;
    }

    /// Runs `work` for up to `span`; returns its output, or drops it and returns `None` if it takes longer.
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
        Self { source: ClockSource::System(clock) }
    }
}

impl From<VirtualClock> for TimerService {
    fn from(clock: VirtualClock) -> Self {
        Self { source: ClockSource::Virtual(clock) }
    }
}
