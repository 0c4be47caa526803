use super::EngineCandidate;
use super::engine_cost::engine_cost;

/// A part of a prompt that an engine still holds in its KV cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldPromptPart {
    /// The identifier of the part, as given by callers.
    pub part: u64,
    /// The number of tokens of the part that the engine holds.
    pub tokens: u64,
}

/// The fewest held tokens for which a request is sent to an engine or its prompt fetched from there; reading fewer
/// takes a few milliseconds.
const MIN_HELD_TOKENS: u64 = 200;
/// Cost of fetching a prompt, as a fraction of the cost of a waiting prompt: 8,000 tokens take some ten milliseconds,
/// and the fetching engine may have no memory for them. Greater than `DISTANCE_COST`, so that a request is sent to a
/// holder in another zone rather than its prompt fetched from there.
const FETCH_COST: f64 = 0.3;
/// Cost of an engine of another zone, as a fraction of the cost of a waiting prompt: its stream is lost if the network
/// between the zones fails.
const DISTANCE_COST: f64 = 0.25;

/// The placement of a generation whose prompt an engine still holds.
#[derive(Debug, Clone, Copy)]
pub struct PromptPlacement<'a> {
    /// The engine that the request is sent to.
    pub candidate: &'a EngineCandidate,
    /// The engine that holds the most tokens of the prompt; if it is not `candidate`, the prompt is fetched from it.
    pub holder: &'a EngineCandidate,
}

impl PromptPlacement<'_> {
    /// Whether the prompt is to be fetched from another engine.
    pub fn is_fetched(&self) -> bool {
        self.candidate.record.id != self.holder.record.id
    }
}

/// Whether any engine that answered holds enough of the prompt to be worth using.
pub fn has_holder(candidates: &[EngineCandidate]) -> bool {
    holder_of_most(candidates).is_some()
}

/// Places a generation whose caller has reconnected; `None` if no engine that answered holds enough of its prompt.
///
/// After a loss of hosts, dozens of callers reconnect at almost the same time with prompts that engines have just read.
/// Reading all of them again takes each engine seconds, and every caller waits for it. If the holder is reading other
/// prompts, which it does not interrupt, fetching the prompt from it costs less than waiting there. Only an engine of the
/// holder's software version can use what the holder keeps.
pub fn place_held_prompt<'a>(
    candidates: &'a [EngineCandidate],
    needed_tokens: u64,
    zone: &str,
) -> Option<PromptPlacement<'a>> {
    let holder = holder_of_most(candidates)?;
    let compatible = candidates.iter().filter(|candidate| candidate.record.version == holder.record.version);
    let answered = compatible.filter_map(|candidate| Some((candidate, candidate.report.as_ref()?)));
    let costs = answered.map(|(candidate, report)| {
        let fetch = if candidate.record.id == holder.record.id { 0.0 } else { FETCH_COST };
        let distance = if &*candidate.record.zone == zone { 0.0 } else { DISTANCE_COST };
        (engine_cost(candidate, report, needed_tokens) + fetch + distance, candidate)
    });
    let (_, candidate) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
    Some(PromptPlacement { candidate, holder })
}

/// The engine that holds the most tokens of the prompt; `None` if none holds enough of it to be worth using.
fn holder_of_most(candidates: &[EngineCandidate]) -> Option<&EngineCandidate> {
    holders(candidates).max_by_key(|candidate| candidate.held_tokens)
}

fn holders(candidates: &[EngineCandidate]) -> impl Iterator<Item = &EngineCandidate> {
    let answered = candidates.iter().filter(|candidate| candidate.report.is_some());
    answered.filter(|candidate| candidate.held_tokens >= MIN_HELD_TOKENS)
}
