use std::borrow::Cow;

use hollyhook_core::{AttemptNumber, EndReason, EndpointState, GenerationId, LoadReport, ModelBinding, Name};
use serde::{Deserialize, Serialize};

/// What hollyhook adds to a request for an endpoint, under the body's `hollyhook` field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineExtension {
    /// The generation.
    pub generation: GenerationId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The weights; an endpoint that serves others refuses.
    pub binding: ModelBinding,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Tokens that were delivered already; the output goes on behind them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume_tokens: Vec<Name>,
}

/// One event's data in an endpoint's stream; the event's `id` is the position.
///
/// The `id` of a token is its position, from 0; the `id` of the end is the number of tokens of the whole generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineChunk<'a> {
    /// The one choice; none in a usage chunk.
    #[serde(borrow)]
    pub choices: Vec<ChunkChoice<'a>>,
    /// With the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<EngineUsage>,
    /// With the end: the work that this endpoint did for the generation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work: Option<EngineWork>,
}

/// The choice of a chunk, in either style.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice<'a> {
    /// Always 0.
    pub index: u32,
    /// The text, in the completion style.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub text: Option<Cow<'a, str>>,
    /// The text, in the chat style.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChunkDelta<'a>>,
    /// With the end.
    pub finish_reason: Option<EndReason>,
}

/// The delta of a chunk in the chat style.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDelta<'a> {
    /// The text.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Cow<'a, str>>,
}

impl ChunkChoice<'_> {
    /// The text, in either style.
    pub fn content(&self) -> Option<&str> {
        let delta = self.delta.as_ref().and_then(|delta| delta.content.as_deref());
        self.text.as_deref().or(delta)
    }
}

/// The API's usage object.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the output.
    pub completion_tokens: u64,
    /// Both together.
    pub total_tokens: u64,
}

/// The work that an endpoint did for a generation, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineWork {
    /// Tokens read that were not in its cache.
    pub prefill: u64,
    /// Tokens of the prompt found in its cache.
    pub cached: u64,
    /// Tokens produced.
    pub decode: u64,
}

impl EngineWork {
    /// Prefill and decode together; what came from the cache cost nothing.
    pub const fn total(self) -> u64 {
        self.prefill + self.decode
    }
}

/// What an endpoint says of a generation: `GET /v1/generations/{id}`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationState {
    /// The generation.
    pub generation: GenerationId,
    /// The newest attempt that it knows.
    pub attempt: AttemptNumber,
    /// Tokens of the generation produced, those that it was resumed from included.
    pub produced: u64,
    /// Whether it has reached the end.
    pub is_finished: bool,
}

/// What an endpoint says of itself: `GET /v1/load`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The weights.
    pub binding: ModelBinding,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Its load some time ago.
    pub load: LoadReport,
}
