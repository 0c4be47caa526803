use std::collections::HashMap;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use hollyhook_core::{AttemptNumber, EndpointRefusal, GenerationId, LoadReport, Name};
use hollyhook_wire::{CallerRequest, EngineExtension, EngineWork, GenerationState};
use serde::{Deserialize, Serialize};

use super::prefix_cache::PrefixCache;
use super::sequence::{Sequence, SequenceState};
use super::{EngineOptions, TokenChain};

/// Work and events of an engine stand-in; the body of the answer to `GET /admin/counts`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Work done for all generations, in tokens.
    pub work: EngineWork,
    /// Generations submitted without tokens to resume from.
    pub started: u64,
    /// Generations resumed from tokens that were delivered before.
    pub resumed: u64,
    /// Streams attached to a generation that the engine already held.
    pub attached: u64,
    /// Generations cancelled by a request.
    pub cancelled: u64,
    /// Unfinished generations dropped because no stream was attached for the grace period.
    pub orphaned: u64,
    /// Generations that produced their last token here.
    pub finished: u64,
    /// Generations that hold a slot of the batch at present.
    pub running: u32,
    /// Requests for the state of a generation, those for an unknown generation included.
    pub probes: u64,
}

/// The sequences that an engine holds, and the batch whose slots they share.
#[derive(Debug)]
pub(super) struct EngineBatch {
    options: EngineOptions,
    cache: PrefixCache,
    sequences: HashMap<GenerationId, Sequence>,
    /// Sequences submitted so far.
    arrivals: u64,
    /// Time at which the prompts admitted so far will have been processed, which happens one after another.
    prefill_free_at: Instant,
    /// Counts so far, without the running sequences and the work of the sequences that are still held.
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

    /// Queues a generation and attaches a stream to it; the returned channel wakes the stream.
    ///
    /// An older attempt of the generation is replaced. Rejects a request for other weights, beyond the context length,
    /// for an attempt that is not newer than that of the generation held, or when the queue is full.
    pub(super) fn submit(
        &mut self,
        request: &CallerRequest,
        extension: EngineExtension,
    ) -> Result<Receiver<()>, EndpointRefusal> {
        if extension.binding != self.options.binding {
            return Err(EndpointRefusal::Unable);
        }
        if request.prompt_tokens() + request.max_tokens > self.options.context_tokens {
            return Err(EndpointRefusal::Invalid);
        }
        let existing = self.sequences.get(&extension.generation);
        if existing.is_some_and(|existing| existing.attempt >= extension.attempt) {
            return Err(EndpointRefusal::Superseded);
        }
        let load = self.load();
        if load.waiting >= self.options.queue_capacity {
            return Err(EndpointRefusal::Busy);
        }
        Ok(self.insert(request, extension))
    }

    /// Adds a sequence in place of an older attempt's, and attaches a stream to it.
    fn insert(&mut self, request: &CallerRequest, extension: EngineExtension) -> Receiver<()> {
        let (notifier, _notifications) = async_channel::bounded(1);
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
            work: self.prefill_work(request, &extension.resume_tokens),
            notifier,
            orphaned_at: None,
        };
        sequence.tokens = extension.resume_tokens;
        let notifications = sequence.attach(extension.attempt);
        sequence.finish_at_limit();
        sequence.notify();
        if let Some(replaced) = self.sequences.insert(extension.generation, sequence) {
            self.record_work(&replaced);
        }
        notifications
    }

    /// Calculates the prefill of a prompt and the tokens resumed after it, and adds both to the prefix cache.
    fn prefill_work(&mut self, request: &CallerRequest, resumed: &[Name]) -> EngineWork {
        let prompt = request.prompt.split_whitespace();
        let all = prompt.chain(resumed.iter().map(|token| &**token));
        let total = request.prompt_tokens() + resumed.len() as u64;
        let cached = self.cache.insert_prompt(all) as u64;
        EngineWork { prefill: total - cached, cached, decode: 0 }
    }

    /// Attaches a stream in place of the current stream; rejects an attempt that is not newer than the current one.
    pub(super) fn attach(&mut self, id: GenerationId, attempt: AttemptNumber) -> Result<Receiver<()>, EndpointRefusal> {
        let sequence = self.sequences.get_mut(&id).ok_or(EndpointRefusal::NotHeld)?;
        if sequence.attempt >= attempt {
            return Err(EndpointRefusal::Superseded);
        }
        self.counts.attached += 1;
        let notifications = sequence.attach(attempt);
        sequence.notify();
        Ok(notifications)
    }

    pub(super) fn get(&self, id: GenerationId) -> Option<&Sequence> {
        self.sequences.get(&id)
    }

    /// Answers a probe for a generation.
    pub(super) fn state(&mut self, id: GenerationId) -> Option<GenerationState> {
        self.counts.probes += 1;
        self.sequences.get(&id).map(|sequence| GenerationState {
            generation: id,
            attempt: sequence.attempt,
            produced: sequence.tokens.len() as u64,
            is_finished: sequence.is_finished(),
        })
    }

    /// Drops a generation unless its attempt is newer than `attempt`; returns whether a generation was dropped.
    pub(super) fn cancel(&mut self, id: GenerationId, attempt: AttemptNumber) -> bool {
        let is_held = self.sequences.get(&id).is_some_and(|sequence| sequence.attempt <= attempt);
        if is_held && let Some(sequence) = self.sequences.remove(&id) {
            self.record_work(&sequence);
            self.counts.cancelled += 1;
        }
        is_held
    }

    /// Starts the grace period of a generation whose stream ended, unless a newer attempt is attached.
    pub(super) fn detach(&mut self, id: GenerationId, attempt: AttemptNumber) {
        if let Some(sequence) = self.sequences.get_mut(&id)
            && sequence.attempt == attempt
        {
            sequence.orphaned_at.get_or_insert_with(Instant::now);
        }
    }

    /// Runs one decode step: drops orphans, fills free slots, and produces a token for each decoding sequence.
    pub(super) fn step(&mut self, now: Instant) {
        self.evict_orphans(now);
        self.fill_slots(now);
        for sequence in self.sequences.values_mut() {
            if let SequenceState::Prefill(until) = sequence.state
                && until <= now
            {
                sequence.state = SequenceState::Decoding;
            }
            if sequence.state == SequenceState::Decoding {
                sequence.produce_token();
                self.counts.finished += u64::from(sequence.is_finished());
            }
        }
    }

    /// Moves queued sequences into free slots, by priority and then in order of submission.
    fn fill_slots(&mut self, now: Instant) {
        let running = self.sequences.values().filter(|sequence| is_running(sequence)).count();
        let slots = (self.options.capacity as usize).saturating_sub(running);
        let mut waiting: Vec<&mut Sequence> =
            self.sequences.values_mut().filter(|sequence| sequence.state == SequenceState::Waiting).collect();
        waiting.sort_by_key(|sequence| (sequence.priority, sequence.arrival));
        for sequence in waiting.into_iter().take(slots) {
            let cost = self.options.prefill_per_token * sequence.work.prefill as u32;
            self.prefill_free_at = self.prefill_free_at.max(now) + cost;
            sequence.state = SequenceState::Prefill(self.prefill_free_at);
        }
    }

    /// Drops the sequences to which no stream has been attached for longer than the grace period.
    fn evict_orphans(&mut self, now: Instant) {
        let grace = self.options.orphan_grace;
        let is_abandoned = |sequence: &Sequence| is_expired(sequence.orphaned_at, now, grace);
        let abandoned: Vec<GenerationId> =
            self.sequences.iter().filter(|(_, sequence)| is_abandoned(sequence)).map(|(id, _)| *id).collect();
        for id in abandoned {
            if let Some(sequence) = self.sequences.remove(&id) {
                self.counts.orphaned += u64::from(!sequence.is_finished());
                self.record_work(&sequence);
            }
        }
    }

    /// Adds the work of a sequence that is no longer held to the counts.
    fn record_work(&mut self, sequence: &Sequence) {
        self.counts.work.prefill += sequence.work.prefill;
        self.counts.work.cached += sequence.work.cached;
        self.counts.work.decode += sequence.work.decode;
    }

    /// The load at present.
    pub(super) fn load(&self) -> LoadReport {
        let count = |is_counted: fn(&Sequence) -> bool| {
            self.sequences.values().filter(|sequence| is_counted(sequence)).count() as u32
        };
        LoadReport {
            running: count(is_running),
            waiting: count(|sequence| sequence.state == SequenceState::Waiting),
            capacity: self.options.capacity,
            pace_percent: None,
        }
    }

    /// The counts with the running sequences and the work of the sequences still held.
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

    /// Wakes every attached stream, so that it observes an injected fault.
    pub(super) fn notify_all(&self) {
        self.sequences.values().for_each(Sequence::notify);
    }
}

fn is_running(sequence: &Sequence) -> bool {
    matches!(sequence.state, SequenceState::Prefill(_) | SequenceState::Decoding)
}

fn is_expired(since: Option<Instant>, now: Instant, grace: Duration) -> bool {
    since.is_some_and(|since| now.duration_since(since) > grace)
}
