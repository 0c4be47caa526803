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

/// Whatever is begun can end: nothing is taken in the last part of the grace time.
#[test]
fn nothing_begun_at_the_end() {
    for grace in [1, 2, 4, 8, 60] {
        let plan = StopPlan::new(Duration::from_secs(grace));
        for millis in 0..grace * 1_000 {
            let phase = plan.phase(Duration::from_millis(millis));
            let is_late = Duration::from_millis(millis) >= plan.usable_grace();
            assert!(!is_late || !phase.is_taking(RequestKind::NonIdempotent), "{grace} s, {millis} ms");
            assert!(!phase.is_taking(STREAM) || phase.is_taking(RequestKind::Idempotent));
        }
        assert!(plan.caller_intake() <= plan.usable_grace());
        assert!(plan.usable_grace() < Duration::from_secs(grace));
    }
}
