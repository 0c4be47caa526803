use std::time::Duration;

use crate::Name;

/// The tokens that a generation reads and may write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of output, at most.
    pub output_tokens: u64,
    /// Names the part of the prompt that is the request's or its session's own; engines cache prompts by their parts.
    pub own_part: Option<u64>,
}

impl PromptSize {
    /// Tokens of engine memory that the generation takes by its end.
    pub fn memory_tokens(self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// What hollyhook reads of a caller's request head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHead {
    /// The id of this client attempt.
    pub attempt_id: Name,
    /// How long the caller will wait from when it sent the request; none if it does not say.
    pub timeout: Option<Duration>,
    /// The API key.
    pub key: Option<Name>,
    /// The number of the last event that the caller has.
    pub cursor: Option<u64>,
    /// The size of a generation; none for a plain call.
    pub prompt: Option<PromptSize>,
}
