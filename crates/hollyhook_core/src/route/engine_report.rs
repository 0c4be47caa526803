use std::time::Duration;

use super::EndpointRecord;
use crate::{EngineSpeed, Name};

/// The load report of a model engine; up to a few hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// The Unix time of the engine's start in milliseconds; `None` if the report does not contain it.
    pub started: Option<u64>,
    /// Whether the engine reports that it is leaving.
    pub is_leaving: bool,
    /// The number of requests that wait for a slot in the batch.
    pub waiting: u32,
    /// The number of requests whose prompt is being read.
    pub reading: u32,
    /// Memory in use that can't be freed, in tokens.
    pub used_tokens: u64,
    /// Total memory, in tokens.
    pub total_tokens: u64,
    /// The requests that have produced at least one event.
    pub runs: Vec<EngineRun>,
}

impl EngineReport {
    /// The number of requests that have produced at least one event.
    pub fn running(&self) -> u32 {
        self.runs.len() as u32
    }

    /// The share of the memory that is free or can be freed, from 0 to 1.
    pub fn free_memory_share(&self) -> f64 {
        let free = self.total_tokens.saturating_sub(self.used_tokens);
        free as f64 / self.total_tokens.max(1) as f64
    }

    /// Whether the engine has requests that are not in `runs`, because their prompt waits or is being read.
    pub fn has_pending_prompts(&self) -> bool {
        self.waiting + self.reading > 0
    }
}

/// A request at an engine that has produced at least one event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRun {
    /// The identifier of the client attempt that the request belongs to.
    pub attempt_id: Name,
    /// The tokens that the request has in memory: its prompt and what it has generated.
    pub tokens: u64,
    /// The number of events produced so far.
    pub events: u64,
    /// The priority of the request, 0 being the highest; `None` if the report does not contain it.
    pub priority: Option<u8>,
}

/// The maximum age of a load report; requests that this host sent within this time may be missing from the report.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(300);

/// Prompt tokens that an engine reads per millisecond between the decode steps of other requests: 8 by the deployments'
/// data sheets, less the time of the decode steps.
const READ_TOKENS_PER_MS: f64 = 7.0;
/// The shortest time from a generation's first event to its end: 140 events of 30 ms.
const MIN_RUN_TIME: Duration = Duration::from_millis(4_200);

/// The expected time until a generation's first event at an engine, if the prompts ahead of it are as long as its own.
pub fn time_to_first_event(report: &EngineReport, prompt_tokens: u64) -> Duration {
    let prompts = f64::from(report.waiting) + READING_COST * f64::from(report.reading) + 1.0;
    Duration::from_secs_f64(prompts * prompt_tokens as f64 / READ_TOKENS_PER_MS / 1e3)
}

/// How long after `time_left` a generation at an engine would end; `None` if it would end in time.
///
/// Used to shed load that exceeds the engines' capacity: a request that would wait until its caller times out only
/// takes the place of one that could be served. The latency objective is not considered, since a late answer is better
/// than none.
pub fn excess_wait(report: &EngineReport, prompt_tokens: u64, time_left: Duration) -> Option<Duration> {
    let needed = time_to_first_event(report, prompt_tokens) + MIN_RUN_TIME;
    needed.checked_sub(time_left).filter(|excess| !excess.is_zero())
}

/// Cost of a running request, as a fraction of the cost of a waiting prompt: it slows each decode step a little, while
/// a waiting prompt delays every request behind it by the time to read it.
const RUNNING_COST: f64 = 0.2;
/// Cost of a prompt that is being read, as a fraction of the cost of a waiting prompt: on average half of it has been
/// read.
const READING_COST: f64 = 0.5;
/// Cost of an engine without enough free memory for the request, in waiting prompts: the request would have to wait
/// until others end.
const FULL_COST: f64 = 10.0;
/// Cost of each position in the order that all hosts share, in waiting prompts; less than 1, so that the order decides
/// only between engines of about the same load.
const RANK_COST: f64 = 0.5;

/// An engine that a request may be sent to, with its load report.
#[derive(Debug, Clone)]
pub struct EngineCandidate {
    /// The engine as this host knows it.
    pub record: EndpointRecord,
    /// The engine's load report; `None` if the engine did not answer.
    pub report: Option<EngineReport>,
    /// Tokens of the request's own prompt part that the engine still holds; zero if the engine was not queried for
    /// them.
    pub held_tokens: u64,
    /// How fast the engine is expected to work.
    pub speed: EngineSpeed,
}

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
