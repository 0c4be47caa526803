use std::time::Duration;

use crate::RequestKind;

/// How long after the shutdown request new streams are admitted: a stream of the usual five or six seconds still ends
/// within the grace period.
const STREAM_ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// How long after the shutdown request the load balancer may still send callers: it checks readiness once a second, and
/// removes a host after two failed checks.
const ACCEPT_PERIOD: Duration = Duration::from_secs(3);
/// The fraction of the grace period that requests may use; the rest is for the process to exit before it is killed.
const USABLE_GRACE: f64 = 0.94;

/// The phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No shutdown was requested.
    Serving,
    /// The host reports that it is not ready; new requests that can end in time are served.
    Leaving,
    /// No new callers are expected; idle connections are closed.
    Closing,
    /// The usable grace period is over; requests that still run are cut off.
    Over,
}

/// The phases of a graceful shutdown that must end within a grace period.
///
/// ```
/// use hollyhook_core::{StopPhase, StopPlan};
/// use std::time::Duration;
///
/// let plan = StopPlan::new(Duration::from_secs(8));
/// assert_eq!(plan.phase(Duration::from_millis(500)), StopPhase::Leaving);
/// assert_eq!(plan.phase(Duration::from_secs(4)), StopPhase::Closing);
/// assert_eq!(plan.phase(Duration::from_secs(8)), StopPhase::Over);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct StopPlan {
    grace: Duration,
}

impl StopPlan {
    /// A plan for a process that is killed `grace` after the shutdown request.
    pub fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// The phase at `elapsed` after the shutdown request.
    pub fn phase(self, elapsed: Duration) -> StopPhase {
        if elapsed >= self.usable_grace() {
            StopPhase::Over
        } else if elapsed >= ACCEPT_PERIOD {
            StopPhase::Closing
        } else {
            StopPhase::Leaving
        }
    }

    /// Whether a request whose caller waits for `timeout` is admitted at `elapsed` after the shutdown request.
    ///
    /// Streams are admitted as long as one of the usual length would end in time. Calls take a fraction of a second,
    /// and are all admitted in the accept period; after it, a call is admitted only if its caller's timeout ends within
    /// the usable grace period.
    pub fn is_admitted(self, kind: RequestKind, timeout: Duration, elapsed: Duration) -> bool {
        if kind.is_stream() {
            return elapsed < STREAM_ACCEPT_PERIOD;
        }
        elapsed < self.accept_period() || elapsed + timeout <= self.usable_grace()
    }

    /// How long after the shutdown request new callers are expected.
    pub fn accept_period(self) -> Duration {
        ACCEPT_PERIOD.min(self.usable_grace())
    }

    /// How long after the shutdown request requests may still run.
    pub fn usable_grace(self) -> Duration {
        self.grace.mul_f64(USABLE_GRACE)
    }
}
