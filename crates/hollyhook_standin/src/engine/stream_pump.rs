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

/// Moves the tokens of one sequence to one attachment.
pub(super) struct StreamPump {
    shared: Arc<EngineShared>,
    id: GenerationId,
    attempt: AttemptNumber,
    position: usize,
    cut_epoch: u64,
    silence_epoch: u64,
}

impl StreamPump {
    /// A pump for an attachment from a position on, which sees the faults that come from now on.
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

    pub(super) async fn run(mut self, feed: BodySender, wake: Receiver<()>) {
        self.pump(&feed, &wake).await;
        self.shared.batch().detach(self.id, self.attempt);
    }

    async fn pump(&mut self, feed: &BodySender, wake: &Receiver<()>) {
        loop {
            let woken = std::pin::pin!(wake.recv());
            let closed = std::pin::pin!(feed.closed());
            match select(woken, closed).await {
                Either::Left((Ok(()), _)) => {}
                _ => return,
            }
            self.shared.faults.wait_pause().await;
            if self.shared.faults.is_dead() || self.cut_epoch != self.shared.cut_epoch.load(Ordering::SeqCst) {
                return;
            }
            if self.silence_epoch != self.shared.silence_epoch.load(Ordering::SeqCst) {
                // Neither data nor an end ever comes out of it again.
                feed.closed().await;
                return;
            }
            let (events, is_end) = self.render();
            if !events.is_empty() && !feed.send(events).await {
                return;
            }
            if is_end {
                return;
            }
        }
    }

    /// The events that are due, and whether the end is among them.
    fn render(&mut self) -> (Vec<u8>, bool) {
        let batch = self.shared.batch();
        let Some(sequence) = batch.get(self.id) else {
            return (Vec::new(), true);
        };
        let mut events = String::new();
        for (index, token) in sequence.tokens.iter().enumerate().skip(self.position) {
            push_event(&mut events, index, &token_chunk(sequence.style, token));
        }
        self.position = self.position.max(sequence.tokens.len());
        let is_end = sequence.is_finished() && sequence.tokens.len() as u64 >= sequence.max_tokens;
        if is_end {
            push_event(&mut events, sequence.tokens.len(), &end_chunk(sequence));
            events.push_str("data: [DONE]\n\n");
        }
        (events.into_bytes(), is_end)
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
