//! Quarantine: parts of prompts that crash endpoints are distinguished from parts that merely were there.

use std::time::Duration;

use hollyhook_core::{CrashLedger, CrashRecords, RequestDigest, SuspectRequest};

const NOW: u64 = 1_000_000;
/// After this time, parts that are still suspect are refused.
const SETTLED: u64 = NOW + 1_000;
const DEADLY: u64 = 0xdead;
const SHARED: u64 = 0xa1;

/// A request of its own with these shared parts.
fn request(number: u32, parts: &[u64]) -> SuspectRequest {
    SuspectRequest::new(RequestDigest::new(&format!("/{number}"), None, b""), parts.iter().copied())
}

/// Lets requests of their own with these parts crash one endpoint each.
fn crash(ledger: &mut CrashLedger, numbers: std::ops::Range<u32>, parts: &[u64]) {
    for number in numbers {
        ledger.record_crash(NOW, request(number, parts), format!("e{number}").into());
    }
}

fn is_refused(ledger: &CrashLedger, now: u64, parts: &[u64]) -> bool {
    ledger.refusal(now, request(999, parts)).is_some()
}

#[test]
fn part_refused_once_settled() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 0..3, &[DEADLY]);
    assert!(!is_refused(&ledger, SETTLED, &[DEADLY]));
    crash(&mut ledger, 3..4, &[DEADLY]);
    assert!(!is_refused(&ledger, SETTLED - 1, &[DEADLY]));
    assert_eq!(ledger.verdict_due(NOW, &request(9, &[DEADLY]).parts), Some(Duration::from_secs(1)));
    assert_eq!(ledger.verdict_due(SETTLED, &request(9, &[DEADLY]).parts), None);
    assert!(is_refused(&ledger, SETTLED, &[SHARED, DEADLY]));
    assert!(!is_refused(&ledger, SETTLED, &[SHARED]));
    assert!(!is_refused(&ledger, NOW + Duration::from_mins(10).as_millis() as u64, &[DEADLY]));
}

/// Crashes of one request are charged to that request, not to the parts that sound requests share with it.
#[test]
fn part_of_one_request_not_refused() {
    let mut ledger = CrashLedger::default();
    for endpoint in ["a", "b", "c", "d", "e"] {
        ledger.record_crash(NOW, request(0, &[SHARED]), endpoint.into());
        ledger.record_crash(NOW, request(1, &[SHARED]), "a".into());
    }
    assert!(ledger.refusal(SETTLED, request(0, &[SHARED])).is_some());
    assert!(!is_refused(&ledger, SETTLED, &[SHARED]));
}

/// A zone is lost with all that ran there; requests with the same part run well elsewhere.
#[test]
fn part_that_runs_well_not_refused() {
    let mut ledger = CrashLedger::default();
    ledger.begin_run(&request(100, &[SHARED]).parts, 1);
    crash(&mut ledger, 0..20, &[SHARED]);
    assert!(!is_refused(&ledger, SETTLED, &[SHARED]));
}

/// As above, but the requests that run well are another host's, whose word arrives before the part is refused.
#[test]
fn part_that_runs_well_elsewhere_not_refused() {
    let (mut ledger, mut other) = (CrashLedger::default(), CrashLedger::default());
    other.begin_run(&request(100, &[SHARED]).parts, 1);
    crash(&mut ledger, 0..20, &[SHARED]);
    other.merge_stored(NOW + 300, ledger.records_to_write(false).unwrap());
    ledger.merge_stored(NOW + 600, other.records_to_write(false).unwrap());
    assert!(!is_refused(&ledger, SETTLED, &[SHARED]));
}

/// Parts that were there at the same crashes are refused only together, until a sound request tells them apart.
#[test]
fn parts_refused_together() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 0..5, &[SHARED, DEADLY]);
    assert!(is_refused(&ledger, SETTLED, &[SHARED, DEADLY]));
    assert!(!is_refused(&ledger, SETTLED, &[SHARED]));
    ledger.record_survival(SETTLED + 500, request(100, &[SHARED]));
    assert!(is_refused(&ledger, SETTLED + 500, &[DEADLY]));
    assert!(!is_refused(&ledger, SETTLED + 500, &[SHARED]));
}

/// Each host sees crashes of few requests; together they suffice, also for a host that saw none.
#[test]
fn part_refused_by_all_hosts() {
    let mut hosts: Vec<CrashLedger> = (0..3).map(|_| CrashLedger::default()).collect();
    let mut stored = CrashRecords::new();
    for (number, host) in hosts.iter_mut().take(2).enumerate() {
        let number = number as u32 * 10;
        crash(host, number..number + 2, &[DEADLY]);
        host.merge_stored(NOW, stored.clone());
        stored = host.records_to_write(false).unwrap();
    }
    for host in &mut hosts {
        host.merge_stored(NOW, stored.clone());
        assert!(is_refused(host, SETTLED, &[DEADLY]));
    }
}

/// A request that was lost with endpoints which a part crashed is not blamed once the part is refused.
#[test]
fn request_beside_part_not_refused() {
    let mut ledger = CrashLedger::default();
    let beside = request(100, &[SHARED]);
    for number in 0..4 {
        ledger.record_crash(NOW, request(number, &[DEADLY]), format!("e{number}").into());
        ledger.record_crash(NOW, beside.clone(), format!("e{number}").into());
    }
    assert!(ledger.refusal(NOW, beside.clone()).is_some());
    crash(&mut ledger, 4..6, &[DEADLY]);
    ledger.record_crash(SETTLED, request(7, &[DEADLY]), "e7".into());
    assert!(ledger.refusal(SETTLED, beside).is_none());
    assert!(is_refused(&ledger, SETTLED, &[DEADLY]));
}

/// Guards against a part of which each request counts once only, since the run time of a resumed stream goes on.
#[test]
fn part_that_crashes_resumed_streams_refused() {
    let mut ledger = CrashLedger::default();
    for number in 0..2 {
        for (endpoint, run_time) in [("a", 1_200), ("b", 2_400), ("c", 3_600)] {
            let endpoint = format!("{endpoint}{number}").into();
            ledger.record_crash_after(NOW, request(number, &[DEADLY]), endpoint, Duration::from_millis(run_time));
        }
    }
    assert!(is_refused(&ledger, SETTLED, &[DEADLY]));
}

/// Guards against hosts that write the runs of a shared part anew with each update while streams with it are lost.
#[test]
fn late_crashes_write_no_runs_of_part() {
    let mut ledger = CrashLedger::default();
    ledger.begin_run(&request(100, &[SHARED]).parts, 4);
    for number in 0..6 {
        let (at, endpoint) = (NOW + u64::from(number) * 100, format!("e{number}").into());
        ledger.record_crash_after(at, request(number, &[SHARED]), endpoint, Duration::from_secs(5));
        ledger.record_given_up(&request(number, &[SHARED]).digest);
    }
    let written = ledger.records_to_write(false).unwrap();
    assert!(!written.contains_key(&RequestDigest::of_part(SHARED)));
    ledger.record_long_run(NOW + 2_000, request(100, &[SHARED]), 4);
    assert_eq!(ledger.records_to_write(false), Some(written));
    assert!(!is_refused(&ledger, NOW + 5_000, &[SHARED]));
}
