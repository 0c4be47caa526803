use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::span_millis;

/// How a generation is guarded, between resume latency and extra resource use.
///
/// A builder: start from one of the constructors and change what differs.
///
/// ```
/// use hollyhook_core::RelayPolicy;
/// use std::time::Duration;
///
/// let policy = RelayPolicy::favour_latency().probe_timeout(Duration::from_millis(100));
/// assert!(policy.silence_floor < RelayPolicy::favour_work().silence_floor);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayPolicy {
    /// Deviations beyond the mean gap that make a silence suspect.
    pub silence_factor: f64,
    /// The least silence between tokens that is suspect.
    #[serde(with = "span_millis")]
    pub silence_floor: Duration,
    /// The silence between tokens that is always suspect.
    #[serde(with = "span_millis")]
    pub silence_ceiling: Duration,
    /// The least silence before the first token that is suspect.
    #[serde(with = "span_millis")]
    pub first_floor: Duration,
    /// The silence before the first token that is always suspect.
    #[serde(with = "span_millis")]
    pub first_ceiling: Duration,
    /// How long an endpoint may take to accept an attempt, which it does before it reads the prompt.
    #[serde(with = "span_millis")]
    pub open_timeout: Duration,
    /// How long a probe on a new connection may take after a silence.
    #[serde(with = "span_millis")]
    pub probe_timeout: Duration,
    /// How long a probe on a new connection may take after a reset.
    #[serde(with = "span_millis")]
    pub reset_probe_timeout: Duration,
    /// How long a live endpoint may make no progress in mid-stream before it is left.
    #[serde(with = "span_millis")]
    pub stall_limit: Duration,
    /// How long after a loss the search for an endpoint goes on.
    #[serde(with = "span_millis")]
    pub resume_window: Duration,
    /// The pause between two searches for an endpoint within the window.
    #[serde(with = "span_millis")]
    pub search_interval: Duration,
    /// The most attempts at one generation on this host.
    pub max_attempts: u32,
}

impl RelayPolicy {
    /// Little silence is suspect, and a probe has little time: for callers who wait.
    pub const fn favour_latency() -> Self {
        Self {
            silence_factor: 8.0,
            silence_floor: Duration::from_millis(250),
            silence_ceiling: Duration::from_secs(1),
            first_floor: Duration::from_millis(800),
            first_ceiling: Duration::from_secs(2),
            open_timeout: Duration::from_millis(300),
            probe_timeout: Duration::from_millis(200),
            reset_probe_timeout: Duration::from_millis(50),
            stall_limit: Duration::from_millis(2_500),
            resume_window: Duration::from_secs(4),
            search_interval: Duration::from_millis(50),
            max_attempts: 8,
        }
    }

    /// More silence is suspect and a probe has more time: for fleets that are small.
    pub const fn favour_work() -> Self {
        Self {
            silence_factor: 12.0,
            silence_floor: Duration::from_millis(800),
            silence_ceiling: Duration::from_millis(1_500),
            first_floor: Duration::from_secs(2),
            first_ceiling: Duration::from_secs(4),
            open_timeout: Duration::from_millis(800),
            probe_timeout: Duration::from_secs(1),
            reset_probe_timeout: Duration::from_millis(200),
            stall_limit: Duration::from_secs(10),
            resume_window: Duration::from_secs(4),
            search_interval: Duration::from_millis(100),
            max_attempts: 8,
        }
    }

    /// Another least suspect silence between tokens.
    #[must_use]
    pub const fn silence_floor(mut self, span: Duration) -> Self {
        self.silence_floor = span;
        self
    }

    /// Another always suspect silence between tokens.
    #[must_use]
    pub const fn silence_ceiling(mut self, span: Duration) -> Self {
        self.silence_ceiling = span;
        self
    }

    /// Another always suspect silence before the first token.
    #[must_use]
    pub const fn first_ceiling(mut self, span: Duration) -> Self {
        self.first_ceiling = span;
        self
    }

    /// Another time for an endpoint to accept an attempt.
    #[must_use]
    pub const fn open_timeout(mut self, span: Duration) -> Self {
        self.open_timeout = span;
        self
    }

    /// Another time for a probe after a silence.
    #[must_use]
    pub const fn probe_timeout(mut self, span: Duration) -> Self {
        self.probe_timeout = span;
        self
    }

    /// Another time for a probe after a reset.
    #[must_use]
    pub const fn reset_probe_timeout(mut self, span: Duration) -> Self {
        self.reset_probe_timeout = span;
        self
    }

    /// Another limit for a live endpoint without progress.
    #[must_use]
    pub const fn stall_limit(mut self, span: Duration) -> Self {
        self.stall_limit = span;
        self
    }

    /// Another time for the search after a loss.
    #[must_use]
    pub const fn resume_window(mut self, span: Duration) -> Self {
        self.resume_window = span;
        self
    }

    /// Another bound on attempts.
    #[must_use]
    pub const fn max_attempts(mut self, number: u32) -> Self {
        self.max_attempts = number;
        self
    }
}

impl Default for RelayPolicy {
    fn default() -> Self {
        Self::favour_latency()
    }
}
