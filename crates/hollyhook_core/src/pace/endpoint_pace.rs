use std::time::Duration;

use super::PaceChange;
use super::log_average::{LogAverage, LogDecay};
use crate::TimePoint;

/// Tracks the pace of one endpoint: the factor by which its work takes longer than usual for its service.
///
/// The factor is the product of two estimates: the percentage that the endpoint reports, and the measured times divided
/// by that percentage. It is therefore right whether or not the percentage includes the speed of the machine itself.
#[derive(Debug, Clone, Default)]
pub struct EndpointPace {
    /// Measured times, divided by the usual times and by the reported percentage.
    measured: LogAverage,
    /// The mean of the reported percentages, as factors.
    reported: LogAverage,
    /// The last reported percentage.
    percent: Option<u32>,
    /// The number of concurrent requests that the endpoint last reported.
    concurrent: u32,
    is_slow: bool,
    /// Since when the factor has contradicted `is_slow`.
    changing_since: Option<TimePoint>,
    /// Since when measured times have shown a pace that differs from the usual one.
    unusual_since: Option<TimePoint>,
}

impl EndpointPace {
    /// Weight, in samples, of the assumption that the endpoint works at the usual pace.
    const PRIOR_WEIGHT: f64 = 0.25;
    /// The total weight of measured times is limited, so that a change of pace shows after a few samples.
    const DECAY: LogDecay = LogDecay { half_life: Duration::from_secs(3), max_weight: 8.0 };
    const REPORTED_DECAY: LogDecay = LogDecay { half_life: Duration::from_secs(3), max_weight: 20.0 };
    /// Logarithm of the largest factor by which a sample may differ from the estimate; a sample beyond it is clamped,
    /// since a single long request or pause is weak evidence.
    const MAX_DEVIATION: f64 = 0.5;
    /// The same for the first samples: the estimate may still be far from the pace.
    const MAX_FIRST_DEVIATION: f64 = 0.7;
    /// Number of samples up to which `MAX_FIRST_DEVIATION` applies.
    const FIRST_SAMPLES: f64 = 2.0;
    /// Time for which an estimate counts in full after its last sample, and time after which it does not count.
    const FRESH_TIME: Duration = Duration::from_secs(2);
    const STALE_TIME: Duration = Duration::from_secs(10);
    /// Time in which the last reported percentage loses its weight to the mean: slow phases last about 0.6 s.
    const REPORT_TIME: Duration = Duration::from_millis(600);
    /// Factor from which an endpoint counts as slow, and factor below which its pace counts as usual again.
    const SLOW_FACTOR: f64 = 1.5;
    const USUAL_FACTOR: f64 = 1.25;
    /// How long a factor has to last before the endpoint counts as slow or as usual; shorter phases are common.
    const CHANGE_TIME: Duration = Duration::from_secs(2);
    /// Number of samples from which measured times show that an endpoint differs from the others.
    const MIN_EVIDENCE: f64 = 6.0;
    /// An endpoint differs if its factor is above this one or below its inverse; calls of different lengths cause
    /// smaller deviations.
    const UNUSUAL_FACTOR: f64 = 1.4;
    /// Logarithm of the largest factor, and of the inverse of the smallest one.
    const MAX_LOG_FACTOR: f64 = 2.3;

    /// The factor by which work takes longer than usual now; 1.0 without recent samples.
    pub fn factor(&self, now: TimePoint) -> f64 {
        let weight = self.samples(now);
        let measured = self.measured.mean() * weight / (weight + Self::PRIOR_WEIGHT) * freshness(now, &self.measured);
        (measured + self.reported_log(now)).clamp(-Self::MAX_LOG_FACTOR, Self::MAX_LOG_FACTOR).exp()
    }

    /// The weight of the measured times, about the number of recent samples.
    pub fn samples(&self, now: TimePoint) -> f64 {
        self.measured.weight(now, Self::DECAY.half_life)
    }

    /// Whether enough measured times have shown for a while that the endpoint's pace differs from the usual one.
    pub fn check_unusual(&mut self, now: TimePoint) -> bool {
        let factor = self.factor(now);
        let is_unusual = !(1.0 / Self::UNUSUAL_FACTOR..=Self::UNUSUAL_FACTOR).contains(&factor);
        if !is_unusual || self.samples(now) < Self::MIN_EVIDENCE {
            self.unusual_since = None;
            return false;
        }
        let since = *self.unusual_since.get_or_insert(now);
        now.since(since) >= Self::CHANGE_TIME
    }

    /// The number of concurrent requests that the endpoint last reported.
    pub fn concurrent(&self) -> u32 {
        self.concurrent
    }

    /// Stores the number of requests that the endpoint processes at a time.
    pub fn set_concurrent(&mut self, count: u32) {
        self.concurrent = count;
    }

    /// Adds a percentage that the endpoint reported.
    pub fn add_report(&mut self, now: TimePoint, percent: u32) {
        let sample = (f64::from(percent.max(1)) / 100.0).ln().clamp(-Self::MAX_LOG_FACTOR, Self::MAX_LOG_FACTOR);
        self.reported.add(now, sample, 1.0, Self::REPORTED_DECAY);
        self.percent = Some(percent);
    }

    /// Adds a measured time as a factor of the usual one.
    pub fn add_time(&mut self, now: TimePoint, ratio: f64, weight: f64) {
        let sample = ratio.max(1e-3).ln() - self.reported_log(now);
        let is_first = self.samples(now) < Self::FIRST_SAMPLES;
        let limit = if is_first { Self::MAX_FIRST_DEVIATION } else { Self::MAX_DEVIATION };
        let known = if self.samples(now) > 0.0 { self.measured.mean() } else { 0.0 };
        let sample = sample.clamp(known - limit, known + limit);
        self.measured.add(now, sample, weight, Self::DECAY);
    }

    /// The factor that the reported percentages alone show now.
    pub fn reported_factor(&self, now: TimePoint) -> f64 {
        self.reported_log(now).exp()
    }

    /// The change to be logged if the endpoint has just become slow, or usual again; `None` if neither.
    pub fn take_change(&mut self, now: TimePoint) -> Option<PaceChange> {
        let pace = self.factor(now);
        let is_changing = if self.is_slow { pace < Self::USUAL_FACTOR } else { pace > Self::SLOW_FACTOR };
        if !is_changing {
            self.changing_since = None;
            return None;
        }
        let since = *self.changing_since.get_or_insert(now);
        if now.since(since) < Self::CHANGE_TIME {
            return None;
        }
        self.is_slow = !self.is_slow;
        self.changing_since = None;
        let samples = self.samples(now);
        Some(PaceChange { is_slow: self.is_slow, pace, samples, reported_percent: self.percent })
    }

    fn reported_log(&self, now: TimePoint) -> f64 {
        let Some(percent) = self.percent else {
            return 0.0;
        };
        let last = (f64::from(percent.max(1)) / 100.0).ln();
        let age = now.since(self.reported.last_at()).as_secs_f64();
        let weight = (-age / Self::REPORT_TIME.as_secs_f64()).exp();
        let expected = self.reported.mean() + (last - self.reported.mean()) * weight;
        expected * freshness(now, &self.reported)
    }
}

/// The weight of an estimate by the age of its last sample, from 1.0 to zero.
fn freshness(now: TimePoint, average: &LogAverage) -> f64 {
    let age = now.since(average.last_at()).as_secs_f64();
    let span = EndpointPace::STALE_TIME.as_secs_f64() - EndpointPace::FRESH_TIME.as_secs_f64();
    ((EndpointPace::STALE_TIME.as_secs_f64() - age) / span).clamp(0.0, 1.0)
}
