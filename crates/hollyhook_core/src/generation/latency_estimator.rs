use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::RelayPolicy;
use crate::time::span_millis;

/// How long to hear nothing from a stream before it is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamTimeouts {
    /// Before the attempt's first token.
    #[serde(with = "span_millis")]
    pub first_token: Duration,
    /// Between two tokens.
    #[serde(with = "span_millis")]
    pub between_tokens: Duration,
}

/// The usual gaps of one endpoint, over all its streams.
///
/// Keeps a smoothed mean and mean deviation, as TCP does for round trips (RFC 6298, gains 1/8 and 1/4); patience
/// is the mean plus a number of deviations, within the bounds of the policy.
#[derive(Debug, Clone, Default)]
pub struct LatencyEstimator {
    first: SmoothedSpan,
    between: SmoothedSpan,
}

impl LatencyEstimator {
    /// Learns the time from an attempt's opening to its first token.
    pub fn observe_first_token(&mut self, span: Duration) {
        self.first.observe(span);
    }

    /// Learns the gap between two tokens of a stream.
    pub fn observe_inter_token(&mut self, span: Duration) {
        self.between.observe(span);
    }

    /// How long to wait on a silent stream of this endpoint.
    ///
    /// With nothing learnt yet, the policy's ceilings hold.
    pub fn timeouts(&self, policy: &RelayPolicy) -> StreamTimeouts {
        StreamTimeouts {
            first_token: self.first.bound(policy.silence_factor, policy.first_floor, policy.first_ceiling),
            between_tokens: self.between.bound(policy.silence_factor, policy.silence_floor, policy.silence_ceiling),
        }
    }
}

#[derive(Debug, Clone, Default)]
struct SmoothedSpan {
    mean_us: f64,
    deviation_us: f64,
    is_known: bool,
}

impl SmoothedSpan {
    const MEAN_GAIN: f64 = 0.125;
    const DEVIATION_GAIN: f64 = 0.25;

    fn observe(&mut self, span: Duration) {
        let sample = span.as_micros() as f64;
        if !self.is_known {
            self.mean_us = sample;
            self.deviation_us = sample / 2.0;
            self.is_known = true;
            return;
        }
        let distance = (sample - self.mean_us).abs();
        self.deviation_us += Self::DEVIATION_GAIN * (distance - self.deviation_us);
        self.mean_us += Self::MEAN_GAIN * (sample - self.mean_us);
    }

    fn bound(&self, factor: f64, floor: Duration, ceiling: Duration) -> Duration {
        if !self.is_known {
            return ceiling;
        }
        let micros = self.mean_us + factor * self.deviation_us;
        Duration::from_micros(micros as u64).clamp(floor, ceiling)
    }
}
