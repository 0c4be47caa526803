use std::future::poll_fn;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hollyhook_core::UsageReading;

/// What this host uses for its callers: bytes on the link, and the time that tasks hold a thread.
#[derive(Debug, Default)]
pub(crate) struct UsageMeter {
    received: AtomicU64,
    sent: AtomicU64,
    busy_nanos: AtomicU64,
}

impl UsageMeter {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "usage-meter";

    /// What was used since the start.
    pub(crate) fn read(&self) -> UsageReading {
        UsageReading {
            received: self.received.load(Ordering::Relaxed),
            sent: self.sent.load(Ordering::Relaxed),
            busy: Duration::from_nanos(self.busy_nanos.load(Ordering::Relaxed)),
        }
    }

    pub(super) fn count_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Runs a task and counts the time in which it holds its thread, also while the thread waits for the processor.
    pub(crate) async fn run<F: Future>(&self, task: F) -> F::Output {
        let mut task = pin!(task);
        poll_fn(|context| {
            let begun = Instant::now();
            let progress = task.as_mut().poll(context);
            self.busy_nanos.fetch_add(begun.elapsed().as_nanos() as u64, Ordering::Relaxed);
            progress
        })
        .await
    }
}
