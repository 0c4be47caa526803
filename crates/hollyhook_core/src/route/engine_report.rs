use std::time::Duration;

use super::EndpointRecord;
use crate::Name;

/// What a model engine says of itself when asked; a few hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// The Unix millisecond of its start; none if it does not say.
    pub started: Option<u64>,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests whose prompt is being read.
    pub reading: u32,
    /// Tokens of memory that can't be freed.
    pub used_tokens: u64,
    /// Tokens of memory in all.
    pub total_tokens: u64,
    /// The requests that have made an event.
    pub runs: Vec<EngineRun>,
}

impl EngineReport {
    /// Requests that have made an event.
    pub fn running(&self) -> u32 {
        self.runs.len() as u32
    }

    /// Whether a request that does not run may be at the engine all the same.
    pub fn has_pending_prompts(&self) -> bool {
        self.waiting + self.reading > 0
    }
}

/// One request that runs at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRun {
    /// The client attempt that it is for.
    pub attempt_id: Name,
    /// Events made so far.
    pub events: u64,
}

/// How old a report may be: what this host sent since then is not in it.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(300);

/// Tokens of a prompt that an engine reads in a millisecond between the steps of others, by the deployments' sheets (8)
/// less what a step takes besides.
const READ_TOKENS_PER_MS: f64 = 7.0;
/// What is left to a generation after its first event, at least: 140 events of 30 ms.
const LEAST_RUN: Duration = Duration::from_millis(4_200);

/// When a generation's first event can be expected at an engine, if the prompts before it are like its own.
pub fn time_to_first_event(report: &EngineReport, prompt_tokens: u64) -> Duration {
    let prompts = f64::from(report.waiting) + READING_COST * f64::from(report.reading) + 1.0;
    Duration::from_secs_f64(prompts * prompt_tokens as f64 / READ_TOKENS_PER_MS / 1e3)
}

/// How much too long a generation would have to wait at an engine to end in time; none if it can.
///
/// Answers a load beyond what the engines can take: a request that would wait until its caller gives up only takes the
/// place of one that could be served. A late answer is better than none, so the objective is not looked at.
pub fn excess_wait(report: &EngineReport, prompt_tokens: u64, time_left: Duration) -> Option<Duration> {
    let needed = time_to_first_event(report, prompt_tokens) + LEAST_RUN;
    needed.checked_sub(time_left).filter(|excess| !excess.is_zero())
}

/// What a running request costs, against one whose prompt waits to be read: it slows each step a little, while a
/// waiting prompt delays everything behind it by its whole reading.
const RUNNING_COST: f64 = 0.2;
/// What a prompt that is being read costs, against one that waits: on average half of it is done.
const READING_COST: f64 = 0.5;
/// What an engine costs whose memory does not hold the request: it would have to wait for others to end.
const FULL_COST: f64 = 10.0;
/// What each rank costs in the order that all hosts share; less than a waiting prompt, so that the order decides only
/// between engines that are about equally free.
const RANK_COST: f64 = 0.5;

/// An engine that may take a request, with what it said of itself.
#[derive(Debug, Clone)]
pub struct EngineCandidate {
    /// The engine as this host knows it.
    pub record: EndpointRecord,
    /// Its report; none if it did not answer.
    pub report: Option<EngineReport>,
    /// Tokens of the request's own prompt part that it still holds; zero if it was not asked.
    pub held_tokens: u64,
}

/// Chooses among engines that were asked, given in the order that all hosts share; none if no engine answered.
///
/// Answers the load of prompts of thousands of tokens: an engine reads them one after another, so a request behind
/// three others waits for seconds, wherever else there is room.
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

/// Whether no engine after the first in the order could be chosen before it, whatever it reported.
///
/// Answers a pool that is far from full, where most engines that come first are: others need not be asked then.
pub fn is_certain_choice(first: &EngineCandidate, needed_tokens: u64) -> bool {
    let cost = first.report.as_ref().map(|report| engine_cost(first, report, needed_tokens));
    cost.is_some_and(|cost| cost <= RANK_COST)
}

/// What sending a request to an engine costs, in prompts that wait before it.
pub(super) fn engine_cost(candidate: &EngineCandidate, report: &EngineReport, needed_tokens: u64) -> f64 {
    let waiting = f64::from(report.waiting) + f64::from(candidate.record.sent_lately);
    let reading = f64::from(report.reading);
    let running = f64::from(report.running());
    let is_full = report.used_tokens + needed_tokens > report.total_tokens;
    waiting + READING_COST * reading + RUNNING_COST * running + if is_full { FULL_COST } else { 0.0 }
}
