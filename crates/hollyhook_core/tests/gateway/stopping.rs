use std::time::Duration;

use hollyhook_core::{RequestKind, StopPhase, StopPlan};

const STREAM: RequestKind = RequestKind::Stream { is_resumable: true };

#[test]
fn phases_in_order() {
    let plan = StopPlan::new(Duration::from_secs(8));
    let phases: Vec<StopPhase> = (0..90).map(|step| plan.phase(Duration::from_millis(step * 100))).collect();
    assert!(phases.is_sorted());
    assert_eq!(phases.first(), Some(&StopPhase::Leaving));
    assert_eq!(phases.last(), Some(&StopPhase::Over));
}

/// Whatever call is begun when no caller is expected any more ends within the grace time: its caller gives up before that
/// at the latest.
#[test]
fn calls_begun_end_in_time() {
    for grace in [1, 2, 4, 8, 60] {
        let plan = StopPlan::new(Duration::from_secs(grace));
        for passed in (0..grace * 1_000).step_by(10).map(Duration::from_millis) {
            for patience in [100, 1_000, 8_000].map(Duration::from_millis) {
                let is_taken = plan.is_admitted(RequestKind::NonIdempotent, patience, passed);
                let is_right = passed < plan.accept_period() || passed + patience <= plan.usable_grace();
                assert_eq!(is_taken, is_right, "{grace} s, {passed:?}, {patience:?}");
            }
        }
        assert!(plan.accept_period() <= plan.usable_grace());
        assert!(plan.usable_grace() < Duration::from_secs(grace));
    }
}

/// A stream of the usual six seconds that is begun still ends.
#[test]
fn streams_begun_end_in_time() {
    let plan = StopPlan::new(Duration::from_secs(8));
    let patience = Duration::from_secs(25);
    let last = (0..8_000).map(Duration::from_millis).filter(|passed| plan.is_admitted(STREAM, patience, *passed)).max();
    assert!(last.unwrap() + Duration::from_secs(6) < plan.usable_grace());
}
