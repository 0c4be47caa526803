use std::time::Duration;

use hollyhook_core::{RequestKind, StopPhase, StopPlan};

const STREAM: RequestKind = RequestKind::Stream { is_resumable: true };

#[test]
fn phase_order() {
    let plan = StopPlan::new(Duration::from_secs(8));
    let phases: Vec<StopPhase> = (0..90).map(|step| plan.phase(Duration::from_millis(step * 100))).collect();
    assert!(phases.is_sorted());
    assert_eq!(phases.first(), Some(&StopPhase::Leaving));
    assert_eq!(phases.last(), Some(&StopPhase::Over));
}

/// A call that is admitted after the accept period ends within the usable grace period, at its caller's timeout at the
/// latest.
#[test]
fn is_admitted_call_ends_in_time() {
    for grace in [1, 2, 4, 8, 60] {
        let plan = StopPlan::new(Duration::from_secs(grace));
        for elapsed in (0..grace * 1_000).step_by(10).map(Duration::from_millis) {
            for timeout in [100, 1_000, 8_000].map(Duration::from_millis) {
                let is_admitted_now = plan.is_admitted(RequestKind::NonIdempotent, timeout, elapsed);
                let is_expected = elapsed < plan.accept_period() || elapsed + timeout <= plan.usable_grace();
                assert_eq!(is_admitted_now, is_expected, "{grace} s, {elapsed:?}, {timeout:?}");
            }
        }
        assert!(plan.accept_period() <= plan.usable_grace());
        assert!(plan.usable_grace() < Duration::from_secs(grace));
    }
}

/// An admitted stream of the usual six seconds ends within the usable grace period.
#[test]
fn is_admitted_stream_ends_in_time() {
    let plan = StopPlan::new(Duration::from_secs(8));
    let timeout = Duration::from_secs(25);
    let last =
        (0..8_000).map(Duration::from_millis).filter(|elapsed| plan.is_admitted(STREAM, timeout, *elapsed)).max();
    assert!(last.unwrap() + Duration::from_secs(6) < plan.usable_grace());
}
