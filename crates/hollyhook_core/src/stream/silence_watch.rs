use std::time::Duration;

use super::{LivenessChecker, LivenessVerdict};
use crate::{EngineReport, TimePoint};

/// Time without an event, after the first one, before the engine is probed. Callers tolerate a gap of 0.7 s: with this
/// timeout a dead engine is suspected within half a second, and the rest is left for the resume. An engine that prefills
/// another prompt between steps pauses for 0.2 s.
const EVENT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without the first event before the engine is probed, in addition to the time to prefill the prompt.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Prompt tokens that an engine prefills per millisecond, according to the deployments' data sheets.
const PROMPT_TOKENS_PER_MS: u64 = 8;
/// Time until an engine that did not report is probed again, unless it is heard of earlier.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Decides when the engine of an attempt without events is probed, and evaluates its reports.
///
/// ```
/// use hollyhook_core::{LivenessVerdict, SilenceWatch, TimePoint};
///
/// let mut watch = SilenceWatch::before_first(TimePoint::ZERO, 8_000);
/// assert_eq!(watch.check_at(), TimePoint::from_millis(1_500));
/// watch.record_event(TimePoint::from_millis(1_200));
/// assert_eq!(watch.check_at(), TimePoint::from_millis(1_500));
/// let verdict = watch.record_report(TimePoint::from_millis(1_650), None, "r1", 1);
/// assert_eq!(verdict, LivenessVerdict::Suspect);
/// ```
#[derive(Debug, Clone)]
pub struct SilenceWatch {
    checker: LivenessChecker,
    silent_since: TimePoint,
    check_at: TimePoint,
    is_unanswered: bool,
}

impl SilenceWatch {
    /// A watch for an attempt whose engine prefills this many tokens before the first event.
    pub fn before_first(now: TimePoint, prompt_tokens: u64) -> Self {
        let prefill = Duration::from_millis(prompt_tokens / PROMPT_TOKENS_PER_MS);
        let check_at = now + FIRST_EVENT_TIMEOUT + prefill;
        Self { checker: LivenessChecker::default(), silent_since: now, check_at, is_unanswered: false }
    }

    /// Records that the attempt has sent an event.
    pub fn record_event(&mut self, now: TimePoint) {
        self.checker = LivenessChecker::default();
        self.silent_since = now;
        self.check_at = now + EVENT_TIMEOUT;
        self.is_unanswered = false;
    }

    /// When the attempt was begun, or sent its last event.
    pub fn silent_since(&self) -> TimePoint {
        self.silent_since
    }

    /// When the engine is to be probed, if no event has arrived by then.
    pub fn check_at(&self) -> TimePoint {
        self.check_at
    }

    /// Whether the engine did not answer the last probe. Otherwise, an attempt is suspected for what its engine reports.
    pub fn is_unanswered(&self) -> bool {
        self.is_unanswered
    }

    /// Records that a suspected attempt's engine has been heard on another connection, so that its report tells more;
    /// returns whether the attempt was suspected only because the engine did not answer.
    pub fn record_heard(&mut self, now: TimePoint) -> bool {
        self.check_at = self.check_at.min(now + EVENT_TIMEOUT);
        std::mem::take(&mut self.is_unanswered)
    }

    /// Evaluates the engine's report, or its absence; `delivered` as for [`LivenessChecker::check`].
    pub fn record_report(
        &mut self,
        now: TimePoint,
        report: Option<&EngineReport>,
        attempt_id: &str,
        delivered: u64,
    ) -> LivenessVerdict {
        self.check_at = now + if report.is_some() { EVENT_TIMEOUT } else { SILENT_PROBE_INTERVAL };
        self.is_unanswered = report.is_none();
        self.checker.check(report, attempt_id, delivered)
    }
}
