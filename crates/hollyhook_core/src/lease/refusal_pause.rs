use std::time::Duration;

use crate::TimePoint;

/// Pause after an owner leased less than was asked for, which doubles with each refusal: while all hosts are short, their
/// questions must not add to the load.
const BASE_PAUSE: Duration = Duration::from_millis(20);
const MAX_DOUBLINGS: u32 = 6;
/// How long after the last refusal the pause lasts: an owner with more demand than it can meet also leases as much as is
/// asked for at times.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// When an owner that leased less than was asked for may be asked again.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RefusalPause {
    until: TimePoint,
    refused_at: TimePoint,
    refusals: u32,
}

impl RefusalPause {
    pub(super) fn is_over(&self, now: TimePoint) -> bool {
        now >= self.until
    }

    /// The present length of the pause.
    pub(super) fn span(&self) -> Duration {
        match self.refusals {
            0 => Duration::ZERO,
            refusals => BASE_PAUSE * 2_u32.pow(refusals.min(MAX_DOUBLINGS)),
        }
    }

    /// Records an answer.
    pub(super) fn record(&mut self, now: TimePoint, is_refused: bool) {
        if is_refused {
            self.refusals = (self.refusals + 1).min(MAX_DOUBLINGS);
            self.refused_at = now;
        } else if now.since(self.refused_at) >= RECOVERY_TIME {
            self.refusals = 0;
        }
        self.until = now + self.span();
    }
}
