use crate::EngineReport;

/// Number of reports with neither the run nor a queued request after which the run counts as absent. The first such
/// report may be older than the request.
const MAX_ABSENT_REPORTS: u32 = 2;
/// Number of events that an engine may have produced but that are still in flight, given that its report is a few
/// hundred milliseconds old and that the stream was silent for longer.
const MAX_EVENTS_IN_FLIGHT: u64 = 3;
/// Number of reports between two received events after which the run counts as stalled, while its engine has prompts to
/// read, which delays the events of its runs.
const MAX_STALLED_REPORTS: u32 = 3;
/// The same for an engine without prompts to read. The first report may be older than the silence.
const MAX_IDLE_STALLED_REPORTS: u32 = 2;
/// Number of reports, over about ten seconds, after which a request that still waits for its prompt to be processed is
/// suspected. This is only an upper bound, since another engine would have to process the prompt from the start.
const MAX_QUEUED_REPORTS: u32 = 30;

/// Whether to keep waiting for a silent attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LivenessVerdict {
    /// The engine is still working on the request.
    Wait,
    /// The engine may have paused or died, the connection may be dead, or the run may have stalled.
    Suspect,
    /// The engine reports that it has no such run.
    Lost,
}

/// Decides from the engine's reports whether an attempt that is silent is still being worked on.
///
/// Each wait for an event uses a new checker, which counts the reports of that wait only.
///
/// Distinguishes the causes of a silence: a dead or paused engine sends no report; an engine that processes other prompts
/// first reports queued requests; behind a broken connection, the engine reports more events than were received. Only an
/// engine that reports no such run proves that the attempt is lost.
#[derive(Debug, Clone, Default)]
pub struct LivenessChecker {
    absent: u32,
    stalled: u32,
    queued: u32,
}

impl LivenessChecker {
    /// Evaluates the next report, or its absence.
    ///
    /// `delivered` is the number of the last event received or the count of events received, whichever is larger; 0
    /// before the attempt's first event.
    pub fn check(&mut self, report: Option<&EngineReport>, attempt_id: &str, delivered: u64) -> LivenessVerdict {
        let Some(report) = report else {
            return LivenessVerdict::Suspect;
        };
        let run = report.runs.iter().find(|run| &*run.attempt_id == attempt_id);
        let is_suspect = match run {
            Some(run) if run.events > delivered + MAX_EVENTS_IN_FLIGHT => true,
            Some(_) if delivered > 0 => {
                let is_reading = report.has_pending_prompts();
                reaches_limit(
                    &mut self.stalled,
                    if is_reading { MAX_STALLED_REPORTS } else { MAX_IDLE_STALLED_REPORTS },
                )
            }
            Some(_) => reaches_limit(&mut self.queued, MAX_QUEUED_REPORTS),
            None if report.has_pending_prompts() => reaches_limit(&mut self.queued, MAX_QUEUED_REPORTS),
            None if reaches_limit(&mut self.absent, MAX_ABSENT_REPORTS) => return LivenessVerdict::Lost,
            None => false,
        };
        if is_suspect { LivenessVerdict::Suspect } else { LivenessVerdict::Wait }
    }
}

fn reaches_limit(count: &mut u32, limit: u32) -> bool {
    *count += 1;
    *count >= limit
}
