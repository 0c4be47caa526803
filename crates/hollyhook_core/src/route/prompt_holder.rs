use super::EngineCandidate;

/// A part of a prompt that an engine still holds in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldPart {
    /// Names the part, as the callers of its prompt do.
    pub part: u64,
    /// Tokens of it that are held.
    pub tokens: u64,
}

/// The least tokens that are worth going to, or fetching from, an engine for: reading fewer takes a few milliseconds.
const WORTHWHILE_TOKENS: u64 = 200;
/// Prompts that may be read at the holder before the request is rather served elsewhere with what it holds: the request
/// itself reads nothing, so one prompt of another slows its events only for a second.
const MOST_READING: u32 = 1;

/// The engine that holds most of a prompt.
#[derive(Debug, Clone, Copy)]
pub struct PromptHolder<'a> {
    /// The engine, with what it said of itself.
    pub candidate: &'a EngineCandidate,
    /// Whether it can take the request now; otherwise another engine can fetch from it, which takes milliseconds.
    pub is_free: bool,
}

/// Finds the engine that holds most of a prompt; none if none that answered holds a part that is worth it.
///
/// Answers the load after a loss of hosts: dozens of callers come back within a moment with prompts that engines have
/// just read. Reading all of them again takes each engine seconds, and every caller waits for it.
pub fn find_holder(candidates: &[EngineCandidate], needed_tokens: u64) -> Option<PromptHolder<'_>> {
    let answered = candidates.iter().filter(|candidate| candidate.report.is_some());
    let holders = answered.filter(|candidate| candidate.held_tokens >= WORTHWHILE_TOKENS);
    let candidate = holders.max_by_key(|candidate| candidate.held_tokens)?;
    let is_free = candidate.report.as_ref().is_some_and(|report| {
        let has_room = report.used_tokens + needed_tokens <= report.total_tokens;
        has_room && report.waiting == 0 && report.reading <= MOST_READING
    });
    Some(PromptHolder { candidate, is_free })
}
