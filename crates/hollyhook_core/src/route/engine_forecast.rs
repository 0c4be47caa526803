use std::time::Duration;

use super::engine_cost::READING_COST;
use super::engine_wait::TYPICAL_EVENTS;
use super::memory_forecast::{EVENT_TOKENS, MemoryForecast, typical_output};
use super::{EngineCandidate, EngineReport};

/// Factor by which the time between events is longer at an engine that always reads prompts than at one that reads
/// none: each decode step then waits for a chunk of a prompt.
const BUSY_FACTOR: u32 = 3;

/// The expected times and memory of a request that is sent to an engine now.
#[derive(Debug)]
pub(super) struct EngineForecast<'a> {
    pub(super) candidate: &'a EngineCandidate,
    report: &'a EngineReport,
    /// Prompt tokens of a typical request at this engine.
    typical_tokens: f64,
    memory: MemoryForecast,
}

impl<'a> EngineForecast<'a> {
    /// The forecast for a candidate; `None` if its engine did not report.
    ///
    /// The prompts that an engine has not read yet count as long as the average of those that it runs and
    /// `prompt_tokens`.
    pub(super) fn new(candidate: &'a EngineCandidate, prompt_tokens: u64) -> Option<Self> {
        let report = candidate.report.as_ref()?;
        let known = report.runs.iter().map(|run| run.tokens).filter(|tokens| *tokens > 0);
        let (count, sum) = known.fold((1_u64, prompt_tokens), |(count, sum), tokens| (count + 1, sum + tokens));
        let typical_tokens = sum / count;
        let mut memory = MemoryForecast::new(report, typical_tokens);
        for _ in 0..candidate.record.sent_recently {
            memory.add(typical_tokens, typical_output());
        }
        Some(Self { candidate, report, typical_tokens: typical_tokens as f64, memory })
    }

    /// The memory that the engine would need with a further request.
    pub(super) fn memory_with(&self, prompt_tokens: u64, output_tokens: u64) -> MemoryForecast {
        let mut memory = self.memory.clone();
        memory.add(prompt_tokens, output_tokens);
        memory
    }

    /// The memory that the engine would need with a further request, and `count` typical ones behind it.
    pub(super) fn memory_with_typical(&self, prompt_tokens: u64, output_tokens: u64, count: usize) -> MemoryForecast {
        let mut memory = self.memory_with(prompt_tokens, output_tokens);
        for _ in 0..count {
            memory.add(self.typical_tokens as u64, typical_output());
        }
        memory
    }

    /// Whether no prompt waits or is being read at the engine, as far as this host knows.
    pub(super) fn has_read_all(&self) -> bool {
        !self.report.has_pending_prompts() && self.candidate.record.sent_recently == 0
    }

    /// Whether the report contains the priority of each run.
    pub(super) fn has_priorities(&self) -> bool {
        self.report.has_priorities()
    }

    /// The expected time to the first event of a prompt of this priority.
    pub(super) fn first_event(&self, priority: u8, prompt_tokens: u64, output_tokens: u64) -> Duration {
        let wait = self.memory_wait(&self.memory_with(prompt_tokens, output_tokens));
        wait + self.read_time_before_first(priority, prompt_tokens)
    }

    /// The expected time to read a prompt of this priority and the prompts before it.
    pub(super) fn read_time_before_first(&self, priority: u8, prompt_tokens: u64) -> Duration {
        self.read_time(prompt_tokens as f64 + self.unread_before(priority))
    }

    /// The expected time to the first event of a typical prompt of this priority that comes just after another prompt.
    ///
    /// An engine reads the prompts that it has admitted in turn, whatever their priorities.
    pub(super) fn first_event_behind(&self, priority: u8, ahead: (u64, u64)) -> Duration {
        let (prompt_tokens, output_tokens) = ahead;
        let wait = self.memory_wait(&self.memory_with_typical(prompt_tokens, output_tokens, 1));
        let ahead_tokens = READING_COST * prompt_tokens as f64;
        wait + self.read_time(self.typical_tokens + ahead_tokens + self.unread_before(priority))
    }

    /// How long until the engine has read the prompts that it reads now, or until memory for one more is free.
    pub(super) fn time_to_capacity(&self, prompt_tokens: u64, output_tokens: u64) -> Duration {
        let wait = self.memory_wait(&self.memory_with(prompt_tokens, output_tokens));
        wait.max(self.read_time(READING_COST * f64::from(self.report.reading.min(1)) * self.typical_tokens))
    }

    /// The expected time from the first event to the end of a generation of `output_tokens`, but at most that of a
    /// typical generation, while the engine always reads prompts.
    pub(super) fn busy_run_time(&self, output_tokens: u64) -> Duration {
        let events = output_tokens.div_ceil(EVENT_TOKENS).min(u64::from(TYPICAL_EVENTS));
        self.candidate.speed.event_time * BUSY_FACTOR * events as u32
    }

    /// Tokens of the prompts that the engine reads before or together with a prompt of this priority.
    ///
    /// A report does not contain the priorities of prompts; those that wait are assumed to have the same distribution
    /// of priorities as the runs. Since an engine admits the highest priority first, this is an upper bound.
    fn unread_before(&self, priority: u8) -> f64 {
        let runs = &self.report.runs;
        let ahead = runs.iter().filter(|run| run.priority.is_none_or(|known| known <= priority)).count();
        let share = (ahead + 1) as f64 / (runs.len() + 1) as f64;
        let waiting = f64::from(self.report.waiting) * share + f64::from(self.candidate.record.sent_recently);
        (waiting + READING_COST * f64::from(self.report.reading)) * self.typical_tokens
    }

    /// How long until enough requests have ended for the forecast to fit the engine's memory.
    fn memory_wait(&self, memory: &MemoryForecast) -> Duration {
        let excess = memory.excess_tokens();
        if excess == 0 {
            return Duration::ZERO;
        }
        let event_time = self.candidate.speed.event_time * BUSY_FACTOR;
        let events = self.memory.events_until_freed(excess);
        events.map_or(Duration::MAX / 4, |events| event_time * u32::try_from(events).unwrap_or(u32::MAX))
    }

    fn read_time(&self, tokens: f64) -> Duration {
        self.candidate.speed.read_time(tokens as u64)
    }
}
