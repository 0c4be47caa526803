use std::time::Duration;

use super::{AccountConfig, RouteConfig, ServiceConfig};

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long the head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// What holds until a configuration is known; wide enough to tell callers to come back.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1_024,
            body_bytes: 1024 * 1_024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration, in full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteConfig>,
    /// All services.
    pub services: Vec<ServiceConfig>,
    /// All client accounts; none if the site has no keys at all.
    pub accounts: Option<Vec<AccountConfig>>,
    /// What callers may send.
    pub limits: CallerLimits,
}
