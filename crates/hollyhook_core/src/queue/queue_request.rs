use crate::{AccountName, TimePoint};

/// The bounds of a [`RequestQueue`](super::RequestQueue).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of waiting requests.
    pub requests: usize,
    /// Maximum number of bytes that the waiting requests hold.
    pub bytes: usize,
    /// Minimum fraction of the sent requests for each waiting priority.
    pub minimum_share: f64,
}

/// A request that waits for its turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueRequest {
    /// Number of the request in its queue, assigned by the queue.
    pub id: u64,
    /// Priority, 0 being the highest.
    pub priority: u8,
    /// The client account that sent the request.
    pub account: AccountName,
    /// Memory that the request holds, in bytes.
    pub bytes: usize,
    /// When the request arrived at this host.
    pub arrived: TimePoint,
    /// When the latency objective of the request ends.
    pub objective_at: TimePoint,
    /// When the time limit of the caller or the route ends.
    pub deadline: TimePoint,
}

impl QueueRequest {
    /// A request that arrived at `arrived`, without an objective or a deadline.
    pub fn new(account: AccountName, priority: u8, arrived: TimePoint) -> Self {
        let never = TimePoint::from_micros(u64::MAX);
        Self { id: 0, priority, account, bytes: 0, arrived, objective_at: never, deadline: never }
    }

    /// Sets when the latency objective ends.
    #[must_use]
    pub fn objective(mut self, at: TimePoint) -> Self {
        self.objective_at = at;
        self
    }

    /// Sets when the time limit ends.
    #[must_use]
    pub fn deadline(mut self, at: TimePoint) -> Self {
        self.deadline = at;
        self
    }

    /// Sets how many bytes the request holds.
    #[must_use]
    pub fn bytes(mut self, bytes: usize) -> Self {
        self.bytes = bytes;
        self
    }
}

/// Why a queue refuses a request. The request has not been sent since it joined the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueueRefusal {
    /// The request can't end in time.
    TooLate,
    /// The queue was full, and another request took its place.
    Displaced,
    /// The queue is full, and the request may displace none.
    Full,
    /// The host is shutting down, and the request can't end in its grace period.
    Stopping,
}

impl QueueRefusal {
    /// The name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLate => "too_late",
            Self::Displaced => "displaced",
            Self::Full => "full",
            Self::Stopping => "stopping",
        }
    }
}
