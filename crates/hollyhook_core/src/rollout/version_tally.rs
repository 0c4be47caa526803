use std::ops::AddAssign;
use std::time::Duration;

use super::VersionOutcome;

/// Durations of one kind, summarized by the moments of their logarithms.
///
/// On the logarithmic scale a slowdown by some factor is the same shift for short and for long durations.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TimeTally {
    /// The number of durations.
    pub count: u32,
    /// The sum of the natural logarithms of the durations in milliseconds.
    pub sum: f64,
    /// The sum of the squares of these logarithms.
    pub squares: f64,
}

impl TimeTally {
    /// Shorter durations count as this long, since they differ by the clock more than by the work.
    const MIN_MILLIS: f64 = 0.1;

    /// Counts one duration.
    pub fn record(&mut self, duration: Duration) {
        let log = (duration.as_secs_f64() * 1_000.0).max(Self::MIN_MILLIS).ln();
        self.count += 1;
        self.sum += log;
        self.squares += log * log;
    }

    /// The mean of the logarithms; zero without durations.
    pub fn mean(&self) -> f64 {
        if self.count == 0 { 0.0 } else { self.sum / f64::from(self.count) }
    }

    /// The sample variance of the logarithms; zero with fewer than two durations.
    pub fn variance(&self) -> f64 {
        if self.count < 2 {
            return 0.0;
        }
        let count = f64::from(self.count);
        ((self.squares - self.sum * self.sum / count) / (count - 1.0)).max(0.0)
    }
}

impl AddAssign for TimeTally {
    fn add_assign(&mut self, rhs: Self) {
        self.count += rhs.count;
        self.sum += rhs.sum;
        self.squares += rhs.squares;
    }
}

/// Counts of the answers, and of their durations, of endpoints of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct VersionTally {
    /// Answers, including failures.
    pub answers: u32,
    /// Answers that failed through the endpoint's own fault.
    pub failures: u32,
    /// Answers that blame the request.
    pub client_errors: u32,
    /// Attempts that [`LossMatcher`](super::LossMatcher) compared, answered or not.
    pub compared: u32,
    /// Compared attempts without a complete answer.
    pub lost: u32,
    /// Durations from the send to the answer, or to the first event of a stream.
    pub first: TimeTally,
    /// Durations between two events of a stream: the mean of each stream.
    pub gap: TimeTally,
}

impl VersionTally {
    /// Counts one attempt. One that broke is no answer, and how long it took says nothing.
    pub fn record(&mut self, outcome: VersionOutcome, first: Option<Duration>, gap: Option<Duration>) {
        if outcome == VersionOutcome::Broken {
            return;
        }
        self.answers += 1;
        self.failures += u32::from(outcome == VersionOutcome::Failed);
        self.client_errors += u32::from(outcome == VersionOutcome::ClientError);
        if let Some(first) = first {
            self.first.record(first);
        }
        if let Some(gap) = gap {
            self.gap.record(gap);
        }
    }
}

impl AddAssign for VersionTally {
    fn add_assign(&mut self, rhs: Self) {
        self.answers += rhs.answers;
        self.failures += rhs.failures;
        self.client_errors += rhs.client_errors;
        self.compared += rhs.compared;
        self.lost += rhs.lost;
        self.first += rhs.first;
        self.gap += rhs.gap;
    }
}

impl<'a> std::iter::Sum<&'a VersionTally> for VersionTally {
    fn sum<I: Iterator<Item = &'a VersionTally>>(iter: I) -> Self {
        let mut total = Self::default();
        iter.for_each(|tally| total += *tally);
        total
    }
}
