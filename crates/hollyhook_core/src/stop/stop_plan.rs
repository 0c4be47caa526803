use std::time::Duration;

use crate::RequestKind;

/// How long after the order to stop streams are still begun: one that takes its usual five or six seconds still ends
/// within the grace time.
const STREAM_INTAKE: Duration = Duration::from_millis(700);
/// How long the balancer may go on to send callers: it asks once a second, and two misses take a host out.
const CALLER_INTAKE: Duration = Duration::from_secs(3);
/// The part of the grace time that requests may use; the rest is for the process to end before it is killed.
const USABLE_GRACE: f64 = 0.94;

/// How far a graceful stop is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was ordered.
    Serving,
    /// Not ready any more; what comes and can end in time is served.
    Leaving,
    /// No caller is expected any more: idle connections are closed.
    Closing,
    /// Time is up: what still runs is cut off.
    Over,
}

/// The phases of a graceful stop that has to be over within a grace time.
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
    /// A plan for a process that is killed `grace` after the order.
    pub fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// The phase that long after the order.
    pub fn phase(self, passed: Duration) -> StopPhase {
        if passed >= self.usable_grace() {
            StopPhase::Over
        } else if passed >= CALLER_INTAKE {
            StopPhase::Closing
        } else {
            StopPhase::Leaving
        }
    }

    /// Whether a request is still begun that long after the order, whose caller waits for `patience`.
    ///
    /// While callers are expected, a stream is taken if one of the usual length would end, and each call, which takes a
    /// fraction of a second. After that a call is taken only if its caller gives up within the grace time.
    pub fn is_admitted(self, kind: RequestKind, patience: Duration, passed: Duration) -> bool {
        if kind.is_stream() {
            return passed < STREAM_INTAKE;
        }
        passed < self.accept_period() || passed + patience <= self.usable_grace()
    }

    /// How long after the order callers may still come.
    pub fn accept_period(self) -> Duration {
        CALLER_INTAKE.min(self.usable_grace())
    }

    /// How long after the order requests may still run.
    pub fn usable_grace(self) -> Duration {
        self.grace.mul_f64(USABLE_GRACE)
    }
}
