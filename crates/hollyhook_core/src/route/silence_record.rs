use std::time::Duration;

use crate::TimePoint;

/// How long a sign of life shows that an endpoint is alive, and a missed probe that it is silent.
const SIGN_LIFETIME: Duration = Duration::from_millis(200);
/// How long an endpoint that is neither heard nor found silent again is avoided and counted as silent, and how long an
/// answer does not end a stall.
const COUNTED_TIME: Duration = Duration::from_secs(2);

/// When an endpoint was last heard on any connection, and whether it has been found silent or stalled since.
///
/// A silent endpoint may have paused: unlike one that refuses or breaks connections, it is not known to be lost, and its
/// first sign of life ends the suspicion. An engine whose runs stall may still report; only an event shows that it goes
/// on.
#[derive(Debug, Clone, Default)]
pub(super) struct SilenceRecord {
    last_sign: Option<TimePoint>,
    silent_since: Option<TimePoint>,
    stalled_since: Option<TimePoint>,
}

impl SilenceRecord {
    /// Records an answer; returns whether it ends a silence. It ends no stall that was found recently.
    pub(super) fn add_answer(&mut self, now: TimePoint) -> bool {
        self.last_sign = Some(now);
        let was_silent = self.silent_since.take().is_some();
        let was_stalled = self.stalled_since.take_if(|at| now.since(*at) > COUNTED_TIME).is_some();
        (was_silent || was_stalled) && !self.is_silent()
    }

    /// Records an event of a stream; returns whether it ends a silence or a stall.
    pub(super) fn add_event(&mut self, now: TimePoint) -> bool {
        self.last_sign = Some(now);
        let was_silent = self.is_silent();
        self.forget_silence();
        was_silent
    }

    /// Records that a run makes no progress, although the endpoint answers; returns whether this was not known.
    pub(super) fn add_stall(&mut self, now: TimePoint) -> bool {
        self.stalled_since.replace(now).is_none()
    }

    /// Records that the endpoint did not answer in time; returns whether it was not known to be silent.
    pub(super) fn add_silence(&mut self, now: TimePoint) -> bool {
        self.silent_since.replace(now).is_none()
    }

    /// Ends a silence that something else explains.
    pub(super) fn forget_silence(&mut self) {
        self.silent_since = None;
        self.stalled_since = None;
    }

    /// When the endpoint last answered or sent an event.
    pub(super) fn last_sign(&self) -> Option<TimePoint> {
        self.last_sign
    }

    /// Whether the endpoint has been found silent or stalled, and this has not ended.
    pub(super) fn is_silent(&self) -> bool {
        self.silent_since.is_some() || self.stalled_since.is_some()
    }

    /// Whether the endpoint was heard so recently that it is known to be alive.
    pub(super) fn is_alive(&self, now: TimePoint) -> bool {
        !self.is_silent() && self.last_sign.is_some_and(|at| now.since(at) <= SIGN_LIFETIME)
    }

    /// Whether the endpoint was found silent a moment ago.
    pub(super) fn is_just_silent(&self, now: TimePoint) -> bool {
        self.silent_since.is_some_and(|at| now.since(at) <= SIGN_LIFETIME)
    }

    /// Whether the endpoint was found silent or stalled recently.
    pub(super) fn is_recently_silent(&self, now: TimePoint) -> bool {
        self.silent_since.max(self.stalled_since).is_some_and(|at| now.since(at) <= COUNTED_TIME)
    }

    /// Whether the endpoint was heard recently, and not found silent since.
    pub(super) fn is_recently_heard(&self, now: TimePoint) -> bool {
        !self.is_silent() && self.last_sign.is_some_and(|at| now.since(at) <= COUNTED_TIME)
    }
}
