use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The requests that a host carries and the memory that their bodies take.
#[derive(Debug)]
pub(crate) struct RequestLoad {
    requests: AtomicUsize,
    body_bytes: AtomicUsize,
    body_limit: usize,
}

impl RequestLoad {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "requests";

    /// No load yet, for a process that may take `memory_bytes` in all.
    pub(crate) fn new(memory_bytes: usize) -> Self {
        // Bodies may take a quarter of the memory; the rest is for connections and what is being sent.
        Self { requests: AtomicUsize::new(0), body_bytes: AtomicUsize::new(0), body_limit: memory_bytes / 4 }
    }

    /// Requests under way.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Counts a request as under way until the guard goes.
    pub(crate) fn begin(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::Relaxed);
        RequestGuard { load: Arc::clone(self) }
    }

    /// A claim on memory for a body that is about to be read.
    pub(crate) fn reserve_body(self: &Arc<Self>) -> BodyReservation {
        BodyReservation { load: Arc::clone(self), bytes: 0 }
    }
}

/// A request under way.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    load: Arc<RequestLoad>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.load.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory that a body takes.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    load: Arc<RequestLoad>,
    bytes: usize,
}

impl BodyReservation {
    /// Claims more; false if bodies take too much already.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let taken = self.load.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        taken + bytes <= self.load.body_limit
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.load.body_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
