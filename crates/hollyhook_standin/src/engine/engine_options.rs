use std::time::Duration;

use hollyhook_core::ModelBinding;

/// How an engine stand-in behaves. A builder.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    pub(super) binding: ModelBinding,
    pub(super) step: Duration,
    pub(super) prefill_per_token: Duration,
    pub(super) capacity: u32,
    pub(super) queue: u32,
    pub(super) context: u64,
    pub(super) cache_tokens: usize,
    pub(super) load_lag: Duration,
    pub(super) orphan_grace: Duration,
    pub(super) salt: u64,
    pub(super) is_own_process: bool,
}

impl EngineOptions {
    /// An engine that serves those weights at 20 ms a token.
    pub fn new(binding: ModelBinding) -> Self {
        Self {
            binding,
            step: Duration::from_millis(20),
            prefill_per_token: Duration::from_micros(100),
            capacity: 64,
            queue: 1_024,
            context: 32_768,
            cache_tokens: 65_536,
            load_lag: Duration::from_millis(500),
            orphan_grace: Duration::from_secs(10),
            salt: 0,
            is_own_process: false,
        }
    }

    /// The time of one decode step, in which every running sequence gets a token.
    #[must_use]
    pub fn step(mut self, span: Duration) -> Self {
        self.step = span;
        self
    }

    /// The time to read one token of a prompt that is not cached.
    #[must_use]
    pub fn prefill_per_token(mut self, span: Duration) -> Self {
        self.prefill_per_token = span;
        self
    }

    /// Places in the batch.
    #[must_use]
    pub fn capacity(mut self, places: u32) -> Self {
        self.capacity = places;
        self
    }

    /// Places in the queue before the batch.
    #[must_use]
    pub fn queue(mut self, places: u32) -> Self {
        self.queue = places;
        self
    }

    /// Tokens of prompt and output together.
    #[must_use]
    pub fn context(mut self, tokens: u64) -> Self {
        self.context = tokens;
        self
    }

    /// Tokens of prompts that the prefix cache holds.
    #[must_use]
    pub fn cache_tokens(mut self, tokens: usize) -> Self {
        self.cache_tokens = tokens;
        self
    }

    /// How old a load report is.
    #[must_use]
    pub fn load_lag(mut self, span: Duration) -> Self {
        self.load_lag = span;
        self
    }

    /// How long a generation goes on, and is kept, with nobody attached.
    #[must_use]
    pub fn orphan_grace(mut self, span: Duration) -> Self {
        self.orphan_grace = span;
        self
    }

    /// What the first token of a generation depends on; engines with different salts sample differently.
    #[must_use]
    pub fn salt(mut self, salt: u64) -> Self {
        self.salt = salt;
        self
    }

    /// The stand-in is a process of its own, which ends when it is told to die.
    #[must_use]
    pub fn own_process(mut self) -> Self {
        self.is_own_process = true;
        self
    }
}
