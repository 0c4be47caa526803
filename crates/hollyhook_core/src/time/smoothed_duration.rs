use std::time::Duration;

/// A smoothed mean and mean deviation of durations, as TCP keeps them of round-trip times (RFC 6298, gains 1/8 and 1/4).
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SmoothedDuration {
    mean_us: f64,
    deviation_us: f64,
    has_sample: bool,
}

impl SmoothedDuration {
    const MEAN_GAIN: f64 = 0.125;
    const DEVIATION_GAIN: f64 = 0.25;

    pub(crate) fn has_sample(self) -> bool {
        self.has_sample
    }

    pub(crate) fn observe(&mut self, span: Duration) {
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

    /// The mean plus `factor` deviations, within bounds; `ceiling` without a sample.
    pub(crate) fn timeout(self, factor: f64, floor: Duration, ceiling: Duration) -> Duration {
        if !self.has_sample {
            return ceiling;
        }
        let micros = self.mean_us + factor * self.deviation_us;
        Duration::from_micros(micros as u64).clamp(floor, ceiling)
    }
}
