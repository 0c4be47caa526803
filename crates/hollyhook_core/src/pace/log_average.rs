use std::time::Duration;

use crate::TimePoint;

/// A mean of logarithms in which a sample's weight halves with its age.
///
/// With logarithms, half and twice the usual time differ from it equally.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LogAverage {
    mean: f64,
    weight: f64,
    at: TimePoint,
}

impl LogAverage {
    /// Adds a sample of the given weight; the total weight of all samples is limited to `max_weight`.
    pub(super) fn add(&mut self, now: TimePoint, sample: f64, weight: f64, decay: LogDecay) {
        let total = self.weight(now, decay.half_life).min(decay.max_weight) + weight;
        self.mean += (sample - self.mean) * weight / total;
        self.weight = total;
        self.at = now;
    }

    /// The mean; zero without samples.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    /// The total weight of the samples now.
    pub(super) fn weight(&self, now: TimePoint, half_life: Duration) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        let halvings = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        self.weight * 0.5_f64.powf(halvings)
    }

    /// When the last sample was added.
    pub(super) fn last_at(&self) -> TimePoint {
        self.at
    }
}

/// How fast a [`LogAverage`] follows its samples.
#[derive(Debug, Clone, Copy)]
pub(super) struct LogDecay {
    pub(super) half_life: Duration,
    pub(super) max_weight: f64,
}
