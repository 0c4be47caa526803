//! A model of an engine that admits by priority, reads prompts in turn between decode steps, and preempts.

use hollyhook_core::{EngineReport, EngineRun, PromptSize};

pub const MEMORY_TOKENS: u64 = 88_000;
const SLOTS: usize = 16;
/// Prompt tokens read between two decode steps, at 8 tokens a millisecond.
const CHUNK_TOKENS: u64 = 200;
const CHUNK_US: u64 = 25_000;
const STEP_US: u64 = 3_470;
const RUN_STEP_US: u64 = 160;
const EVENT_TOKENS: u64 = 9;

#[derive(Debug, Clone)]
pub struct ModelRun {
    index: usize,
    priority: u8,
    arrived_ms: u64,
    prompt_tokens: u64,
    output_tokens: u64,
    read: u64,
    made: u64,
}

impl ModelRun {
    pub fn new(index: usize, priority: u8, arrived_ms: u64, size: PromptSize) -> Self {
        let PromptSize { prompt_tokens, output_tokens, .. } = size;
        Self { index, priority, arrived_ms, prompt_tokens, output_tokens, read: 0, made: 0 }
    }

    fn has_read(&self) -> bool {
        self.read >= self.prompt_tokens
    }
}

/// What happened at an engine, by the indexes of the requests.
#[derive(Debug, Default)]
pub struct ModelStep {
    pub first: Vec<usize>,
    pub ended: Vec<usize>,
    pub expired: Vec<usize>,
    pub preempted: usize,
}

#[derive(Debug, Clone, Default)]
pub struct ModelEngine {
    pub is_lost: bool,
    busy_until_us: u64,
    waiting: Vec<ModelRun>,
    /// In the order of admission.
    admitted: Vec<ModelRun>,
    turn: usize,
}

impl ModelEngine {
    pub fn enqueue(&mut self, run: ModelRun) {
        self.waiting.push(run);
    }

    pub fn used_tokens(&self) -> u64 {
        self.admitted.iter().map(|run| run.prompt_tokens + run.made).sum()
    }

    pub fn lose(&mut self) -> Vec<usize> {
        let lost = std::mem::replace(self, Self { is_lost: true, ..Self::default() });
        lost.waiting.iter().chain(&lost.admitted).map(|run| run.index).collect()
    }

    pub fn report(&self) -> EngineReport {
        let runs = self.admitted.iter().filter(|run| run.made >= EVENT_TOKENS).map(|run| EngineRun {
            attempt_id: run.index.to_string().into(),
            tokens: run.prompt_tokens + run.made,
            events: run.made / EVENT_TOKENS,
            priority: Some(run.priority),
        });
        let runs: Vec<EngineRun> = runs.collect();
        EngineReport {
            waiting: self.waiting.len() as u32,
            reading: (self.admitted.len() - runs.len()) as u32,
            used_tokens: self.used_tokens(),
            total_tokens: MEMORY_TOKENS,
            runs,
            ..EngineReport::default()
        }
    }

    /// Completes the steps that end within the millisecond; requests are given up `deadline_ms` after their arrival.
    pub fn advance(&mut self, now_ms: u64, deadline_ms: u64) -> ModelStep {
        let mut step = ModelStep::default();
        if now_ms.is_multiple_of(100) {
            let is_over = |run: &ModelRun| now_ms >= run.arrived_ms + deadline_ms;
            for list in [&mut self.waiting, &mut self.admitted] {
                step.expired.extend(list.iter().filter(|run| is_over(run)).map(|run| run.index));
                list.retain(|run| !is_over(run));
            }
        }
        if self.busy_until_us > now_ms * 1_000 || (self.waiting.is_empty() && self.admitted.is_empty()) {
            return step;
        }
        self.admit();
        let running = self.admitted.iter().filter(|run| run.has_read()).count() as u64;
        for run in self.admitted.iter_mut().filter(|run| run.has_read()) {
            run.made += 1;
            if run.made == EVENT_TOKENS {
                step.first.push(run.index);
            }
        }
        let is_done = |run: &ModelRun| run.made >= run.output_tokens;
        step.ended.extend(self.admitted.iter().filter(|run| is_done(run)).map(|run| run.index));
        self.admitted.retain(|run| !is_done(run));
        let has_read_chunk = self.read_chunk();
        step.preempted = self.preempt();
        let chunk_us = if has_read_chunk { CHUNK_US } else { 0 };
        let start_us = self.busy_until_us.max(now_ms.saturating_sub(1) * 1_000);
        self.busy_until_us = start_us + STEP_US + RUN_STEP_US * running + chunk_us;
        step
    }

    fn admit(&mut self) {
        while self.admitted.len() < SLOTS {
            let next = (0..self.waiting.len()).min_by_key(|place| (self.waiting[*place].priority, *place));
            let Some(next) =
                next.filter(|place| self.used_tokens() + self.waiting[*place].prompt_tokens <= MEMORY_TOKENS)
            else {
                return;
            };
            let run = self.waiting.remove(next);
            self.admitted.push(run);
        }
    }

    fn read_chunk(&mut self) -> bool {
        let unread: Vec<usize> = (0..self.admitted.len()).filter(|place| !self.admitted[*place].has_read()).collect();
        let Some(place) = unread.get(self.turn % unread.len().max(1)) else {
            return false;
        };
        self.turn += 1;
        self.admitted[*place].read += CHUNK_TOKENS;
        true
    }

    /// Takes the newest of the least urgent requests out until the memory suffices; it is read again from the start.
    fn preempt(&mut self) -> usize {
        let mut count = 0;
        while self.used_tokens() > MEMORY_TOKENS {
            let last = (0..self.admitted.len()).max_by_key(|place| (self.admitted[*place].priority, *place));
            let Some(last) = last else {
                break;
            };
            let run = self.admitted.remove(last);
            let (prompt_tokens, output_tokens) = (run.prompt_tokens + run.made, run.output_tokens - run.made);
            self.waiting.insert(0, ModelRun { prompt_tokens, output_tokens, read: 0, made: 0, ..run });
            count += 1;
        }
        count
    }
}
