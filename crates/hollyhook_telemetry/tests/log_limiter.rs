//! The rate limit of log lines under load.

use std::time::{Duration, Instant};

use hollyhook_telemetry::LogLimiter;

#[test]
fn rate_limited_by_call_site() {
    let limiter = LogLimiter::default();
    let start = Instant::now();
    let admitted = (0..1_000).filter(|_| limiter.admits("a.rs", 1, start)).count();
    assert_eq!(admitted, 200);
    assert!(limiter.admits("a.rs", 2, start), "each call site has a limit of its own");
    assert!(limiter.admits("a.rs", 1, start + Duration::from_secs(1)), "the limit applies anew to the next second");
    assert_eq!(limiter.take_suppressed(), [("a.rs:1".into(), 800)]);
    assert!(limiter.take_suppressed().is_empty(), "suppressed lines are reported only once");
}
