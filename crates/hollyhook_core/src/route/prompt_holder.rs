use super::EngineCandidate;
use super::engine_report::engine_cost;

/// A part of a prompt that an engine still holds in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldPromptPart {
    /// Names the part, as the callers of its prompt do.
    pub part: u64,
    /// Tokens of it that are held.
    pub tokens: u64,
}

/// The least tokens that are worth going to, or fetching from, an engine for: reading fewer takes a few milliseconds.
const WORTHWHILE_TOKENS: u64 = 200;
/// What fetching a prompt costs, against reading another one: 8,000 tokens take some ten milliseconds, and another engine
/// may have no room for them. More than the way to another zone, so that a far holder is gone to rather than fetched from.
const FETCH_COST: f64 = 0.3;
/// What an engine of another zone costs, against reading another prompt: its stream is lost when zones are cut apart.
const DISTANCE_COST: f64 = 0.25;

/// Where a generation goes on whose prompt an engine still holds.
#[derive(Debug, Clone, Copy)]
pub struct PromptPlacement<'a> {
    /// The engine that takes the request.
    pub candidate: &'a EngineCandidate,
    /// The engine that holds most of the prompt; where it is another one, the prompt is fetched from it.
    pub holder: &'a EngineCandidate,
}

impl PromptPlacement<'_> {
    /// Whether the prompt is to be fetched.
    pub fn is_fetched(&self) -> bool {
        self.candidate.record.id != self.holder.record.id
    }
}

/// Whether any engine that answered holds enough of the prompt.
pub fn has_holder(candidates: &[EngineCandidate]) -> bool {
    holder_of_most(candidates).is_some()
}

/// Places a generation whose caller comes back; none if no engine that answered holds enough of its prompt.
///
/// Answers the load after a loss of hosts: dozens of callers come back within a moment with prompts that engines have
/// just read. Reading all of them again takes each engine seconds, and every caller waits for it. Where the holder is
/// reading other prompts, which it does not break off, fetching from it costs less than waiting there.
pub fn place_held_prompt<'a>(
    candidates: &'a [EngineCandidate],
    needed_tokens: u64,
    zone: &str,
) -> Option<PromptPlacement<'a>> {
    let answered = || candidates.iter().filter_map(|candidate| Some((candidate, candidate.report.as_ref()?)));
    let holder = holder_of_most(candidates)?;
    let costs = answered().map(|(candidate, report)| {
        let fetch = if candidate.record.id == holder.record.id { 0.0 } else { FETCH_COST };
        let distance = if &*candidate.record.zone == zone { 0.0 } else { DISTANCE_COST };
        (engine_cost(candidate, report, needed_tokens) + fetch + distance, candidate)
    });
    let (_, candidate) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
    Some(PromptPlacement { candidate, holder })
}

fn holder_of_most(candidates: &[EngineCandidate]) -> Option<&EngineCandidate> {
    let answered = candidates.iter().filter(|candidate| candidate.report.is_some());
    let holders = answered.filter(|candidate| candidate.held_tokens >= WORTHWHILE_TOKENS);
    holders.max_by_key(|candidate| candidate.held_tokens)
}
