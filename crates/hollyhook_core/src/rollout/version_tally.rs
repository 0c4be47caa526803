use std::ops::AddAssign;
use std::time::Duration;

/// Times of one kind, as the moments of their logarithms: what is several times slower is shifted there by the same amount,
/// whatever its size.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TimeTally {
    /// Times counted.
    pub count: u32,
    /// The sum of the logarithms of milliseconds.
    pub sum: f64,
    /// The sum of their squares.
    pub squares: f64,
}

impl TimeTally {
    /// Below it, times differ by the clock more than by the work.
    const LEAST_MILLIS: f64 = 0.1;

    /// Counts one time.
    pub fn record(&mut self, time: Duration) {
        let log = (time.as_secs_f64() * 1_000.0).max(Self::LEAST_MILLIS).ln();
        self.count += 1;
        self.sum += log;
        self.squares += log * log;
    }

    /// The mean logarithm; zero of none.
    pub fn mean(&self) -> f64 {
        if self.count == 0 { 0.0 } else { self.sum / f64::from(self.count) }
    }

    /// The variance of the logarithms; zero of fewer than two.
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

/// What endpoints of one version answered.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct VersionTally {
    /// Answers, failures among them.
    pub answers: u32,
    /// Answers that were failures of the endpoint's own.
    pub failures: u32,
    /// From the send to the answer, or to the first event of a stream.
    pub first: TimeTally,
    /// Between two events of a stream, in the mean of the stream.
    pub gap: TimeTally,
}

impl VersionTally {
    /// Counts one answer.
    pub fn record(&mut self, is_failure: bool, first: Option<Duration>, gap: Option<Duration>) {
        self.answers += 1;
        self.failures += u32::from(is_failure);
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
