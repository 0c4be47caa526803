use std::time::Duration;

use crate::file::SectionReader;
use crate::value;

const MILLISECOND: Duration = Duration::from_millis(1);
const HOUR: Duration = Duration::from_hours(1);

/// What the operator of the platform holds the daemon to.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayBounds {
    /// How long after a key was taken away requests with it may still run.
    pub revoke: Duration,
    /// How long after SIGTERM the process may live.
    pub grace: Duration,
    /// Sends beyond the first of each request, for each request, over all hosts.
    pub retry_ratio: f64,
    /// The window in which they are counted.
    pub retry_window: Duration,
    /// Sends beyond the first that are allowed besides, over all hosts.
    pub retry_extra: u64,
}

impl Default for GatewayBounds {
    /// Cautious figures, for a platform that states none.
    fn default() -> Self {
        Self {
            revoke: Duration::from_secs(5),
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_extra: 20,
        }
    }
}

impl GatewayBounds {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        Self {
            revoke: reader.default("revoke", default.revoke, value::span(MILLISECOND, HOUR)),
            grace: reader.default("grace", default.grace, value::span(MILLISECOND, HOUR)),
            retry_ratio: reader.default("retry_ratio", default.retry_ratio, value::ratio),
            retry_window: reader.default("retry_window", default.retry_window, value::span(MILLISECOND, HOUR)),
            retry_extra: reader.default("retry_extra", default.retry_extra, value::count(0, 1_000_000)),
        }
    }
}
