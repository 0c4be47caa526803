use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::RelayPolicy;
use crate::time::span_millis;

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

#[derive(Debug, Clone, Default)]
struct SmoothedDuration {
    mean_us: f64,
    deviation_us: f64,
    has_sample: bool,
}

impl SmoothedDuration {
    const MEAN_GAIN: f64 = 0.125;
    const DEVIATION_GAIN: f64 = 0.25;

    fn observe(&mut self, span: Duration) {
        let sample = span.as_micros() as f64;
        if !self.has_sample {
            self.mean_us = sample;
            self.deviation_us = sample / 2.0;
            self.has_sample = true;
            return;
        }
        let distance = (sample - self.mean_us).abs();
        self.deviation_us += Self::DEVIATION_GAIN * (distance - self.deviation_us);
        self.mean_us += Self::MEAN_GAIN * (sample - self.mean_us);
    }

    fn timeout(&self, factor: f64, floor: Duration, ceiling: Duration) -> Duration {
        if !self.has_sample {
            return ceiling;
        }
        let micros = self.mean_us + factor * self.deviation_us;
        Duration::from_micros(micros as u64).clamp(floor, ceiling)
    }
}
