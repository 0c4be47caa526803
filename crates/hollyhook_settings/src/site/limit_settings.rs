use std::time::Duration;

use crate::file::SectionReader;
use crate::value;

/// What a host bears.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitSettings {
    /// Bytes of a request's body.
    pub body: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Silence within a request.
    pub read_timeout: Duration,
    /// How long a caller may not take what is sent.
    pub write_timeout: Duration,
    /// Silence between requests.
    pub idle_timeout: Duration,
    /// How long a cursor can be used.
    pub cursor_age: Duration,
    /// Resumes that are opened at a time.
    pub resumes: usize,
    /// Retries as a share of first tries.
    pub retry_share: f64,
    /// How long an idempotency key is remembered.
    pub key_age: Duration,
    /// How long a host that stops waits for its requests.
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
            body: reader.default("body", default.body, value::bytes(1 << 10, 64 << 20)),
            connections: reader.default("connections", default.connections as u64, value::count(1, 100_000)) as usize,
            read_timeout: reader.default("read_timeout", default.read_timeout, value::span(SECOND / 10, HOUR)),
            write_timeout: reader.default("write_timeout", default.write_timeout, value::span(SECOND, HOUR)),
            idle_timeout: reader.default("idle_timeout", default.idle_timeout, value::span(SECOND, HOUR)),
            cursor_age: reader.default("cursor_age", default.cursor_age, value::span(SECOND, HOUR * 24)),
            resumes: reader.default("resumes", default.resumes as u64, value::count(1, 10_000)) as usize,
            retry_share: reader.default("retry_share", default.retry_share, value::share),
            key_age: reader.default("key_age", default.key_age, value::span(SECOND, HOUR * 24 * 7)),
            drain_timeout: reader.default("drain_timeout", default.drain_timeout, value::span(SECOND, HOUR * 2)),
        };
        reader.finish();
        limits
    }
}
