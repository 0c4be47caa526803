use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use hollyhook_core::TimePoint;

/// Tracks whether a caller's connection has requests in progress, and since when it has none.
#[derive(Debug)]
pub(crate) struct IdleWatch {
    active: AtomicU32,
    idle_since_us: AtomicU64,
}

impl IdleWatch {
    pub(crate) fn new(now: TimePoint) -> Self {
        Self { active: AtomicU32::new(0), idle_since_us: AtomicU64::new(now.as_micros()) }
    }

    pub(crate) fn begin(&self) {
        self.active.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end(&self, now: TimePoint) {
        self.active.fetch_sub(1, Ordering::Relaxed);
        self.idle_since_us.store(now.as_micros(), Ordering::Relaxed);
    }

    /// When the connection will have been idle for `limit`; `now + limit` while it has a request in progress.
    pub(crate) fn expires(&self, now: TimePoint, limit: Duration) -> TimePoint {
        if self.active.load(Ordering::Relaxed) > 0 {
            return now + limit;
        }
        TimePoint::from_micros(self.idle_since_us.load(Ordering::Relaxed)) + limit
    }
}
