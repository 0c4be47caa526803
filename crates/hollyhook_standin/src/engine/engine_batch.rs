use std::collections::HashMap;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use hollyhook_core::{AttemptNumber, EndpointRefusal, GenerationId, LoadReport, Name};
use hollyhook_wire::{CallerRequest, EngineExtension, EngineWork, GenerationState};
use serde::{Deserialize, Serialize};

use super::prefix_cache::PrefixCache;
use super::sequence::{Sequence, SequenceState};
use super::{EngineOptions, TokenChain};

/// What an engine stand-in has done: `GET /admin/counts`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// The work of all generations.
    pub work: EngineWork,
    /// Generations started from their prompt alone.
    pub started: u64,
    /// Generations started from tokens of another engine.
    pub resumed: u64,
    /// Attachments to a generation that was there.
    pub attached: u64,
    /// Generations cancelled by an order.
    pub cancelled: u64,
    /// Generations dropped since nobody was attached.
    pub orphaned: u64,
    /// Generations brought to their end.
    pub finished: u64,
    /// Generations that get tokens, now.
    pub running: u32,
    /// Probes answered.
    pub probes: u64,
}

/// The sequences of an engine and the batch that they share.
#[derive(Debug)]
pub(super) struct EngineBatch {
    options: EngineOptions,
    cache: PrefixCache,
    sequences: HashMap<GenerationId, Sequence>,
    arrivals: u64,
    prefill_free_at: Instant,
    pub(super) counts: EngineCounts,
}

impl EngineBatch {
    pub(super) fn new(options: EngineOptions) -> Self {
        let cache = PrefixCache::new(options.cache_tokens);
        Self {
            options,
            cache,
            sequences: HashMap::new(),
            arrivals: 0,
            prefill_free_at: Instant::now(),
            counts: EngineCounts::default(),
        }
    }

    /// Takes a request in, unless a newer attempt holds its generation or the queue is full.
    pub(super) fn submit(
        &mut self,
        request: &CallerRequest,
        extension: EngineExtension,
    ) -> Result<Receiver<()>, EndpointRefusal> {
        if extension.binding != self.options.binding {
            return Err(EndpointRefusal::Unable);
        }
        if request.prompt_tokens() + request.max_tokens > self.options.context {
            return Err(EndpointRefusal::Invalid);
        }
        let held = self.sequences.get(&extension.generation);
        if held.is_some_and(|held| held.attempt >= extension.attempt) {
            return Err(EndpointRefusal::Superseded);
        }
        let load = self.load();
        if load.waiting >= self.options.queue {
            return Err(EndpointRefusal::Busy);
        }
        Ok(self.insert(request, extension))
    }

    fn insert(&mut self, request: &CallerRequest, extension: EngineExtension) -> Receiver<()> {
        let (signal, _wake) = async_channel::bounded(1);
        if extension.resume_tokens.is_empty() {
            self.counts.started += 1;
        } else {
            self.counts.resumed += 1;
        }
        self.arrivals += 1;
        let mut sequence = Sequence {
            style: request.style,
            chain: TokenChain::new(&request.prompt, &self.options.binding),
            salt: self.options.salt,
            attempt: extension.attempt,
            priority: extension.priority,
            arrival: self.arrivals,
            prompt_tokens: request.prompt_tokens(),
            max_tokens: request.max_tokens,
            tokens: Vec::new(),
            state: SequenceState::Waiting,
            work: self.read_prompt(request, &extension.resume_tokens),
            signal,
            orphan_since: None,
        };
        sequence.tokens = extension.resume_tokens;
        let wake = sequence.attach(extension.attempt);
        sequence.finish_if_whole();
        sequence.wake();
        if let Some(replaced) = self.sequences.insert(extension.generation, sequence) {
            self.account(&replaced);
        }
        wake
    }

    /// The prefill that a prompt and the tokens behind it cost.
    fn read_prompt(&mut self, request: &CallerRequest, resumed: &[Name]) -> EngineWork {
        let prompt = request.prompt.split_whitespace();
        let all = prompt.chain(resumed.iter().map(|token| &**token));
        let total = request.prompt_tokens() + resumed.len() as u64;
        let cached = self.cache.read(all) as u64;
        EngineWork { prefill: total - cached, cached, decode: 0 }
    }

    pub(super) fn attach(&mut self, id: GenerationId, attempt: AttemptNumber) -> Result<Receiver<()>, EndpointRefusal> {
        let sequence = self.sequences.get_mut(&id).ok_or(EndpointRefusal::NotHeld)?;
        if sequence.attempt >= attempt {
            return Err(EndpointRefusal::Superseded);
        }
        self.counts.attached += 1;
        let wake = sequence.attach(attempt);
        sequence.wake();
        Ok(wake)
    }

    pub(super) fn get(&self, id: GenerationId) -> Option<&Sequence> {
        self.sequences.get(&id)
    }

    pub(super) fn state(&mut self, id: GenerationId) -> Option<GenerationState> {
        self.counts.probes += 1;
        self.sequences.get(&id).map(|sequence| GenerationState {
            generation: id,
            attempt: sequence.attempt,
            produced: sequence.tokens.len() as u64,
            is_finished: sequence.is_finished(),
        })
    }

    /// Stops the work for a generation, unless a newer attempt holds it; returns whether there was any.
    pub(super) fn cancel(&mut self, id: GenerationId, attempt: AttemptNumber) -> bool {
        let is_held = self.sequences.get(&id).is_some_and(|sequence| sequence.attempt <= attempt);
        if is_held && let Some(sequence) = self.sequences.remove(&id) {
            self.account(&sequence);
            self.counts.cancelled += 1;
        }
        is_held
    }

    /// Notes that an attachment ended; the generation is kept for the grace time.
    pub(super) fn detach(&mut self, id: GenerationId, attempt: AttemptNumber) {
        if let Some(sequence) = self.sequences.get_mut(&id)
            && sequence.attempt == attempt
        {
            sequence.orphan_since.get_or_insert_with(Instant::now);
        }
    }

    /// One decode step: places are filled by priority, prompts are read one after the other.
    pub(super) fn step(&mut self, now: Instant) {
        self.drop_orphans(now);
        self.fill_places(now);
        for sequence in self.sequences.values_mut() {
            if let SequenceState::Prefill(until) = sequence.state
                && until <= now
            {
                sequence.state = SequenceState::Decoding;
            }
            if sequence.state == SequenceState::Decoding {
                sequence.step();
                self.counts.finished += u64::from(sequence.is_finished());
            }
        }
    }

    fn fill_places(&mut self, now: Instant) {
        let running = self.sequences.values().filter(|sequence| is_running(sequence)).count();
        let places = (self.options.capacity as usize).saturating_sub(running);
        let mut waiting: Vec<&mut Sequence> =
            self.sequences.values_mut().filter(|sequence| sequence.state == SequenceState::Waiting).collect();
        waiting.sort_by_key(|sequence| (sequence.priority, sequence.arrival));
        for sequence in waiting.into_iter().take(places) {
            let cost = self.options.prefill_per_token * sequence.work.prefill as u32;
            self.prefill_free_at = self.prefill_free_at.max(now) + cost;
            sequence.state = SequenceState::Prefill(self.prefill_free_at);
        }
    }

    fn drop_orphans(&mut self, now: Instant) {
        let grace = self.options.orphan_grace;
        let is_lost = |sequence: &Sequence| is_past(sequence.orphan_since, now, grace);
        let lost: Vec<GenerationId> =
            self.sequences.iter().filter(|(_, sequence)| is_lost(sequence)).map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(sequence) = self.sequences.remove(&id) {
                self.counts.orphaned += u64::from(!sequence.is_finished());
                self.account(&sequence);
            }
        }
    }

    fn account(&mut self, sequence: &Sequence) {
        self.counts.work.prefill += sequence.work.prefill;
        self.counts.work.cached += sequence.work.cached;
        self.counts.work.decode += sequence.work.decode;
    }

    pub(super) fn load(&self) -> LoadReport {
        let count = |is_counted: fn(&Sequence) -> bool| {
            self.sequences.values().filter(|sequence| is_counted(sequence)).count() as u32
        };
        LoadReport {
            running: count(is_running),
            waiting: count(|sequence| sequence.state == SequenceState::Waiting),
            capacity: self.options.capacity,
        }
    }

    pub(super) fn total_counts(&self) -> EngineCounts {
        let mut counts = self.counts;
        counts.running = self.load().running;
        for sequence in self.sequences.values() {
            counts.work.prefill += sequence.work.prefill;
            counts.work.cached += sequence.work.cached;
            counts.work.decode += sequence.work.decode;
        }
        counts
    }

    /// Wakes every attachment, so that each sees a fault.
    pub(super) fn wake_all(&self) {
        self.sequences.values().for_each(Sequence::wake);
    }
}

fn is_running(sequence: &Sequence) -> bool {
    matches!(sequence.state, SequenceState::Prefill(_) | SequenceState::Decoding)
}

fn is_past(since: Option<Instant>, now: Instant, grace: Duration) -> bool {
    since.is_some_and(|since| now.duration_since(since) > grace)
}
