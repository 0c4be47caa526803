use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since the start of the driver.
///
/// Time points of different hosts are not comparable; hosts exchange Unix times or ages instead.
///
/// ```
/// use hollyhook_core::TimePoint;
/// use std::time::Duration;
///
/// let start = TimePoint::from_millis(5);
/// assert_eq!((start + Duration::from_millis(2)) - start, Duration::from_millis(2));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct TimePoint(u64);

impl TimePoint {
    /// The driver's start.
    pub const ZERO: Self = Self(0);

    /// The point `micros` microseconds after the driver's start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The point `millis` milliseconds after the driver's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the driver's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for TimePoint {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl Sub<Duration> for TimePoint {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs.as_micros() as u64))
    }
}

impl Sub for TimePoint {
    type Output = Duration;

    fn sub(self, rhs: Self) -> Duration {
        self.since(rhs)
    }
}
