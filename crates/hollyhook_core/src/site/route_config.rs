use std::time::Duration;

use crate::Name;

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A plain call that may run more than once.
    Idempotent,
    /// A plain call that may run at most once.
    NonIdempotent,
    /// An event stream; it may go on at another endpoint only if it is resumable.
    Stream {
        /// Whether a new run may go on after the last event that the caller has.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service's name.
    pub service: Name,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// One route: which requests it takes, where they go and what holds for them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteConfig {
    /// Its name, for logs and metrics.
    pub name: Name,
    /// The host that requests name, in lower case and without a port.
    pub host: Name,
    /// The beginning of the path; starts and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RequestKind,
    /// How long a request may be kept waiting for its whole answer.
    pub timeout: Duration,
    /// Time to the whole answer, or to the first event, that callers aim at.
    pub latency_objective: Duration,
    /// The longest pause between two events of a stream that is still on time.
    pub gap_objective: Option<Duration>,
    /// Endpoints at which one request may run.
    pub max_attempts: u32,
    /// The rank of its requests, 0 first.
    pub priority: u8,
    /// Whether it takes requests without an API key.
    pub is_public: bool,
    /// Where its requests go; at least one share.
    pub shares: Vec<ServiceShare>,
}

impl RouteConfig {
    /// Whether a request that fails at its first endpoint may be tried at another one.
    pub fn is_retryable(&self) -> bool {
        self.kind.is_repeatable() && self.max_attempts > 1
    }

    /// The service for a request, given a number drawn from 0 up to the sum of the weights.
    ///
    /// ```
    /// # use hollyhook_core::{RequestKind, RouteConfig, ServiceShare};
    /// # use std::time::Duration;
    /// let share = |service: &str, weight| ServiceShare { service: service.into(), weight };
    /// let route = RouteConfig {
    ///     name: "lookup".into(),
    ///     host: "desk.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RequestKind::Idempotent,
    ///     timeout: Duration::from_secs(1),
    ///     latency_objective: Duration::from_millis(150),
    ///     gap_objective: None,
    ///     max_attempts: 2,
    ///     priority: 1,
    ///     is_public: false,
    ///     shares: vec![share("old", 9), share("new", 1)],
    /// };
    /// assert_eq!(route.total_weight(), 10);
    /// assert_eq!(route.service(8).as_deref(), Some("old"));
    /// assert_eq!(route.service(9).as_deref(), Some("new"));
    /// ```
    pub fn service(&self, draw: u32) -> Option<Name> {
        let mut left = draw;
        for share in &self.shares {
            if left < share.weight {
                return Some(Name::clone(&share.service));
            }
            left -= share.weight;
        }
        self.shares.last().map(|share| Name::clone(&share.service))
    }

    /// The sum of the weights.
    pub fn total_weight(&self) -> u32 {
        self.shares.iter().map(|share| share.weight).sum()
    }
}
