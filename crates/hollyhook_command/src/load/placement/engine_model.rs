use std::collections::VecDeque;

use hollyhook_core::{EngineReport, EngineRun};

/// Time of a decode step with an empty batch, in microseconds, from the data sheets of the deployments.
const STEP_US: u64 = 3_470;
/// Time that each request in the batch adds to a step, in microseconds, from the same data sheets.
const STEP_US_PER_REQUEST: u64 = 160;
/// Prompt tokens that are read between two steps.
const CHUNK_TOKENS: u64 = 200;
/// Time to read a chunk of [`CHUNK_TOKENS`], in microseconds.
const CHUNK_US: u64 = 25_000;
/// Tokens that one event of a stream carries.
const EVENT_TOKENS: u64 = 7;
/// Tokens that fit into an engine's KV cache.
pub(super) const KV_CAPACITY_TOKENS: u64 = 88_000;

/// A generation at an engine.
#[derive(Debug, Clone)]
pub(super) struct Generation {
    /// Index of the generation in the simulation.
    pub(super) index: usize,
    pub(super) prompt_tokens: u64,
    pub(super) output_tokens: u64,
    read_tokens: u64,
    produced_tokens: u64,
}

impl Generation {
    pub(super) fn new(index: usize, prompt_tokens: u64, output_tokens: u64) -> Self {
        Self { index, prompt_tokens, output_tokens, read_tokens: 0, produced_tokens: 0 }
    }

    fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// Event that a step of an engine produced for a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StepEvent {
    /// Index of the generation.
    pub(super) index: usize,
    pub(super) is_last: bool,
}

/// Model of an engine that decodes a batch in steps, reads prompts in chunks between the steps, one prompt after
/// another, and has a KV cache of bounded size.
///
/// Preemption, prompt caching, KV-cache backups and network latency are not modelled.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineModel {
    /// Virtual time at which the current step ends, in microseconds; `None` while the engine is idle.
    pub(super) step_end_us: Option<u64>,
    waiting: VecDeque<Generation>,
    reading: VecDeque<Generation>,
    running: Vec<Generation>,
}

impl EngineModel {
    pub(super) fn enqueue(&mut self, now_us: u64, generation: Generation) {
        self.waiting.push_back(generation);
        if self.step_end_us.is_none() {
            self.step_end_us = Some(now_us + self.step_us());
        }
    }

    /// Completes the step that ends now and returns the events that it produced.
    pub(super) fn step(&mut self, now_us: u64) -> Vec<StepEvent> {
        self.admit();
        let mut events = Vec::new();
        for run in &mut self.running {
            run.produced_tokens += 1;
            let is_last = run.produced_tokens >= run.output_tokens;
            if run.produced_tokens % EVENT_TOKENS == 0 || is_last {
                events.push(StepEvent { index: run.index, is_last });
            }
        }
        self.running.retain(|run| run.produced_tokens < run.output_tokens);
        self.read_chunk();
        let is_idle = self.running.is_empty() && self.reading.is_empty() && self.waiting.is_empty();
        self.step_end_us = (!is_idle).then(|| now_us + self.step_us());
        events
    }

    pub(super) fn report(&self) -> EngineReport {
        let runs = self.running.iter().filter(|run| run.produced_tokens >= EVENT_TOKENS);
        let runs = runs.map(|run| EngineRun {
            attempt_id: run.index.to_string().into(),
            tokens: 0,
            events: run.produced_tokens / EVENT_TOKENS,
            priority: None,
        });
        EngineReport {
            started: None,
            is_leaving: false,
            waiting: self.waiting.len() as u32,
            reading: self.reading.len() as u32,
            used_tokens: self.used_tokens(),
            total_tokens: KV_CAPACITY_TOKENS,
            runs: runs.collect(),
        }
    }

    /// Resets the engine and returns the generations that were lost with it.
    pub(super) fn crash(&mut self) -> Vec<Generation> {
        let lost = std::mem::take(self);
        lost.waiting.into_iter().chain(lost.reading).chain(lost.running).collect()
    }

    fn used_tokens(&self) -> u64 {
        self.reading.iter().chain(&self.running).map(Generation::kv_tokens).sum()
    }

    fn admit(&mut self) {
        while let Some(first) = self.waiting.front() {
            let is_fitting = self.used_tokens() + first.kv_tokens() <= KV_CAPACITY_TOKENS;
            if !is_fitting || !self.reading.is_empty() {
                return;
            }
            self.reading.extend(self.waiting.pop_front());
        }
    }

    fn read_chunk(&mut self) {
        let Some(first) = self.reading.front_mut() else {
            return;
        };
        first.read_tokens += CHUNK_TOKENS;
        if first.read_tokens >= first.prompt_tokens {
            self.running.extend(self.reading.pop_front());
        }
    }

    fn step_us(&self) -> u64 {
        let chunk = if self.reading.is_empty() && self.waiting.is_empty() { 0 } else { CHUNK_US };
        STEP_US + STEP_US_PER_REQUEST * self.running.len() as u64 + chunk
    }
}
