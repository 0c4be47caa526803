//! Requests that end the endpoints which run them, among others that are only there.

use std::time::Duration;

use hollyhook_core::{CrashLedger, CrashRecord, CrashRecords, DigestError, RequestDigest};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: u64 = 1_000_000;
const HOUR: u64 = 3_600_000;

fn digest(path: &str) -> RequestDigest {
    RequestDigest::new(path, Some("office"), b"")
}

/// A ledger in which endpoints ended under requests.
fn ledger(crashes: &[(&str, &[&str])]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    note(&mut ledger, NOW, crashes);
    ledger
}

fn note(ledger: &mut CrashLedger, now: u64, crashes: &[(&str, &[&str])]) {
    for (path, endpoints) in crashes {
        for endpoint in *endpoints {
            ledger.record_crash(now, digest(path), (*endpoint).into());
        }
    }
}

fn is_refused(ledger: &CrashLedger, path: &str) -> bool {
    ledger.refusal(NOW, &digest(path)).is_some()
}

#[test]
fn digest_parts_apart() {
    assert_ne!(RequestDigest::new("/a", Some("b"), b""), RequestDigest::new("/a", None, b"b"));
    for text in ["0123", "é123456789012345678901234567890"] {
        assert_eq!(text.parse::<RequestDigest>(), Err(DigestError), "{text}");
    }
}

#[test]
fn third_end_refuses() {
    let mut ledger = ledger(&[("/a", &["x", "y"])]);
    assert!(!is_refused(&ledger, "/a"));
    let change = ledger.record_crash(NOW, digest("/a"), "z".into());
    assert_eq!((change.refused, change.cleared), (vec![digest("/a")], vec![]));
    assert!(is_refused(&ledger, "/a") && !is_refused(&ledger, "/b"));
}

/// Endpoints that fell silent under a request, and whose next start tells that they had ended.
fn darken(ledger: &mut CrashLedger, path: &str, endpoints: &[&str]) {
    for (number, endpoint) in endpoints.iter().enumerate() {
        let at = NOW + number as u64;
        ledger.record_unanswered(at, digest(path), (*endpoint).into());
        ledger.confirm_crash(at + 3_000, endpoint);
    }
}

#[test]
fn break_counts_once_endpoint_is_gone() {
    let mut ledger = CrashLedger::default();
    for endpoint in ["x", "y", "z"] {
        ledger.record_unanswered(NOW, digest("/a"), endpoint.into());
    }
    assert!(!ledger.is_empty() && !is_refused(&ledger, "/a"));
    for endpoint in ["x", "y", "z"] {
        ledger.confirm_crash(NOW + 3_000, endpoint);
    }
    assert!(is_refused(&ledger, "/a"));
}

/// Links break, and what ends a minute later ended for another reason.
#[test]
fn break_long_before_end_does_not_count() {
    let mut ledger = CrashLedger::default();
    for endpoint in ["x", "y", "z"] {
        ledger.record_unanswered(NOW, digest("/a"), endpoint.into());
        ledger.confirm_crash(NOW + 60_000, endpoint);
    }
    assert!(!is_refused(&ledger, "/a"));
}

/// Nine in ten endpoints of a zone are lost at once, time after time: what ran there goes on elsewhere and is served, and only
/// seconds later does it show that they had ended.
#[test]
fn lost_zones_condemn_nobody() {
    let mut ledger = CrashLedger::default();
    for zone in 0..5_u64 {
        let at = NOW + zone * 6_000;
        let endpoints: Vec<String> = (0..60).map(|number| format!("{zone}-{number}")).collect();
        for (number, endpoint) in endpoints.iter().enumerate() {
            ledger.record_unanswered(at, digest(&format!("/{}", number % 20)), (**endpoint).into());
        }
        for path in 0..20 {
            ledger.record_survival(at + 1_500, &digest(&format!("/{path}")));
        }
        for endpoint in &endpoints {
            let change = ledger.confirm_crash(at + 3_000, endpoint);
            assert!(change.refused.is_empty(), "{change:?}");
        }
    }
}

/// Who was given up before it showed is told to other hosts then, since each sees few ends by itself.
#[test]
fn break_given_up_is_told() {
    let mut ledger = CrashLedger::default();
    ledger.record_unanswered(NOW, digest("/a"), "x".into());
    ledger.record_given_up(&digest("/a"));
    assert!(ledger.records_to_write(false).is_none());
    ledger.confirm_crash(NOW + 3_000, "x");
    assert!(ledger.records_to_write(false).is_some());
}

#[test]
fn silent_ends_join_those_seen() {
    let mut ledger = ledger(&[("/a", &["x"])]);
    darken(&mut ledger, "/a", &["y", "z"]);
    assert!(is_refused(&ledger, "/a"));
}

/// Two hosts that lose the same endpoint under the same request count one end.
#[test]
fn same_endpoint_counted_once() {
    let mut ledger = ledger(&[("/a", &["x", "y"])]);
    note(&mut ledger, NOW + 5, &[("/a", &["y"])]);
    assert!(!is_refused(&ledger, "/a"));
}

/// A generation was placed three times beside the one that ended its engines, and lost three of them within 0.4 s.
#[test]
fn request_beside_it_served() {
    let ledger = ledger(&[("/deadly", &["x", "y", "z", "w"]), ("/beside", &["y", "z", "w"])]);
    assert!(is_refused(&ledger, "/deadly"));
    assert!(!is_refused(&ledger, "/beside"));
}

/// As long as both lost the same endpoints, either may have ended them; the next end tells.
#[test]
fn equal_ends_parted_by_next() {
    let mut ledger = ledger(&[("/deadly", &["x", "y", "z"]), ("/beside", &["x", "y", "z"])]);
    assert!(is_refused(&ledger, "/deadly") && is_refused(&ledger, "/beside"));
    let change = ledger.record_crash(NOW, digest("/deadly"), "w".into());
    assert_eq!(change.cleared, [digest("/beside")]);
    assert!(is_refused(&ledger, "/deadly"));
}

/// What ended under another request does not hide what ended under this one.
#[test]
fn two_that_end_endpoints_refused() {
    let ledger = ledger(&[("/one", &["a", "b", "c", "d"]), ("/other", &["d", "x", "y", "z"])]);
    assert!(is_refused(&ledger, "/one") && is_refused(&ledger, "/other"));
}

#[test]
fn survival_starts_anew() {
    let mut ledger = ledger(&[("/a", &["x", "y"])]);
    ledger.record_survival(NOW + 1, &digest("/a"));
    note(&mut ledger, NOW + 2, &[("/a", &["z", "w"])]);
    assert!(!is_refused(&ledger, "/a"));
    note(&mut ledger, NOW + 3, &[("/a", &["v"])]);
    assert!(is_refused(&ledger, "/a"));
}

/// One end is most likely chance; to tell of each would be a write for every request that an endpoint takes with it.
#[test]
fn single_end_told_when_given_up() {
    let mut ledger = ledger(&[("/a", &["x"])]);
    assert_eq!(ledger.records_to_write(true), None);
    ledger.record_given_up(&digest("/a"));
    assert_eq!(ledger.records_to_write(true).unwrap().len(), 1);
}

#[test]
fn second_end_told() {
    assert_eq!(ledger(&[("/a", &["x", "y"])]).records_to_write(true).unwrap()[&digest("/a")].crashes.len(), 2);
}

/// Each of three hosts saw one end.
#[test]
fn ends_of_hosts_added() {
    let mut ledger = ledger(&[("/a", &["x"])]);
    let record = CrashRecord { crashes: [("y".into(), NOW), ("z".into(), NOW)].into(), survived_at: 0 };
    ledger.merge_stored(NOW, [(digest("/a"), record)].into());
    assert!(is_refused(&ledger, "/a"));
    assert_eq!(ledger.records_to_write(true).unwrap()[&digest("/a")].crashes.len(), 3);
}

#[test]
fn told_once_only() {
    let mut ledger = ledger(&[("/a", &["x", "y"])]);
    let told = ledger.records_to_write(true).unwrap();
    ledger.merge_stored(NOW, told);
    assert_eq!(ledger.records_to_write(true), None);
}

/// Of hundreds of hosts that hear of it only those write it again that read the store for others.
#[test]
fn heard_written_again_by_readers() {
    let mut ledger = CrashLedger::default();
    let record = CrashRecord { crashes: [("x".into(), NOW), ("y".into(), NOW)].into(), survived_at: 0 };
    ledger.merge_stored(NOW, [(digest("/a"), record)].into());
    ledger.merge_stored(NOW, CrashRecords::new());
    assert_eq!(ledger.records_to_write(false), None);
    assert_eq!(ledger.records_to_write(true).unwrap().len(), 1);
    note(&mut ledger, NOW, &[("/a", &["z"])]);
    assert_eq!(ledger.records_to_write(false).unwrap()[&digest("/a")].crashes.len(), 3);
}

/// A store that lost what was written there gets it again.
#[test]
fn older_store_written_again() {
    let mut ledger = ledger(&[("/a", &["x", "y", "z"])]);
    let told = ledger.records_to_write(true).unwrap();
    ledger.merge_stored(NOW, told.clone());
    ledger.merge_stored(NOW, CrashRecords::new());
    assert!(is_refused(&ledger, "/a"));
    assert_eq!(ledger.records_to_write(true), Some(told));
}

/// A host that knows only its own ends can't tell yet whose fault they are; whoever did no harm is served when it comes back.
#[test]
fn fresh_refusal_says_soon() {
    let mut ledger = ledger(&[("/beside", &["x", "y", "z"])]);
    assert_eq!(ledger.refusal(NOW, &digest("/beside")), Some(Duration::from_secs(2)));
    assert!(ledger.refusal(NOW + 2_000, &digest("/beside")).unwrap() > Duration::from_mins(59));
    let crashes = ["w", "x", "y", "z"].map(|endpoint| (endpoint.into(), NOW)).into();
    ledger.merge_stored(NOW + 500, [(digest("/deadly"), CrashRecord { crashes, survived_at: 0 })].into());
    assert_eq!(ledger.refusal(NOW + 2_000, &digest("/beside")), None);
}

#[test]
fn forgotten_after_an_hour() {
    let mut ledger = ledger(&[("/a", &["x", "y", "z"])]);
    assert!(ledger.refusal(NOW + HOUR - 1, &digest("/a")).is_some());
    assert_eq!(ledger.refusal(NOW + HOUR, &digest("/a")), None);
    note(&mut ledger, NOW + HOUR, &[("/a", &["w"])]);
    assert!(ledger.refusal(NOW + HOUR, &digest("/a")).is_some(), "it still ends endpoints");
    note(&mut ledger, NOW + 3 * HOUR, &[("/b", &["w"])]);
    assert_eq!(ledger.refusal(NOW + 3 * HOUR, &digest("/a")), None);
}

/// However many are suspected, those that are refused are remembered.
#[test]
fn memory_bounded() {
    let mut ledger = ledger(&[("/deadly", &["x", "y", "z"])]);
    for number in 0..1_000_u64 {
        note(&mut ledger, NOW + number, &[(&format!("/{number}"), &["v", "w"])]);
    }
    assert!(is_refused(&ledger, "/deadly"));
    assert!(ledger.records_to_write(true).unwrap().len() <= 128);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Hosts that hear the same in another order, or twice, believe the same.
    #[test]
    fn records_join_in_any_order(parts in proptest::collection::vec((0_usize..4, 0_u64..50, 0_u64..50), 1..12)) {
        let names = ["v", "w", "x", "y"];
        let records: Vec<CrashRecord> = parts.iter().map(|(name, at, survived_at)| {
            CrashRecord { crashes: [(names[*name].into(), *at)].into(), survived_at: *survived_at }
        }).collect();
        let (mut forward, mut backward) = (CrashRecord::default(), CrashRecord::default());
        for record in &records {
            forward.merge(record);
        }
        for record in records.iter().rev().chain(&records) {
            backward.merge(record);
        }
        prop_assert_eq!(forward, backward);
    }
}
