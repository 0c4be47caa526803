use super::{EngineCandidate, EngineReport, choose_engine};

/// The share of an engine's memory up to which copies may take it. Above it, they would take the room of running generations;
/// well below it, generations go without a copy when a zone is lost.
const MOST_COPY_SHARE: f64 = 0.75;

/// Chooses the engine that gets the copy of a run, given in the order that all hosts share; none if the run does better
/// without one.
///
/// Answers a load at which memory runs short: a copy takes as much of it as its run, and serves only if an engine is lost,
/// while a prompt that waits for memory is late for certain. So copies yield: none goes to an engine where requests wait,
/// nor where little would be left. A run that is lost without a copy has its prompt read again.
pub fn choose_backup_engine<'a>(
    candidates: impl IntoIterator<Item = &'a EngineCandidate>,
    needed_tokens: u64,
) -> Option<&'a EngineCandidate> {
    let has_room =
        |candidate: &&EngineCandidate| candidate.report.as_ref().is_some_and(|report| has_spare(report, needed_tokens));
    choose_engine(candidates.into_iter().filter(has_room), needed_tokens)
}

/// Whether an engine has memory that nobody waits for.
fn has_spare(report: &EngineReport, needed_tokens: u64) -> bool {
    let most = report.total_tokens as f64 * MOST_COPY_SHARE;
    report.waiting == 0 && (report.used_tokens + needed_tokens) as f64 <= most
}
