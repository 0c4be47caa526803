use std::time::Duration;

use super::{AccountConfig, RouteConfig, ServiceConfig};

/// Limits on the size of requests and on the time that callers may take to send them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum time for a request head to arrive.
    pub head_timeout: Duration,
    /// The maximum time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits in force until a configuration is known, large enough to tell callers to retry later.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1_024,
            body_bytes: 1024 * 1_024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One complete version of the site configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// The version number, which grows with each change, not necessarily by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteConfig>,
    /// All services.
    pub services: Vec<ServiceConfig>,
    /// All client accounts; `None` if the site uses no API keys.
    pub accounts: Option<Vec<AccountConfig>>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}
