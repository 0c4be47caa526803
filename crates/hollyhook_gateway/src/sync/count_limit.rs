use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limits how many guards exist at the same time.
#[derive(Debug)]
pub(crate) struct CountLimit {
    count: Arc<AtomicUsize>,
    limit: usize,
}

/// Counts against a [`CountLimit`] while it exists.
#[derive(Debug)]
pub(crate) struct CountGuard {
    count: Arc<AtomicUsize>,
}

impl CountLimit {
    pub(crate) fn new(limit: usize) -> Self {
        Self { count: Arc::default(), limit }
    }

    /// Returns a guard unless there are as many as allowed.
    pub(crate) fn try_acquire(&self) -> Option<CountGuard> {
        let guard = CountGuard { count: Arc::clone(&self.count) };
        let before = self.count.fetch_add(1, Ordering::Relaxed);
        (before < self.limit).then_some(guard)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
