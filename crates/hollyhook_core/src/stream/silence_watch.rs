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
}

impl SilenceWatch {
    /// A watch for an attempt whose engine prefills this many tokens before the first event.
    pub fn before_first(now: TimePoint, prompt_tokens: u64) -> Self {
        let prefill = Duration::from_millis(prompt_tokens / PROMPT_TOKENS_PER_MS);
        let check_at = now + FIRST_EVENT_TIMEOUT + prefill;
        Self { checker: LivenessChecker::default(), silent_since: now, check_at }
    }

    /// Records that the attempt has sent an event.
    pub fn record_event(&mut self, now: TimePoint) {
        self.checker = LivenessChecker::default();
        self.silent_since = now;
        self.check_at = now + EVENT_TIMEOUT;
    }

    /// When the attempt was begun, or sent its last event.
    pub fn silent_since(&self) -> TimePoint {
        self.silent_since
    }

    /// When the engine is to be probed, if no event has arrived by then.
    pub fn check_at(&self) -> TimePoint {
        self.check_at
    }

    /// Records that a suspected attempt's engine has been heard on another connection, so that its report tells more.
    pub fn record_heard(&mut self, now: TimePoint) {
        self.check_at = self.check_at.min(now + EVENT_TIMEOUT);
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
        self.checker.check(report, attempt_id, delivered)
    }
}
