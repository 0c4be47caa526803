use std::collections::VecDeque;
use std::time::Duration;

use crate::TimePoint;

/// Number of buckets that a window is divided into; a bucket expires as a whole.
const BUCKETS: u32 = 20;

/// Limits the retries to one service over a sliding window of time: all sends of a request beyond the first.
///
/// The limit holds for the service over all hosts: a share of its requests plus a fixed allowance. Each host applies
/// the share to its own requests, so that the sum holds for any number of hosts; `reserve` is the host's part of the
/// fixed allowance, which it may spend without requests of its own.
///
/// ```
/// use hollyhook_core::{RetryWindow, TimePoint};
/// use std::time::Duration;
///
/// let mut window = RetryWindow::new(Duration::from_secs(10), 0.5, 1);
/// let now = TimePoint::from_millis(1);
/// assert!(window.try_spend(now));
/// assert!(!window.try_spend(now));
/// window.earn(now);
/// window.earn(now);
/// assert!(window.try_spend(now));
/// ```
#[derive(Debug)]
pub struct RetryWindow {
    bucket_span: Duration,
    share: f64,
    reserve: u32,
    buckets: VecDeque<RetryBucket>,
}

#[derive(Debug)]
struct RetryBucket {
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryWindow {
    /// Creates a limit of `share` retries per request, plus `reserve` retries, in any `window`.
    pub fn new(window: Duration, share: f64, reserve: u32) -> Self {
        Self { bucket_span: window / BUCKETS, share, reserve, buckets: VecDeque::new() }
    }

    /// Counts the first send of a request.
    pub fn earn(&mut self, now: TimePoint) {
        self.current(now).requests += 1;
    }

    /// Whether a request may be sent once more; nothing is counted.
    pub fn may_spend(&mut self, now: TimePoint) -> bool {
        self.current(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let limit = f64::from(requests) * self.share + f64::from(self.reserve);
        f64::from(retries + 1) <= limit
    }

    /// Whether a request may be sent once more; if so, the retry is counted.
    pub fn try_spend(&mut self, now: TimePoint) -> bool {
        let may_spend = self.may_spend(now);
        if may_spend {
            self.current(now).retries += 1;
        }
        may_spend
    }

    fn current(&mut self, now: TimePoint) -> &mut RetryBucket {
        let number = now.as_micros() / (self.bucket_span.as_micros() as u64).max(1);
        // Keep one bucket more than the window has, since the oldest is only partly within the window.
        while self.buckets.front().is_some_and(|bucket| bucket.number + u64::from(BUCKETS) < number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(RetryBucket { number, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("the current bucket was just pushed")
    }
}
