use std::collections::VecDeque;
use std::time::Duration;

use crate::TimePoint;

/// The parts that a window is kept in; a part is forgotten as a whole.
const PARTS: u32 = 20;

/// Limits the sends beyond the first of each request to one service, over a sliding window of time.
///
/// The limit is that of the service over all hosts: a share of the requests for it, and some more. Each host spends
/// its share by its own requests, so that the sum holds whatever the number of hosts; the few it may send without any
/// request of its own are a constant that all hosts together stay under.
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
    part: Duration,
    share: f64,
    reserve: u32,
    parts: VecDeque<WindowPart>,
}

#[derive(Debug)]
struct WindowPart {
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryWindow {
    /// A limit of `share` retries a request and `reserve` more, in any `window`.
    pub fn new(window: Duration, share: f64, reserve: u32) -> Self {
        Self { part: window / PARTS, share, reserve, parts: VecDeque::new() }
    }

    /// Counts a request's first send.
    pub fn earn(&mut self, now: TimePoint) {
        self.current(now).requests += 1;
    }

    /// Whether one more send may be made; if so, it is counted.
    pub fn try_spend(&mut self, now: TimePoint) -> bool {
        self.current(now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let retries: u32 = self.parts.iter().map(|part| part.retries).sum();
        let most = f64::from(requests) * self.share + f64::from(self.reserve);
        if f64::from(retries + 1) > most {
            return false;
        }
        self.current(now).retries += 1;
        true
    }

    fn current(&mut self, now: TimePoint) -> &mut WindowPart {
        let number = now.as_micros() / (self.part.as_micros() as u64).max(1);
        // One part more than the window, since the oldest is only partly within it.
        while self.parts.front().is_some_and(|part| part.number + u64::from(PARTS) < number) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(WindowPart { number, requests: 0, retries: 0 });
        }
        self.parts.back_mut().expect("a part was just pushed")
    }
}
