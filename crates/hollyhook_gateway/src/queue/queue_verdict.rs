use std::time::Duration;

use hollyhook_core::{QueueRefusal, StopReason};

use super::QueueTurn;

/// The outcome of a request's wait.
#[derive(Debug)]
pub(super) enum QueueVerdict {
    Turn(QueueTurn),
    Refused(RefusedWait),
}

/// Why a request may not wait, or may no longer wait, for its turn.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RefusedWait {
    pub(crate) refusal: QueueRefusal,
    /// When this host expects capacity for the request's priority.
    pub(crate) retry_after: Duration,
}

impl RefusedWait {
    /// The reason for the caller.
    pub(crate) fn stop_reason(self) -> StopReason {
        match self.refusal {
            QueueRefusal::TooLate => StopReason::Overloaded,
            QueueRefusal::Displaced | QueueRefusal::Full => StopReason::QueueFull,
            QueueRefusal::Stopping => StopReason::Stopping,
        }
    }
}
