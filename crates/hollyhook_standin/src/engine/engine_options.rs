use std::time::Duration;

use hollyhook_core::ModelBinding;

/// Options of an engine stand-in, set with chained methods.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    pub(super) binding: ModelBinding,
    pub(super) step: Duration,
    pub(super) prefill_per_token: Duration,
    pub(super) capacity: u32,
    pub(super) queue_capacity: u32,
    pub(super) context_tokens: u64,
    pub(super) cache_tokens: usize,
    pub(super) load_lag: Duration,
    pub(super) orphan_grace: Duration,
    pub(super) salt: u64,
    pub(super) is_own_process: bool,
}

impl EngineOptions {
    /// Options with default values for an engine that serves the weights of `binding`, at 20 ms per token.
    pub fn new(binding: ModelBinding) -> Self {
        Self {
            binding,
            step: Duration::from_millis(20),
            prefill_per_token: Duration::from_micros(100),
            capacity: 64,
            queue_capacity: 1_024,
            context_tokens: 32_768,
            cache_tokens: 65_536,
            load_lag: Duration::from_millis(500),
            orphan_grace: Duration::from_secs(10),
            salt: 0,
            is_own_process: false,
        }
    }

    /// Sets the duration of a decode step, in which every decoding sequence produces one token.
    #[must_use]
    pub fn step(mut self, span: Duration) -> Self {
        self.step = span;
        self
    }

    /// Sets the time to process one prompt token that is not in the prefix cache.
    #[must_use]
    pub fn prefill_per_token(mut self, span: Duration) -> Self {
        self.prefill_per_token = span;
        self
    }

    /// Sets the number of slots in the batch.
    #[must_use]
    pub fn capacity(mut self, slots: u32) -> Self {
        self.capacity = slots;
        self
    }

    /// Sets how many generations may wait for a slot of the batch.
    #[must_use]
    pub fn queue_capacity(mut self, slots: u32) -> Self {
        self.queue_capacity = slots;
        self
    }

    /// Sets the context length: the maximum of prompt tokens and requested output tokens together.
    #[must_use]
    pub fn context_tokens(mut self, tokens: u64) -> Self {
        self.context_tokens = tokens;
        self
    }

    /// Sets the capacity of the prefix cache in tokens.
    #[must_use]
    pub fn cache_tokens(mut self, tokens: usize) -> Self {
        self.cache_tokens = tokens;
        self
    }

    /// Sets the interval at which the reported load is refreshed, which is also the greatest age of a report.
    #[must_use]
    pub fn load_lag(mut self, span: Duration) -> Self {
        self.load_lag = span;
        self
    }

    /// Sets how long a generation continues, or is kept when finished, without an attached stream.
    #[must_use]
    pub fn orphan_grace(mut self, span: Duration) -> Self {
        self.orphan_grace = span;
        self
    }

    /// Sets the salt of the first token: engines with different salts mostly answer the same prompt differently.
    #[must_use]
    pub fn salt(mut self, salt: u64) -> Self {
        self.salt = salt;
        self
    }

    /// Declares that the stand-in has its process to itself: [`FaultKind::Die`](crate::FaultKind::Die) exits the process.
    #[must_use]
    pub fn own_process(mut self) -> Self {
        self.is_own_process = true;
        self
    }
}
