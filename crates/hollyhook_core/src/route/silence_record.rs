use std::time::Duration;

use crate::TimePoint;

/// How long a sign of life shows that an endpoint is alive, and a missed probe that it is silent.
const SIGN_LIFETIME: Duration = Duration::from_millis(200);
/// How long an endpoint that is neither heard nor found silent again counts when the silent ones are counted.
const COUNTED_TIME: Duration = Duration::from_secs(2);

/// When an endpoint was last heard on any connection, and whether it has been found silent since.
///
/// A silent endpoint may have paused: unlike one that refuses or breaks connections, it is not known to be lost, and its
/// first sign of life ends the suspicion.
#[derive(Debug, Clone, Default)]
pub(super) struct SilenceRecord {
    heard_at: Option<TimePoint>,
    silent_at: Option<TimePoint>,
}

impl SilenceRecord {
    /// Records a sign of life; returns whether the endpoint had been found silent.
    pub(super) fn add_sign(&mut self, now: TimePoint) -> bool {
        self.heard_at = Some(now);
        self.silent_at.take().is_some()
    }

    /// Records that the endpoint did not answer in time; returns whether it was not known to be silent.
    pub(super) fn add_silence(&mut self, now: TimePoint) -> bool {
        self.silent_at.replace(now).is_none()
    }

    /// Ends a silence that something else explains.
    pub(super) fn forget_silence(&mut self) {
        self.silent_at = None;
    }

    /// Whether the endpoint has been found silent and not been heard since.
    pub(super) fn is_silent(&self) -> bool {
        self.silent_at.is_some()
    }

    /// Whether the endpoint was heard so recently that it is known to be alive.
    pub(super) fn is_alive(&self, now: TimePoint) -> bool {
        !self.is_silent() && self.heard_at.is_some_and(|at| now.since(at) <= SIGN_LIFETIME)
    }

    /// Whether the endpoint was found silent a moment ago.
    pub(super) fn is_just_silent(&self, now: TimePoint) -> bool {
        self.silent_at.is_some_and(|at| now.since(at) <= SIGN_LIFETIME)
    }

    /// Whether the endpoint was found silent recently.
    pub(super) fn is_recently_silent(&self, now: TimePoint) -> bool {
        self.silent_at.is_some_and(|at| now.since(at) <= COUNTED_TIME)
    }

    /// Whether the endpoint was heard recently, and not found silent since.
    pub(super) fn is_recently_heard(&self, now: TimePoint) -> bool {
        !self.is_silent() && self.heard_at.is_some_and(|at| now.since(at) <= COUNTED_TIME)
    }
}
