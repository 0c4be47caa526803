use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// The number of requests that a host is processing, the memory reserved for their bodies, and the number of streams that
/// wait for their callers.
#[derive(Debug)]
pub(crate) struct RequestLoad {
    requests: AtomicUsize,
    is_closed: AtomicBool,
    body_bytes: AtomicUsize,
    body_limit: usize,
    waiting_streams: AtomicUsize,
}

impl RequestLoad {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "requests";

    /// An empty load, for a process that may use `memory_bytes` of memory in total.
    pub(crate) fn new(memory_bytes: usize) -> Self {
        // Bodies may use a quarter of the memory; the rest is for connections and data that is being sent.
        let body_limit = memory_bytes / 4;
        Self {
            requests: 0.into(),
            is_closed: false.into(),
            body_bytes: 0.into(),
            body_limit,
            waiting_streams: 0.into(),
        }
    }

    /// The number of requests that are being processed, until their responses have been written.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// The number of streams whose last events the caller's connection has not yet accepted.
    pub(crate) fn waiting_streams(&self) -> usize {
        self.waiting_streams.load(Ordering::Relaxed)
    }

    /// Counts a stream as waiting for its caller until the guard is dropped.
    pub(crate) fn wait_for_caller(self: &Arc<Self>) -> StreamWaitGuard {
        self.waiting_streams.fetch_add(1, Ordering::Relaxed);
        StreamWaitGuard { load: Arc::clone(self) }
    }

    /// Counts a request as being processed until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::SeqCst);
        RequestGuard { load: Arc::clone(self) }
    }

    /// Ends the admission of requests if none is being processed; returns whether it has ended.
    pub(crate) fn try_close(&self) -> bool {
        self.is_closed.store(true, Ordering::SeqCst);
        let is_idle = self.requests.load(Ordering::SeqCst) == 0;
        if !is_idle {
            self.is_closed.store(false, Ordering::SeqCst);
        }
        is_idle
    }

    /// Whether requests are no longer admitted since the process is about to end.
    ///
    /// A request must be counted before it asks: either it then sees the end of the admission, or it prevents the end.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    /// An empty reservation of memory, for a body that is about to be read.
    pub(crate) fn reserve_body(self: &Arc<Self>) -> BodyReservation {
        BodyReservation { load: Arc::clone(self), bytes: 0 }
    }
}

/// Counts a request as being processed while it exists.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    load: Arc<RequestLoad>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.load.requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a stream as waiting for its caller while it exists.
#[derive(Debug)]
pub(crate) struct StreamWaitGuard {
    load: Arc<RequestLoad>,
}

impl Drop for StreamWaitGuard {
    fn drop(&mut self) {
        self.load.waiting_streams.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory that is reserved for a request body until the reservation is dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    load: Arc<RequestLoad>,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves more memory, and returns whether all bodies together are still within their limit.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self.load.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        reserved + bytes <= self.load.body_limit
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.load.body_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
