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
    /// How long after an endpoint said that it leaves it may still get new work.
    pub drain: Duration,
    /// How long after a version of the configuration was accepted requests may still be handled by the one before.
    pub config: Duration,
    /// How long after its way to the store is whole again a host has to act on all that the store acknowledged before.
    pub contact: Duration,
    /// How long after SIGTERM the process may live.
    pub grace: Duration,
    /// What all hosts together may send again.
    pub retry: RetryBounds,
    /// The share of a service's requests that a version may get before it is judged; none where no roll-outs are ordered.
    pub exposure: Option<f64>,
}

/// What all hosts together may send beyond the first send of each request to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Such sends for each request.
    pub ratio: f64,
    /// The window in which they are counted.
    pub window: Duration,
    /// Such sends that are allowed besides.
    pub extra: u64,
}

impl Default for GatewayBounds {
    /// Cautious figures, for a platform that states none.
    fn default() -> Self {
        Self {
            revoke: Duration::from_secs(5),
            drain: Duration::from_secs(2),
            config: Duration::from_secs(2),
            contact: Duration::from_secs(3),
            grace: Duration::from_secs(8),
            retry: RetryBounds { ratio: 0.2, window: Duration::from_secs(10), extra: 20 },
            exposure: None,
        }
    }
}

impl GatewayBounds {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        Self {
            revoke: reader.default("revoke", default.revoke, value::span(MILLISECOND, HOUR)),
            drain: reader.default("drain", default.drain, value::span(MILLISECOND, HOUR)),
            config: reader.default("config", default.config, value::span(MILLISECOND, HOUR)),
            contact: reader.default("contact", default.contact, value::span(MILLISECOND, HOUR)),
            grace: reader.default("grace", default.grace, value::span(MILLISECOND, HOUR)),
            retry: RetryBounds {
                ratio: reader.default("retry_ratio", default.retry.ratio, value::ratio),
                window: reader.default("retry_window", default.retry.window, value::span(MILLISECOND, HOUR)),
                extra: reader.default("retry_extra", default.retry.extra, value::count(0, 1_000_000)),
            },
            exposure: reader.optional("exposure", value::fraction),
        }
    }
}
