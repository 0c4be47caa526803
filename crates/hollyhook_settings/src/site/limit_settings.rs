use std::time::Duration;

use crate::file::SectionReader;
use crate::value;

/// Limits and timeouts of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitSettings {
    /// Maximum size of a request's body, in bytes.
    pub body: usize,
    /// Maximum number of open connections of callers.
    pub connections: usize,
    /// Timeout for a request's head after its first byte, and for each further read of its body.
    pub read_timeout: Duration,
    /// Timeout for writes to a caller that does not read its response.
    pub write_timeout: Duration,
    /// How long a connection may stay idle between requests.
    pub idle_timeout: Duration,
    /// How long a cursor stays valid.
    pub cursor_age: Duration,
    /// Maximum number of concurrent resumes.
    pub resumes: usize,
    /// Allowed retries as a fraction of first attempts.
    pub retry_share: f64,
    /// How long an idempotency key is remembered.
    pub key_age: Duration,
    /// How long a stopping host waits for its running requests.
    pub drain_timeout: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body: 4 << 20,
            connections: 20_000,
            read_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_mins(1),
            cursor_age: Duration::from_mins(10),
            resumes: 32,
            retry_share: 0.2,
            key_age: Duration::from_hours(24),
            drain_timeout: Duration::from_mins(15),
        }
    }
}

impl LimitSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Self {
        const SECOND: Duration = Duration::from_secs(1);
        const HOUR: Duration = Duration::from_hours(1);
        let default = Self::default();
        let limits = Self {
            body: reader.with_default("body", default.body, value::bytes(1 << 10, 64 << 20)),
            connections: reader.with_default("connections", default.connections as u64, value::count(1, 100_000))
                as usize,
            read_timeout: reader.with_default("read_timeout", default.read_timeout, value::duration(SECOND / 10, HOUR)),
            write_timeout: reader.with_default("write_timeout", default.write_timeout, value::duration(SECOND, HOUR)),
            idle_timeout: reader.with_default("idle_timeout", default.idle_timeout, value::duration(SECOND, HOUR)),
            cursor_age: reader.with_default("cursor_age", default.cursor_age, value::duration(SECOND, HOUR * 24)),
            resumes: reader.with_default("resumes", default.resumes as u64, value::count(1, 10_000)) as usize,
            retry_share: reader.with_default("retry_share", default.retry_share, value::percentage),
            key_age: reader.with_default("key_age", default.key_age, value::duration(SECOND, HOUR * 24 * 7)),
            drain_timeout: reader.with_default(
                "drain_timeout",
                default.drain_timeout,
                value::duration(SECOND, HOUR * 2),
            ),
        };
        reader.finish();
        limits
    }
}
