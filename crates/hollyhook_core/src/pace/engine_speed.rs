use std::time::Duration;

/// How fast an engine is expected to serve a generation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpeed {
    /// Prompt tokens that the engine reads per millisecond between the decode steps of other requests.
    pub read_tokens_per_ms: f64,
    /// Time between two events of a generation.
    pub event_time: Duration,
}

impl Default for EngineSpeed {
    /// The speed that is assumed until it has been measured.
    fn default() -> Self {
        Self { read_tokens_per_ms: 7.0, event_time: Duration::from_millis(30) }
    }
}

impl EngineSpeed {
    /// The expected time to read a prompt.
    pub fn read_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.read_tokens_per_ms / 1e3)
    }
}
