use crate::EngineReport;

/// Reports without a run, and with nothing waiting, after which the run is not there: the first may be older than it.
const MOST_ABSENT: u32 = 2;
/// Events that an engine may have made and that are still on their way, when a report of it is a few hundred
/// milliseconds old and the stream was silent for longer.
const EVENTS_UNDER_WAY: u64 = 3;
/// Reports for which a run that makes no event is waited for, between two events.
const MOST_STALLED: u32 = 3;
/// Reports for which a request that waits for its prompt to be read is waited for. Going elsewhere would read it there
/// from the start, so this is only a bound; about ten seconds.
const MOST_QUEUED: u32 = 30;

/// Whether to go on waiting for an attempt that is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceVerdict {
    /// The engine is at it.
    Wait,
    /// The engine, the run or the connection is lost.
    Leave,
}

/// Judges one silence of an attempt by what its engine says of itself.
///
/// Answers three kinds of silence: an engine that is gone does not report; one that reads other prompts first has the
/// request waiting; a connection that lost its way hides events that the engine has made.
#[derive(Debug, Clone, Default)]
pub struct SilenceJudge {
    absent: u32,
    stalled: u32,
    queued: u32,
}

impl SilenceJudge {
    /// Judges by the next report, or by none; `delivered` is the number of the last event that came, or how many did.
    pub fn judge(&mut self, report: Option<&EngineReport>, attempt_id: &str, delivered: u64) -> SilenceVerdict {
        let Some(report) = report else {
            return SilenceVerdict::Leave;
        };
        let run = report.runs.iter().find(|run| &*run.attempt_id == attempt_id);
        let is_lost = match run {
            Some(run) if run.events > delivered + EVENTS_UNDER_WAY => true,
            Some(_) if delivered > 0 => passes(&mut self.stalled, MOST_STALLED),
            Some(_) => passes(&mut self.queued, MOST_QUEUED),
            None if report.has_pending_prompts() => passes(&mut self.queued, MOST_QUEUED),
            None => passes(&mut self.absent, MOST_ABSENT),
        };
        if is_lost { SilenceVerdict::Leave } else { SilenceVerdict::Wait }
    }
}

fn passes(count: &mut u32, most: u32) -> bool {
    *count += 1;
    *count >= most
}
