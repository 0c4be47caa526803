use std::borrow::Cow;

use hollyhook_core::{AttemptNumber, EndReason, EndpointState, GenerationId, LoadReport, ModelBinding, Name};
use serde::{Deserialize, Serialize};

/// The object that hollyhook adds to a request for an endpoint, as the body's `hollyhook` field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineExtension {
    /// The generation.
    pub generation: GenerationId,
    /// The number of this attempt at the generation.
    pub attempt: AttemptNumber,
    /// The required model, version and adapter; an endpoint that serves others refuses the attempt.
    pub binding: ModelBinding,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The generation's tokens that are known already; the endpoint's output continues after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume_tokens: Vec<Name>,
}

/// The data of an event in an endpoint's stream.
///
/// The event's `id` is a position: for a token, the token's position, from 0; for the end, the number of tokens of the
/// whole generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineChunk<'a> {
    /// The only choice; empty in a chunk that has only the usage.
    #[serde(borrow)]
    pub choices: Vec<ChunkChoice<'a>>,
    /// The token usage, sent with the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<EngineUsage>,
    /// The work that this endpoint did for the generation, sent with the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work: Option<EngineWork>,
}

/// The choice of a chunk, in completion or chat style.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice<'a> {
    /// The index of the choice, always 0.
    pub index: u32,
    /// The token's text, in completion style.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub text: Option<Cow<'a, str>>,
    /// The delta with the token's text, in chat style.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChunkDelta<'a>>,
    /// Why the generation ended, sent with the end.
    pub finish_reason: Option<EndReason>,
}

/// The delta of a chunk in chat style.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDelta<'a> {
    /// The token's text.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Cow<'a, str>>,
}

impl ChunkChoice<'_> {
    /// The token's text, in either style.
    pub fn content(&self) -> Option<&str> {
        let delta = self.delta.as_ref().and_then(|delta| delta.content.as_deref());
        self.text.as_deref().or(delta)
    }
}

/// The token usage of a request, an object of the API.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUsage {
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of output tokens.
    pub completion_tokens: u64,
    /// The number of prompt and output tokens together.
    pub total_tokens: u64,
}

/// The work that an endpoint did for a generation, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineWork {
    /// Input tokens that were prefilled because they were not in the endpoint's KV cache.
    pub prefill: u64,
    /// Input tokens that were found in the endpoint's KV cache.
    pub cached: u64,
    /// Output tokens that were decoded.
    pub decode: u64,
}

impl EngineWork {
    /// The number of prefilled and decoded tokens; cached tokens cost no work.
    pub const fn total(self) -> u64 {
        self.prefill + self.decode
    }
}

/// An endpoint's answer to `GET /v1/generations/{id}`: the state of a generation that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationState {
    /// The generation.
    pub generation: GenerationId,
    /// The newest attempt at the generation that the endpoint knows.
    pub attempt: AttemptNumber,
    /// The number of the generation's tokens produced, including those that it was resumed from.
    pub produced: u64,
    /// Whether the generation has ended.
    pub is_finished: bool,
}

/// An endpoint's answer to `GET /v1/load`: its model, state and load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The model, version and adapter that the endpoint serves.
    pub binding: ModelBinding,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// The load at the endpoint's last measurement.
    pub load: LoadReport,
}
