use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest duration recorded, in microseconds; a longer one counts as this one.
const MAX_MICROS: u64 = 600_000_000;

/// Durations of one kind, from which quantiles are computed.
#[derive(Debug, Clone)]
pub(crate) struct SampleSet {
    histogram: Histogram<u64>,
}

impl Default for SampleSet {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are constant and valid");
        Self { histogram }
    }
}

impl SampleSet {
    pub(crate) fn add(&mut self, duration: Duration) {
        self.histogram.saturating_record((duration.as_micros() as u64).max(1));
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.histogram += &other.histogram;
    }

    /// The quantile in milliseconds.
    pub(crate) fn millis(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
