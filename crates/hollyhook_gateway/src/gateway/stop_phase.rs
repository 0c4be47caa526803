use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hollyhook_core::{RequestKind, TimePoint};

/// How long after the order to stop streams are still begun: one takes several seconds and could not end in time.
const STREAM_INTAKE: Duration = Duration::from_millis(600);
/// How long the balancer may go on to send callers: it asks once a second and counts two misses.
const CALLER_INTAKE: Duration = Duration::from_secs(3);
/// The part of the grace time that requests may use; the rest is for the process to end.
const USABLE_GRACE: f64 = 5.0 / 6.0;

/// How far a graceful stop is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was ordered.
    Serving,
    /// Not ready any more; what comes is served.
    Leaving,
    /// Streams are sent elsewhere, plain calls are served.
    Finishing,
    /// Idle connections are closed, nothing new is taken; what runs may end.
    Closing,
    /// Time is up: what still runs is cut off.
    Over,
}

impl StopPhase {
    /// Whether a request of that kind is still begun; it must be sure to end within the grace time.
    pub(crate) fn is_taking(self, kind: RequestKind) -> bool {
        match self {
            Self::Serving | Self::Leaving => true,
            Self::Finishing => !kind.is_stream(),
            Self::Closing | Self::Over => false,
        }
    }
}

/// When a stop was ordered, and the phases that follow from it.
#[derive(Debug)]
pub(crate) struct StopState {
    grace: Duration,
    ordered_at: Mutex<Option<TimePoint>>,
}

impl StopState {
    pub(crate) fn new(grace: Duration) -> Self {
        Self { grace, ordered_at: Mutex::default() }
    }

    pub(crate) fn order(&self, now: TimePoint) {
        self.ordered_at.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(now);
    }

    pub(crate) fn phase(&self, now: TimePoint) -> StopPhase {
        let Some(ordered_at) = *self.ordered_at.lock().unwrap_or_else(PoisonError::into_inner) else {
            return StopPhase::Serving;
        };
        let passed = now.since(ordered_at);
        if passed >= self.usable_grace() {
            StopPhase::Over
        } else if passed >= CALLER_INTAKE {
            StopPhase::Closing
        } else if passed >= STREAM_INTAKE {
            StopPhase::Finishing
        } else {
            StopPhase::Leaving
        }
    }

    /// How long after the order callers may still come.
    pub(crate) fn caller_intake(&self) -> Duration {
        CALLER_INTAKE.min(self.usable_grace())
    }

    /// How long after the order requests may still run.
    pub(crate) fn usable_grace(&self) -> Duration {
        self.grace.mul_f64(USABLE_GRACE)
    }
}
