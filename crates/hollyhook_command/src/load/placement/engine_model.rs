use std::collections::VecDeque;

use hollyhook_core::{EngineReport, EngineRun};

/// Time of a step with nothing else to do, and more of it for each request in the batch, in microseconds; by the
/// deployments' sheets.
const STEP_US: u64 = 3_470;
const STEP_US_PER_REQUEST: u64 = 160;
/// Tokens of a prompt that are read between two steps, and how long that takes.
const CHUNK_TOKENS: u64 = 200;
const CHUNK_US: u64 = 25_000;
/// Tokens of an event.
const STRIDE: u64 = 7;
/// Tokens that fit into the engine's memory.
pub(super) const MEMORY_TOKENS: u64 = 88_000;

/// One generation at an engine.
#[derive(Debug, Clone)]
pub(super) struct Generation {
    pub(super) number: usize,
    pub(super) prompt_tokens: u64,
    pub(super) output_tokens: u64,
    read: u64,
    made: u64,
}

impl Generation {
    pub(super) fn new(number: usize, prompt_tokens: u64, output_tokens: u64) -> Self {
        Self { number, prompt_tokens, output_tokens, read: 0, made: 0 }
    }

    fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// What a step of an engine brought forth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StepEvent {
    pub(super) number: usize,
    pub(super) is_last: bool,
}

/// A model engine: batch steps, prompts read in chunks between them, one after another, and bounded memory.
///
/// Left out: preemption, caching of prompts, backups, the time of the network.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineModel {
    /// When its next step ends, in microseconds; none while it has nothing to do.
    pub(super) next_us: Option<u64>,
    waiting: VecDeque<Generation>,
    reading: VecDeque<Generation>,
    running: Vec<Generation>,
}

impl EngineModel {
    pub(super) fn take(&mut self, now_us: u64, generation: Generation) {
        self.waiting.push_back(generation);
        if self.next_us.is_none() {
            self.next_us = Some(now_us + self.step_us());
        }
    }

    /// Carries out the step that ends now and tells the events that it made.
    pub(super) fn step(&mut self, now_us: u64) -> Vec<StepEvent> {
        self.admit();
        let mut events = Vec::new();
        for run in &mut self.running {
            run.made += 1;
            let is_last = run.made >= run.output_tokens;
            if run.made % STRIDE == 0 || is_last {
                events.push(StepEvent { number: run.number, is_last });
            }
        }
        self.running.retain(|run| run.made < run.output_tokens);
        self.read_chunk();
        let is_idle = self.running.is_empty() && self.reading.is_empty() && self.waiting.is_empty();
        self.next_us = (!is_idle).then(|| now_us + self.step_us());
        events
    }

    pub(super) fn report(&self) -> EngineReport {
        let runs = self.running.iter().filter(|run| run.made >= STRIDE);
        let runs = runs.map(|run| EngineRun { attempt_id: run.number.to_string().into(), events: run.made / STRIDE });
        EngineReport {
            started: None,
            is_leaving: false,
            waiting: self.waiting.len() as u32,
            reading: self.reading.len() as u32,
            used_tokens: self.used_tokens(),
            total_tokens: MEMORY_TOKENS,
            runs: runs.collect(),
        }
    }

    /// The generations that it had, which are lost with it.
    pub(super) fn crash(&mut self) -> Vec<Generation> {
        let lost = std::mem::take(self);
        lost.waiting.into_iter().chain(lost.reading).chain(lost.running).collect()
    }

    fn used_tokens(&self) -> u64 {
        self.reading.iter().chain(&self.running).map(Generation::memory_tokens).sum()
    }

    fn admit(&mut self) {
        while let Some(first) = self.waiting.front() {
            let fits = self.used_tokens() + first.memory_tokens() <= MEMORY_TOKENS;
            if !fits || !self.reading.is_empty() {
                return;
            }
            self.reading.extend(self.waiting.pop_front());
        }
    }

    fn read_chunk(&mut self) {
        let Some(first) = self.reading.front_mut() else {
            return;
        };
        first.read += CHUNK_TOKENS;
        if first.read >= first.prompt_tokens {
            self.running.extend(self.reading.pop_front());
        }
    }

    fn step_us(&self) -> u64 {
        let chunk = if self.reading.is_empty() && self.waiting.is_empty() { 0 } else { CHUNK_US };
        STEP_US + STEP_US_PER_REQUEST * self.running.len() as u64 + chunk
    }
}
