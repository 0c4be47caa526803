use std::time::Duration;

use crate::Name;

/// The size of a generation, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PromptSize {
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that may be generated.
    pub output_tokens: u64,
    /// Tokens that the caller expects to be generated; `None` if it gives no estimate.
    pub expected_tokens: Option<u64>,
    /// Identifies the last part of the prompt, which is specific to the request or its session; engines cache prompts
    /// by their parts.
    pub own_part: Option<u64>,
}

impl PromptSize {
    /// The engine memory that the generation occupies by its end, in tokens.
    pub fn memory_tokens(self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// The output that is expected, in tokens: the caller's estimate if it gives one, else the most that is allowed.
    pub fn expected_output(self) -> u64 {
        self.expected_tokens.map_or(self.output_tokens, |expected| expected.min(self.output_tokens))
    }
}

/// The parts of a caller's request head that hollyhook evaluates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHead {
    /// The id that the caller gave to this attempt.
    pub attempt_id: Name,
    /// How long the caller waits for the answer after sending the request; `None` if not stated.
    pub timeout: Option<Duration>,
    /// The caller's API key, if any.
    pub key: Option<Name>,
    /// The number of the last event that the caller received of an interrupted stream, if any.
    pub cursor: Option<u64>,
    /// The client attempt that brought the first event of an interrupted stream, if the caller names one.
    pub first_attempt: Option<Name>,
    /// The size of the generation; `None` if the caller states none, as for a plain call.
    pub prompt: Option<PromptSize>,
    /// The ids of the prompt's parts but for the last one, which other requests may share.
    pub shared_parts: Vec<u64>,
}
