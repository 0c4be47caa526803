use std::time::Duration;

use crate::Name;

/// Whether the requests of a route are plain calls or event streams, and whether they may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A plain call that may run more than once.
    Idempotent,
    /// A plain call that may run at most once.
    NonIdempotent,
    /// An event stream; it may continue at another endpoint only if it is resumable.
    Stream {
        /// Whether a new run may continue after the last event that the caller has received.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request that may already have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service's name.
    pub service: Name,
    /// The weight of this share relative to the other shares of the route.
    pub weight: u32,
}

/// One route: which requests it matches, which services they go to, and their time limits and priority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteConfig {
    /// The route's name, for logs and metrics.
    pub name: Name,
    /// The host name that requests are addressed to, in lower case and without a port.
    pub host: Name,
    /// The prefix of the request path; starts and ends with a slash.
    pub prefix: Name,
    /// Plain call or event stream, and whether a request may run more than once.
    pub kind: RequestKind,
    /// The longest time that a request may wait for its whole answer.
    pub timeout: Duration,
    /// The target time to the whole answer of a plain call, or to the first event of a stream.
    pub latency_objective: Duration,
    /// The longest gap between two events with which a stream still meets its target.
    pub gap_objective: Option<Duration>,
    /// The maximum number of endpoints at which one request may run.
    pub max_attempts: u32,
    /// The priority of the route's requests, 0 being the highest.
    pub priority: u8,
    /// Whether the route accepts requests without an API key.
    pub is_public: bool,
    /// The services that the route's requests are divided among; at least one share.
    pub shares: Vec<ServiceShare>,
}

impl RouteConfig {
    /// Whether a request that fails at its first endpoint may be retried at another one.
    pub fn is_retryable(&self) -> bool {
        self.kind.is_repeatable() && self.max_attempts > 1
    }

    /// The service for a request, given a random number from 0 up to, but not including, the sum of the weights.
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

    /// The sum of the weights of all shares.
    pub fn total_weight(&self) -> u32 {
        self.shares.iter().map(|share| share.weight).sum()
    }
}
