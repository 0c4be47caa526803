use std::time::Duration;

use crate::file::SectionReader;
use crate::value;

const MILLISECOND: Duration = Duration::from_millis(1);
const HOUR: Duration = Duration::from_hours(1);

/// Bounds on a gateway's behaviour, set by the operator of the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayBounds {
    /// Longest time after the revocation of a key for which requests with this key may still run.
    pub revoke: Duration,
    /// Longest time after an endpoint announced that it is leaving for which it may still get new requests.
    pub drain: Duration,
    /// Longest time after a configuration version was accepted for which requests may still be handled by the previous
    /// version.
    pub config: Duration,
    /// Longest time from when a host can reach the store again until it acts on all changes that the store had
    /// acknowledged before.
    pub contact: Duration,
    /// Longest time for which the process may run on after SIGTERM.
    pub grace: Duration,
    /// Limit on the retries of all hosts together.
    pub retry: RetryBounds,
    /// Largest fraction of a service's requests that a version may get before it has its verdict; `None` if the
    /// platform orders no roll-outs.
    pub exposure: Option<f64>,
}

/// Limit on the retries to one service by all hosts together: all sends of a request beyond its first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// The time window in which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed in the window in addition to the ratio.
    pub extra: u64,
}

impl Default for GatewayBounds {
    /// Returns cautious bounds, for a platform that sets none.
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
            revoke: reader.with_default("revoke", default.revoke, value::duration(MILLISECOND, HOUR)),
            drain: reader.with_default("drain", default.drain, value::duration(MILLISECOND, HOUR)),
            config: reader.with_default("config", default.config, value::duration(MILLISECOND, HOUR)),
            contact: reader.with_default("contact", default.contact, value::duration(MILLISECOND, HOUR)),
            grace: reader.with_default("grace", default.grace, value::duration(MILLISECOND, HOUR)),
            retry: RetryBounds {
                ratio: reader.with_default("retry_ratio", default.retry.ratio, value::ratio),
                window: reader.with_default("retry_window", default.retry.window, value::duration(MILLISECOND, HOUR)),
                extra: reader.with_default("retry_extra", default.retry.extra, value::count(0, 1_000_000)),
            },
            exposure: reader.optional("exposure", value::fraction),
        }
    }
}
