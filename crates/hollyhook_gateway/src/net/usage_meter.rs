use std::sync::atomic::{AtomicU64, Ordering};

use hollyhook_core::UsageReading;

/// The bytes that this host exchanged with callers and endpoints.
#[derive(Debug, Default)]
pub(crate) struct UsageMeter {
    received: AtomicU64,
    sent: AtomicU64,
}

impl UsageMeter {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "usage-meter";

    /// What was used since the start.
    pub(crate) fn read(&self) -> UsageReading {
        UsageReading { received: self.received.load(Ordering::Relaxed), sent: self.sent.load(Ordering::Relaxed) }
    }

    pub(super) fn count_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
