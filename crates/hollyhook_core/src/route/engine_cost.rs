use super::{EngineCandidate, EngineReport};

/// Cost of a running request, as a fraction of the cost of a waiting prompt: it slows each decode step a little, while
/// a waiting prompt delays every request behind it by the time to read it.
const RUNNING_COST: f64 = 0.2;
/// Cost of a prompt that is being read, as a fraction of the cost of a waiting prompt: on average half of it has been
/// read.
pub(super) const READING_COST: f64 = 0.5;
/// Cost of an engine without enough free memory for the request, in waiting prompts: the request would have to wait
/// until others end.
const FULL_COST: f64 = 10.0;
/// Cost of each position in the order that all hosts share, in waiting prompts; less than 1, so that the order decides
/// only between engines of about the same load.
pub(super) const RANK_COST: f64 = 0.5;

/// Chooses the engine of the lowest cost from candidates in the order that all hosts share; `None` if no engine
/// answered.
///
/// Prompts may have thousands of tokens, and an engine reads them one after another: a request behind three others
/// waits for seconds, even if other engines are free.
pub fn choose_engine<'a>(
    candidates: impl IntoIterator<Item = &'a EngineCandidate>,
    needed_tokens: u64,
) -> Option<&'a EngineCandidate> {
    let answered = candidates.into_iter().enumerate().filter_map(|(rank, candidate)| {
        let report = candidate.report.as_ref()?;
        Some((engine_cost(candidate, report, needed_tokens) + RANK_COST * rank as f64, candidate))
    });
    answered.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, candidate)| candidate)
}

/// Whether the first engine in the order is chosen whatever the other engines report, so that they need not be queried.
///
/// This holds for most first engines as long as the pool is far from full.
pub fn is_certain_choice(first: &EngineCandidate, needed_tokens: u64) -> bool {
    let cost = first.report.as_ref().map(|report| engine_cost(first, report, needed_tokens));
    cost.is_some_and(|cost| cost <= RANK_COST)
}

/// The cost of sending a request to an engine, in waiting prompts.
pub(super) fn engine_cost(candidate: &EngineCandidate, report: &EngineReport, needed_tokens: u64) -> f64 {
    let waiting = f64::from(report.waiting) + f64::from(candidate.record.sent_recently);
    let reading = f64::from(report.reading);
    let running = f64::from(report.running());
    let is_full = report.used_tokens + needed_tokens > report.total_tokens;
    waiting + READING_COST * reading + RUNNING_COST * running + if is_full { FULL_COST } else { 0.0 }
}
