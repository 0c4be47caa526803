use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::span_millis;

/// Failure detection and fail-over settings of a relay; they trade resume latency against repeated work.
///
/// Start from one of the constructors and override single settings with the builder methods.
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
    /// A stream's timeout is the endpoint's mean latency plus this many mean deviations, within the bounds below.
    pub silence_factor: f64,
    /// The lower bound of the timeout between tokens.
    #[serde(with = "span_millis")]
    pub silence_floor: Duration,
    /// The upper bound of the timeout between tokens; applies also while an endpoint has no sample.
    #[serde(with = "span_millis")]
    pub silence_ceiling: Duration,
    /// The lower bound of the timeout before the first token.
    #[serde(with = "span_millis")]
    pub first_floor: Duration,
    /// The upper bound of the timeout before the first token; applies also while an endpoint has no sample.
    #[serde(with = "span_millis")]
    pub first_ceiling: Duration,
    /// How long an endpoint may take to accept an attempt; it accepts before it processes the prompt.
    #[serde(with = "span_millis")]
    pub open_timeout: Duration,
    /// How long a probe may take after a stream was silent for too long.
    #[serde(with = "span_millis")]
    pub probe_timeout: Duration,
    /// How long a probe may take after a connection broke.
    #[serde(with = "span_millis")]
    pub reset_probe_timeout: Duration,
    /// How long an endpoint that answers probes may produce no further token before the relay fails over.
    #[serde(with = "span_millis")]
    pub stall_limit: Duration,
    /// How long after a loss the relay searches for an endpoint before it fails the generation.
    #[serde(with = "span_millis")]
    pub resume_window: Duration,
    /// The first pause between searches within the window; it doubles with each further pause, up to 3 times.
    #[serde(with = "span_millis")]
    pub search_interval: Duration,
    /// The maximum number of attempts at one generation on this host.
    ///
    /// Attempts that no endpoint accepted are counted separately, and limited only while nothing has been lost.
    pub max_attempts: u32,
}

impl RelayPolicy {
    /// Short timeouts for streams and probes: for callers that wait for the answer.
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

    /// Longer timeouts for streams and probes, so that less work is repeated: for small fleets.
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

    /// Sets the lower bound of the timeout between tokens.
    #[must_use]
    pub const fn silence_floor(mut self, span: Duration) -> Self {
        self.silence_floor = span;
        self
    }

    /// Sets the upper bound of the timeout between tokens.
    #[must_use]
    pub const fn silence_ceiling(mut self, span: Duration) -> Self {
        self.silence_ceiling = span;
        self
    }

    /// Sets the upper bound of the timeout before the first token.
    #[must_use]
    pub const fn first_ceiling(mut self, span: Duration) -> Self {
        self.first_ceiling = span;
        self
    }

    /// Sets how long an endpoint may take to accept an attempt.
    #[must_use]
    pub const fn open_timeout(mut self, span: Duration) -> Self {
        self.open_timeout = span;
        self
    }

    /// Sets how long a probe may take after a stream was silent for too long.
    #[must_use]
    pub const fn probe_timeout(mut self, span: Duration) -> Self {
        self.probe_timeout = span;
        self
    }

    /// Sets how long a probe may take after a connection broke.
    #[must_use]
    pub const fn reset_probe_timeout(mut self, span: Duration) -> Self {
        self.reset_probe_timeout = span;
        self
    }

    /// Sets how long an endpoint that answers probes may produce no further token.
    #[must_use]
    pub const fn stall_limit(mut self, span: Duration) -> Self {
        self.stall_limit = span;
        self
    }

    /// Sets how long after a loss the relay searches for an endpoint.
    #[must_use]
    pub const fn resume_window(mut self, span: Duration) -> Self {
        self.resume_window = span;
        self
    }

    /// Sets the maximum number of attempts.
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
