use std::borrow::Cow;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use futures::future::{Either, select};
use hollyhook_core::{AttemptNumber, EndReason, GenerationId, Name};
use hollyhook_wire::{ApiStyle, BodySender, ChunkChoice, ChunkDelta, EngineChunk, EngineUsage};

use super::engine_shared::EngineShared;
use super::sequence::Sequence;

/// Sends the tokens of a sequence to the client of one stream attached to the sequence.
pub(super) struct StreamTask {
    shared: Arc<EngineShared>,
    id: GenerationId,
    attempt: AttemptNumber,
    position: usize,
    cut_epoch: u64,
    silence_epoch: u64,
}

impl StreamTask {
    /// Creates a task that sends the tokens from `position` on.
    ///
    /// Of the `Cut` and `Silence` faults, only those injected after this call affect the stream.
    pub(super) fn new(shared: Arc<EngineShared>, id: GenerationId, attempt: AttemptNumber, position: usize) -> Self {
        Self {
            cut_epoch: shared.cut_epoch.load(Ordering::SeqCst),
            silence_epoch: shared.silence_epoch.load(Ordering::SeqCst),
            shared,
            id,
            attempt,
            position,
        }
    }

    /// Sends the tokens until the stream ends, then detaches the stream from its sequence.
    pub(super) async fn run(mut self, sender: BodySender, notifications: Receiver<()>) {
        self.send_events(&sender, &notifications).await;
        self.shared.batch().detach(self.id, self.attempt);
    }

    /// Sends the new events at each notification.
    ///
    /// Returns at the end of the generation, when the client disconnects, when the sequence is dropped or another
    /// stream replaces this stream, or at a fault that closes the stream.
    async fn send_events(&mut self, sender: &BodySender, notifications: &Receiver<()>) {
        loop {
            let notified = std::pin::pin!(notifications.recv());
            let closed = std::pin::pin!(sender.closed());
            match select(notified, closed).await {
                Either::Left((Ok(()), _)) => {}
                _ => return,
            }
            self.shared.faults.wait_pause().await;
            if self.shared.faults.is_dead() || self.cut_epoch != self.shared.cut_epoch.load(Ordering::SeqCst) {
                return;
            }
            if self.silence_epoch != self.shared.silence_epoch.load(Ordering::SeqCst) {
                // A silenced stream stays open without further data until its client disconnects.
                sender.closed().await;
                return;
            }
            let (events, is_complete) = self.take_events();
            if !events.is_empty() && !sender.send(events).await {
                return;
            }
            if is_complete {
                return;
            }
        }
    }

    /// Returns the events not yet sent, and whether the stream ends after them.
    fn take_events(&mut self) -> (Vec<u8>, bool) {
        let batch = self.shared.batch();
        let Some(sequence) = batch.get(self.id) else {
            return (Vec::new(), true);
        };
        let mut events = String::new();
        for (index, token) in sequence.tokens.iter().enumerate().skip(self.position) {
            push_event(&mut events, index, &token_chunk(sequence.style, token));
        }
        self.position = self.position.max(sequence.tokens.len());
        let is_complete = sequence.is_finished() && sequence.tokens.len() as u64 >= sequence.max_tokens;
        if is_complete {
            push_event(&mut events, sequence.tokens.len(), &end_chunk(sequence));
            events.push_str("data: [DONE]\n\n");
        }
        (events.into_bytes(), is_complete)
    }
}

fn push_event(events: &mut String, position: usize, chunk: &EngineChunk<'_>) {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    let _infallible = write!(events, "id: {position}\ndata: {data}\n\n");
}

fn token_chunk(style: ApiStyle, token: &Name) -> EngineChunk<'_> {
    let text = Some(Cow::Borrowed(&**token));
    let (text, delta) = match style {
        ApiStyle::Completion => (text, None),
        ApiStyle::Chat => (None, Some(ChunkDelta { content: text })),
    };
    let choice = ChunkChoice { index: 0, text, delta, finish_reason: None };
    EngineChunk { choices: vec![choice], usage: None, work: None }
}

fn end_chunk(sequence: &Sequence) -> EngineChunk<'static> {
    let choice = ChunkChoice { index: 0, text: None, delta: None, finish_reason: Some(EndReason::Length) };
    let output = sequence.tokens.len() as u64;
    let usage = EngineUsage {
        prompt_tokens: sequence.prompt_tokens,
        completion_tokens: output,
        total_tokens: sequence.prompt_tokens + output,
    };
    EngineChunk { choices: vec![choice], usage: Some(usage), work: Some(sequence.work) }
}
