use std::time::Duration;

use hollyhook_core::AttemptFailure;

/// An attempt whose connection was lost.
#[derive(Debug, Clone, Copy)]
pub(super) struct LostRun {
    pub(super) failure: AttemptFailure,
    /// For how long the stream had had events, over all attempts of this client attempt.
    pub(super) run_time: Duration,
}

impl LostRun {
    /// An attempt that was lost before it had sent an event.
    pub(super) fn before_events(failure: AttemptFailure) -> Self {
        Self { failure, run_time: Duration::ZERO }
    }
}
