use std::time::Instant;

use async_channel::{Receiver, Sender};
use hollyhook_core::{AttemptNumber, Name};
use hollyhook_wire::{ApiStyle, EngineWork};

use super::TokenChain;

/// Where a sequence stands in the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SequenceState {
    /// Waits for a place.
    Waiting,
    /// Has a place and reads its prompt until then.
    Prefill(Instant),
    /// Gets a token each step.
    Decoding,
    /// Has reached its end, or was cancelled.
    Finished,
}

/// One generation at the engine.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) style: ApiStyle,
    pub(super) chain: TokenChain,
    pub(super) salt: u64,
    pub(super) attempt: AttemptNumber,
    pub(super) priority: u8,
    pub(super) arrival: u64,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
    pub(super) tokens: Vec<Name>,
    pub(super) state: SequenceState,
    pub(super) work: EngineWork,
    /// Wakes the newest attachment; an older one ends when it is replaced.
    pub(super) signal: Sender<()>,
    /// Since when nobody is attached.
    pub(super) orphan_since: Option<Instant>,
}

impl Sequence {
    /// Replaces the attachment.
    pub(super) fn attach(&mut self, attempt: AttemptNumber) -> Receiver<()> {
        let (signal, wake) = async_channel::bounded(1);
        self.attempt = attempt;
        self.signal = signal;
        self.orphan_since = None;
        wake
    }

    /// Produces one token.
    pub(super) fn step(&mut self) {
        let position = self.tokens.len() as u64;
        let token = match self.tokens.last() {
            Some(previous) => self.chain.next(position, previous),
            None => self.chain.first(self.salt),
        };
        self.tokens.push(token.into());
        self.work.decode += 1;
        self.finish_if_whole();
        self.wake();
    }

    pub(super) fn finish_if_whole(&mut self) {
        if self.tokens.len() as u64 >= self.max_tokens {
            self.state = SequenceState::Finished;
        }
    }

    pub(super) fn wake(&self) {
        // A full channel has a wake in it already.
        let _pending = self.signal.try_send(());
    }

    pub(super) fn is_finished(&self) -> bool {
        self.state == SequenceState::Finished
    }
}
