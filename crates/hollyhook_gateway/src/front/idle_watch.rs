use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use hollyhook_core::TimePoint;

/// Tracks whether a caller's connection has requests in progress, and since when it has none; and whether the end of
/// the connection is what ends a response on it.
#[derive(Debug)]
pub(crate) struct IdleWatch {
    active: AtomicU32,
    idle_since_us: AtomicU64,
    is_ended_by_close: AtomicBool,
}

impl IdleWatch {
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            active: AtomicU32::new(0),
            idle_since_us: AtomicU64::new(now.as_micros()),
            is_ended_by_close: AtomicBool::new(false),
        }
    }

    pub(crate) fn begin(&self) {
        self.active.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end(&self, now: TimePoint) {
        self.active.fetch_sub(1, Ordering::Relaxed);
        self.idle_since_us.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Records that the caller does not understand chunks, so that a response without a length ends with the connection.
    pub(crate) fn mark_ended_by_close(&self) {
        self.is_ended_by_close.store(true, Ordering::Relaxed);
    }

    /// Whether a response without a length ends with the connection.
    pub(crate) fn is_ended_by_close(&self) -> bool {
        self.is_ended_by_close.load(Ordering::Relaxed)
    }

    /// When the connection will have been idle for `limit`; `now + limit` while it has a request in progress.
    pub(crate) fn expires(&self, now: TimePoint, limit: Duration) -> TimePoint {
        if self.active.load(Ordering::Relaxed) > 0 {
            return now + limit;
        }
        TimePoint::from_micros(self.idle_since_us.load(Ordering::Relaxed)) + limit
    }
}
