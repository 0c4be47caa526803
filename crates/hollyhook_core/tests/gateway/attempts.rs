use std::time::Duration;

use hollyhook_core::{AttemptFailure, AttemptLedger, ErrorKind, RequestKind, RunState, StopReason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const FAILURES: [AttemptFailure; 8] = [
    AttemptFailure::NotConnected,
    AttemptFailure::Rejected,
    AttemptFailure::WrongIncarnation,
    AttemptFailure::Broken,
    AttemptFailure::Silent,
    AttemptFailure::Expired,
    AttemptFailure::Garbled,
    AttemptFailure::Failed,
];
const KINDS: [RequestKind; 4] = [
    RequestKind::Idempotent,
    RequestKind::NonIdempotent,
    RequestKind::Stream { is_resumable: true },
    RequestKind::Stream { is_resumable: false },
];
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn stop_reason_at_deadline() {
    let ledger = AttemptLedger::new(RequestKind::Idempotent, 2, 3);
    assert_eq!(ledger.stop_reason(Duration::ZERO), Some(StopReason::DeadlineExceeded));
    assert_eq!(ledger.stop_reason(SECOND), None);
}

#[test]
fn final_error_without_attempt() {
    let ledger = AttemptLedger::new(RequestKind::Idempotent, 2, 3);
    let error = ledger.final_error(StopReason::NoEndpoint, 0, SECOND);
    assert_eq!((error.kind(), error.get_retry_after()), (ErrorKind::NoEndpoint, Some(SECOND)));
}

/// Attempts that reach another incarnation don't use up the limit on attempts that did not run: after an outage of the
/// platform, most endpoints that a host knows may have been restarted.
#[test]
fn record_failure_of_wrong_incarnation() {
    let mut ledger = AttemptLedger::new(RequestKind::NonIdempotent, 1, 3);
    for _ in 0..20 {
        ledger.record_failure(AttemptFailure::WrongIncarnation);
    }
    assert_eq!((ledger.stop_reason(SECOND), ledger.attempts()), (None, 20));
    assert_eq!(ledger.final_error(StopReason::NoEndpoint, 0, SECOND).get_run(), RunState::NotRun);
}

/// Only attempts that may have reached an endpoint are charged to the retry budget.
#[test]
fn has_arrived_unless_not_connected() {
    let uncharged: Vec<AttemptFailure> = FAILURES.into_iter().filter(|failure| !failure.has_arrived()).collect();
    assert_eq!(uncharged, [AttemptFailure::NotConnected]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever fails: a request that must not be repeated runs at most once, no request runs more often than its route
    /// allows, and "not run" is stated exactly when no attempt can have run.
    #[test]
    fn final_error_matches_runs(kind in 0_usize..4, max_runs in 1_u32..5, failures in proptest::collection::vec(0_usize..8, 0..20)) {
        let kind = KINDS[kind];
        let mut ledger = AttemptLedger::new(kind, max_runs, 3);
        let mut may_have_run = 0;
        for failure in failures.into_iter().map(|failure| FAILURES[failure]) {
            if ledger.stop_reason(SECOND).is_some() {
                break;
            }
            ledger.record_failure(failure);
            may_have_run += u32::from(!failure.is_not_run());
        }
        let most = if kind.is_repeatable() { max_runs } else { 1 };
        prop_assert!(may_have_run <= most);
        for delivered in [0, 5] {
            let error = ledger.final_error(StopReason::NoEndpoint, delivered, SECOND);
            prop_assert_eq!(error.get_run() == RunState::NotRun, may_have_run == 0);
            prop_assert_eq!(error.get_retry_after().is_some(), may_have_run == 0);
            let promises = [408, 421, 429, 503].contains(&error.answer().status);
            prop_assert_eq!(promises, may_have_run == 0);
        }
    }
}
