use super::{EngineCandidate, EngineReport, choose_engine};

/// The largest share of an engine's memory that may be in use once a backup is placed there. Above it, backups would
/// take memory that running generations need; well below it, generations would have no backup when a zone is lost.
const MAX_SHARE_WITH_BACKUP: f64 = 0.75;

/// Chooses the engine that stores the backup of a run, from candidates in the order that all hosts share; `None` if the
/// run does better without a backup.
///
/// Backups yield to prompts when memory is short: a backup takes as much memory as its run and is used only if an
/// engine is lost, while a prompt that waits for memory is certain to be late. So no backup goes to an engine where
/// requests wait, or where little memory would be left. The prompt of a run that is lost without a backup is read
/// again.
pub fn choose_backup_engine<'a>(
    candidates: impl IntoIterator<Item = &'a EngineCandidate>,
    needed_tokens: u64,
) -> Option<&'a EngineCandidate> {
    let has_room =
        |candidate: &&EngineCandidate| candidate.report.as_ref().is_some_and(|report| has_spare(report, needed_tokens));
    choose_engine(candidates.into_iter().filter(has_room), needed_tokens)
}

/// Whether no request waits at an engine and it has memory to spare for a backup.
fn has_spare(report: &EngineReport, needed_tokens: u64) -> bool {
    let max_tokens = report.total_tokens as f64 * MAX_SHARE_WITH_BACKUP;
    report.waiting == 0 && (report.used_tokens + needed_tokens) as f64 <= max_tokens
}
