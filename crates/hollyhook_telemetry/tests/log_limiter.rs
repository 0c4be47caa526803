//! The volume of log lines under load.

use std::time::{Duration, Instant};

use hollyhook_telemetry::LogLimiter;

#[test]
fn volume_bounded_by_kind() {
    let volume = LogLimiter::default();
    let start = Instant::now();
    let admitted = (0..1_000).filter(|_| volume.admits("a.rs", 1, start)).count();
    assert_eq!(admitted, 200);
    assert!(volume.admits("a.rs", 2, start), "another kind has a bound of its own");
    assert!(volume.admits("a.rs", 1, start + Duration::from_secs(1)), "the next second begins anew");
    assert_eq!(volume.take_suppressed(), [("a.rs:1".into(), 800)]);
    assert!(volume.take_suppressed().is_empty(), "each is told once");
}
