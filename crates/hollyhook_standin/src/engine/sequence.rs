use std::time::Instant;

use async_channel::{Receiver, Sender};
use hollyhook_core::{AttemptNumber, Name};
use hollyhook_wire::{ApiStyle, EngineWork};

use super::TokenChain;

/// Stage of a sequence in the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SequenceState {
    /// Queued for a slot of the batch.
    Waiting,
    /// Holds a slot while its prompt is processed, which takes until this time.
    Prefill(Instant),
    /// Holds a slot and produces one token in each decode step.
    Decoding,
    /// Has produced all its tokens; its slot is free.
    Finished,
}

/// A generation that the engine holds.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) style: ApiStyle,
    pub(super) chain: TokenChain,
    pub(super) salt: u64,
    pub(super) attempt: AttemptNumber,
    pub(super) priority: u8,
    /// Number of the sequence in order of submission.
    pub(super) arrival: u64,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
    /// The output so far, the tokens that it was resumed with included.
    pub(super) tokens: Vec<Name>,
    pub(super) state: SequenceState,
    pub(super) work: EngineWork,
    /// Wakes the stream that is attached. Replacing the sender closes its channel, which ends an older stream.
    pub(super) notifier: Sender<()>,
    /// Time since which no stream has been attached, if none is.
    pub(super) orphaned_at: Option<Instant>,
}

impl Sequence {
    /// Attaches a stream for `attempt` in place of the current stream; the returned channel wakes the new stream.
    pub(super) fn attach(&mut self, attempt: AttemptNumber) -> Receiver<()> {
        let (notifier, notifications) = async_channel::bounded(1);
        self.attempt = attempt;
        self.notifier = notifier;
        self.orphaned_at = None;
        notifications
    }

    /// Produces one token.
    pub(super) fn produce_token(&mut self) {
        let position = self.tokens.len() as u64;
        let token = match self.tokens.last() {
            Some(previous) => self.chain.next(position, previous),
            None => self.chain.first(self.salt),
        };
        self.tokens.push(token.into());
        self.work.decode += 1;
        self.finish_at_limit();
        self.notify();
    }

    /// Finishes the sequence if its output has the requested length.
    pub(super) fn finish_at_limit(&mut self) {
        if self.tokens.len() as u64 >= self.max_tokens {
            self.state = SequenceState::Finished;
        }
    }

    /// Wakes the attached stream.
    pub(super) fn notify(&self) {
        // If the channel is full, a notification is pending already.
        let _pending = self.notifier.try_send(());
    }

    pub(super) fn is_finished(&self) -> bool {
        self.state == SequenceState::Finished
    }
}
