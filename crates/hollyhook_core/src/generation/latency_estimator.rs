use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::RelayPolicy;
use crate::time::{SmoothedDuration, span_millis};

/// How long a stream may deliver nothing before it is suspected of being broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamTimeouts {
    /// The timeout before the attempt's first token.
    #[serde(with = "span_millis")]
    pub first_token: Duration,
    /// The timeout between two tokens.
    #[serde(with = "span_millis")]
    pub between_tokens: Duration,
}

/// Estimates the token latencies of one endpoint over all its streams.
///
/// Keeps a smoothed mean and mean deviation, as TCP does for round-trip times (RFC 6298, gains 1/8 and 1/4). A timeout
/// is the mean plus a multiple of the deviation, clamped to the policy's bounds.
#[derive(Debug, Clone, Default)]
pub struct LatencyEstimator {
    first_token: SmoothedDuration,
    between_tokens: SmoothedDuration,
}

impl LatencyEstimator {
    /// Records the time from the opening of an attempt to its first token.
    pub fn observe_first_token(&mut self, span: Duration) {
        self.first_token.observe(span);
    }

    /// Records the time between two tokens of a stream.
    pub fn observe_inter_token(&mut self, span: Duration) {
        self.between_tokens.observe(span);
    }

    /// The timeouts for silent streams of this endpoint.
    ///
    /// Without a sample, a timeout is the policy's ceiling.
    pub fn timeouts(&self, policy: &RelayPolicy) -> StreamTimeouts {
        StreamTimeouts {
            first_token: self.first_token.timeout(policy.silence_factor, policy.first_floor, policy.first_ceiling),
            between_tokens: self.between_tokens.timeout(
                policy.silence_factor,
                policy.silence_floor,
                policy.silence_ceiling,
            ),
        }
    }
}
