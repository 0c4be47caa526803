use std::time::Duration;

use crate::file::SectionReader;
use crate::value;

const MILLISECOND: Duration = Duration::from_millis(1);
const HOUR: Duration = Duration::from_hours(1);

/// Limits that the operator of the platform sets on a gateway's behaviour.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayBounds {
    /// Maximum time for which requests with an API key may still be accepted after the key was revoked.
    pub revoke: Duration,
    /// Maximum time for which an endpoint may still get new requests after it announced that it is leaving.
    pub drain: Duration,
    /// Maximum time for which requests may still be handled according to the previous configuration version after a new
    /// version was accepted.
    pub config: Duration,
    /// Maximum time that a host may take, once it can reach the store again, until it acts on all changes that the
    /// store acknowledged before.
    pub contact: Duration,
    /// Maximum time for which the process may keep running after SIGTERM.
    pub grace: Duration,
    /// Limit on the retries to each service, by all hosts together.
    pub retry: RetryBounds,
    /// Maximum fraction of a service's requests that a version on trial may get before the verdict on the version;
    /// `None` disables roll-outs.
    pub exposure: Option<f64>,
}

/// Limit on the retries to one service, by all hosts together.
///
/// Each send of a request after its first send counts as a retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed in the window per request sent in the window.
    pub ratio: f64,
    /// Length of the time window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed in the window in addition to those that the ratio allows.
    pub extra: u64,
}

impl Default for GatewayBounds {
    /// Returns cautious values, which apply to each bound that the settings file does not set.
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
