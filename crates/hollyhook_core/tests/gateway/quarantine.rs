//! Quarantine: requests that crash endpoints are distinguished from requests that merely run there at the same time.

use std::time::Duration;

use hollyhook_core::{CrashLedger, CrashRecord, CrashRecords, DigestError, RequestDigest};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: u64 = 1_000_000;
const HOUR: u64 = 3_600_000;

fn digest(path: &str) -> RequestDigest {
    RequestDigest::new(path, Some("office"), b"")
}

/// Creates a ledger with endpoint crashes by request path.
fn ledger(crashes: &[(&str, &[&str])]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    record_crashes(&mut ledger, NOW, crashes);
    ledger
}

fn record_crashes(ledger: &mut CrashLedger, now: u64, crashes: &[(&str, &[&str])]) {
    for (path, endpoints) in crashes {
        for endpoint in *endpoints {
            ledger.record_crash(now, digest(path), (*endpoint).into());
        }
    }
}

fn is_refused(ledger: &CrashLedger, path: &str) -> bool {
    ledger.refusal(NOW, digest(path)).is_some()
}

#[test]
fn digest_parts_apart() {
    assert_ne!(RequestDigest::new("/a", Some("b"), b""), RequestDigest::new("/a", None, b"b"));
    for text in ["0123", "é123456789012345678901234567890"] {
        assert_eq!(text.parse::<RequestDigest>(), Err(DigestError), "{text}");
    }
}

#[test]
fn third_crash_refuses() {
    let mut ledger = ledger(&[("/a", &["x", "y"])]);
    assert!(!is_refused(&ledger, "/a"));
    let change = ledger.record_crash(NOW, digest("/a"), "z".into());
    assert_eq!((change.refused, change.cleared), (vec![digest("/a")], vec![]));
    assert!(is_refused(&ledger, "/a") && !is_refused(&ledger, "/b"));
}

/// Lets endpoints stop answering while running a request, and then confirms by their restart that they crashed.
fn crash_silently(ledger: &mut CrashLedger, path: &str, endpoints: &[&str]) {
    for (number, endpoint) in endpoints.iter().enumerate() {
        let at = NOW + number as u64;
        ledger.record_unanswered(at, digest(path), (*endpoint).into());
        ledger.confirm_crash(at + 3_000, endpoint);
    }
}

#[test]
fn unanswered_request_counts_once_endpoint_is_gone() {
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

/// Guards against taking a second of events for proof that a request crashes nothing: some crash endpoints later.
#[test]
fn late_crashes_count() {
    let mut ledger = CrashLedger::default();
    for (number, endpoint) in ["x", "y", "z"].into_iter().enumerate() {
        assert!(!is_refused(&ledger, "/a"));
        let at = NOW + 2_000 * number as u64;
        ledger.record_long_run(at, digest("/a"), 1);
        ledger.record_crash_after(at + 200, digest("/a"), endpoint.into(), Duration::from_millis(1_200));
    }
    assert!(is_refused(&ledger, "/a"));
    ledger.record_long_run(NOW + 9_000, digest("/a"), 2);
    assert!(is_refused(&ledger, "/a"), "a run that was hardly longer shows nothing");
    ledger.record_long_run(NOW + 9_000, digest("/a"), 4);
    assert!(!is_refused(&ledger, "/a"));
}

/// A request that ran for seconds before its endpoint crashed, and to its end elsewhere, is not the cause.
#[test]
fn whole_run_clears_late_crashes() {
    let mut ledger = CrashLedger::default();
    for (number, endpoint) in ["x", "y", "z", "v", "w"].into_iter().enumerate() {
        let at = NOW + 10_000 * number as u64;
        ledger.record_crash_after(at, digest("/a"), endpoint.into(), Duration::from_secs(5));
        ledger.record_survival(at + 3_000, digest("/a"));
        assert!(!is_refused(&ledger, "/a"));
    }
}

/// What hosts tell each other directly counts like what they read from the store, and is told once.
#[test]
fn told_records_refuse() {
    let (mut ledger, mut other) = (ledger(&[("/a", &["x", "y"])]), ledger(&[("/a", &["z", "w"])]));
    let told = ledger.take_untold();
    assert_eq!(told.len(), 1);
    assert!(ledger.take_untold().is_empty());
    other.merge_told(NOW, &told);
    assert!(is_refused(&other, "/a"));
    assert_eq!(other.take_untold().len(), 1, "the other's own crashes are still to be told");
}

/// A request is left unanswered also when a link fails; an endpoint that crashes a minute later crashed for another
/// reason.
#[test]
fn unanswered_long_before_crash_does_not_count() {
    let mut ledger = CrashLedger::default();
    for endpoint in ["x", "y", "z"] {
        ledger.record_unanswered(NOW, digest("/a"), endpoint.into());
        ledger.confirm_crash(NOW + 60_000, endpoint);
    }
    assert!(!is_refused(&ledger, "/a"));
}

/// Guards against refusing requests because zones fail: nine in ten endpoints of a zone are lost at once, several times
/// in a row. Other endpoints serve the requests that ran there, and only seconds later are the lost endpoints known to
/// have crashed.
#[test]
fn lost_zones_refuse_nothing() {
    let mut ledger = CrashLedger::default();
    for zone in 0..5_u64 {
        let at = NOW + zone * 6_000;
        let endpoints: Vec<String> = (0..60).map(|number| format!("{zone}-{number}")).collect();
        for (number, endpoint) in endpoints.iter().enumerate() {
            ledger.record_unanswered(at, digest(&format!("/{}", number % 20)), (**endpoint).into());
        }
        for path in 0..20 {
            ledger.record_survival(at + 1_500, digest(&format!("/{path}")));
        }
        for endpoint in &endpoints {
            let change = ledger.confirm_crash(at + 3_000, endpoint);
            assert!(change.refused.is_empty(), "{change:?}");
        }
    }
}

/// A request given up before its endpoint's crash is confirmed is shared upon confirmation, since each host sees few
/// crashes.
#[test]
fn unanswered_given_up_is_shared() {
    let mut ledger = CrashLedger::default();
    ledger.record_unanswered(NOW, digest("/a"), "x".into());
    ledger.record_given_up(&digest("/a"));
    assert!(ledger.records_to_write(false).is_none());
    ledger.confirm_crash(NOW + 3_000, "x");
    assert!(ledger.records_to_write(false).is_some());
}

#[test]
fn confirmed_crashes_add_to_detected_ones() {
    let mut ledger = ledger(&[("/a", &["x"])]);
    crash_silently(&mut ledger, "/a", &["y", "z"]);
    assert!(is_refused(&ledger, "/a"));
}

/// The crash of one endpoint counts once, also when the ledger learns of it twice.
#[test]
fn same_endpoint_counted_once() {
    let mut ledger = ledger(&[("/a", &["x", "y"])]);
    record_crashes(&mut ledger, NOW + 5, &[("/a", &["y"])]);
    assert!(!is_refused(&ledger, "/a"));
}

/// Guards against refusing a request that was placed three times beside a deadly one, and so lost three engines within
/// 0.4 s.
#[test]
fn bystander_served() {
    let ledger = ledger(&[("/deadly", &["x", "y", "z", "w"]), ("/beside", &["y", "z", "w"])]);
    assert!(is_refused(&ledger, "/deadly"));
    assert!(!is_refused(&ledger, "/beside"));
}

/// As long as two requests lost the same endpoints, either may be the cause; the next crash decides.
#[test]
fn equal_crashes_decided_by_next() {
    let mut ledger = ledger(&[("/deadly", &["x", "y", "z"]), ("/beside", &["x", "y", "z"])]);
    assert!(is_refused(&ledger, "/deadly") && is_refused(&ledger, "/beside"));
    let change = ledger.record_crash(NOW, digest("/deadly"), "w".into());
    assert_eq!(change.cleared, [digest("/beside")]);
    assert!(is_refused(&ledger, "/deadly"));
}

/// A crash explained by one deadly request does not hide the crashes of another one.
#[test]
fn two_deadly_requests_refused() {
    let ledger = ledger(&[("/one", &["a", "b", "c", "d"]), ("/other", &["d", "x", "y", "z"])]);
    assert!(is_refused(&ledger, "/one") && is_refused(&ledger, "/other"));
}

#[test]
fn survival_resets_crashes() {
    let mut ledger = ledger(&[("/a", &["x", "y"])]);
    ledger.record_survival(NOW + 1, digest("/a"));
    record_crashes(&mut ledger, NOW + 2, &[("/a", &["z", "w"])]);
    assert!(!is_refused(&ledger, "/a"));
    record_crashes(&mut ledger, NOW + 3, &[("/a", &["v"])]);
    assert!(is_refused(&ledger, "/a"));
}

/// A single crash most likely hit the request by chance; sharing each would cost a write for every request that a
/// crashed endpoint ran.
#[test]
fn single_crash_shared_when_given_up() {
    let mut ledger = ledger(&[("/a", &["x"])]);
    assert_eq!(ledger.records_to_write(true), None);
    ledger.record_given_up(&digest("/a"));
    assert_eq!(ledger.records_to_write(true).unwrap().len(), 1);
}

#[test]
fn second_crash_shared() {
    assert_eq!(ledger(&[("/a", &["x", "y"])]).records_to_write(true).unwrap()[&digest("/a")].crashes.len(), 2);
}

/// Three hosts saw one crash each.
#[test]
fn crashes_of_hosts_added() {
    let mut ledger = ledger(&[("/a", &["x"])]);
    let record = CrashRecord {
        crashes: [("y".into(), NOW), ("z".into(), NOW)].into(),
        survived_at: 0,
        ..CrashRecord::default()
    };
    ledger.merge_stored(NOW, [(digest("/a"), record)].into());
    assert!(is_refused(&ledger, "/a"));
    assert_eq!(ledger.records_to_write(true).unwrap()[&digest("/a")].crashes.len(), 3);
}

#[test]
fn stored_records_not_written_again() {
    let mut ledger = ledger(&[("/a", &["x", "y"])]);
    let written = ledger.records_to_write(true).unwrap();
    ledger.merge_stored(NOW, written);
    assert_eq!(ledger.records_to_write(true), None);
}

/// A record of other hosts that the store lost is written again only by the hosts that read the store for others, not
/// by all the hundreds that know the record.
#[test]
fn lost_record_written_again_by_readers() {
    let mut ledger = CrashLedger::default();
    let record = CrashRecord {
        crashes: [("x".into(), NOW), ("y".into(), NOW)].into(),
        survived_at: 0,
        ..CrashRecord::default()
    };
    ledger.merge_stored(NOW, [(digest("/a"), record)].into());
    ledger.merge_stored(NOW, CrashRecords::new());
    assert_eq!(ledger.records_to_write(false), None);
    assert_eq!(ledger.records_to_write(true).unwrap().len(), 1);
    record_crashes(&mut ledger, NOW, &[("/a", &["z"])]);
    assert_eq!(ledger.records_to_write(false).unwrap()[&digest("/a")].crashes.len(), 3);
}

/// Records of local crashes are written again to a store that lost them.
#[test]
fn lost_record_of_own_written_again() {
    let mut ledger = ledger(&[("/a", &["x", "y", "z"])]);
    let written = ledger.records_to_write(true).unwrap();
    ledger.merge_stored(NOW, written.clone());
    ledger.merge_stored(NOW, CrashRecords::new());
    assert!(is_refused(&ledger, "/a"));
    assert_eq!(ledger.records_to_write(true), Some(written));
}

/// A host that knows only the crashes it saw itself can't tell the cause yet, so the delay is short. A caller whose
/// request turns out harmless is served when it tries again.
#[test]
fn recent_refusal_has_short_delay() {
    let mut ledger = ledger(&[("/beside", &["x", "y", "z"])]);
    assert_eq!(ledger.refusal(NOW, digest("/beside")), Some(Duration::from_secs(2)));
    assert!(ledger.refusal(NOW + 2_000, digest("/beside")).unwrap() > Duration::from_mins(59));
    let crashes = ["w", "x", "y", "z"].map(|endpoint| (endpoint.into(), NOW)).into();
    ledger.merge_stored(NOW + 500, [(digest("/deadly"), CrashRecord { crashes, ..CrashRecord::default() })].into());
    assert_eq!(ledger.refusal(NOW + 2_000, digest("/beside")), None);
}

#[test]
fn refusal_expires_after_an_hour() {
    let mut ledger = ledger(&[("/a", &["x", "y", "z"])]);
    assert!(ledger.refusal(NOW + HOUR - 1, digest("/a")).is_some());
    assert_eq!(ledger.refusal(NOW + HOUR, digest("/a")), None);
    record_crashes(&mut ledger, NOW + HOUR, &[("/a", &["w"])]);
    assert!(ledger.refusal(NOW + HOUR, digest("/a")).is_some(), "refused again after another crash");
    record_crashes(&mut ledger, NOW + 3 * HOUR, &[("/b", &["w"])]);
    assert_eq!(ledger.refusal(NOW + 3 * HOUR, digest("/a")), None);
}

/// The number of records is bounded; records of refused requests are kept over those of suspected ones.
#[test]
fn records_bounded() {
    let mut ledger = ledger(&[("/deadly", &["x", "y", "z"])]);
    for number in 0..1_000_u64 {
        record_crashes(&mut ledger, NOW + number, &[(&format!("/{number}"), &["v", "w"])]);
    }
    assert!(is_refused(&ledger, "/deadly"));
    assert!(ledger.records_to_write(true).unwrap().len() <= 128);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Merging the same records in another order, or twice, gives the same record.
    #[test]
    fn records_merge_in_any_order(parts in proptest::collection::vec((0_usize..4, 0_u64..50, 0_u64..50), 1..12)) {
        let names = ["v", "w", "x", "y"];
        let records: Vec<CrashRecord> = parts.iter().map(|(name, at, survived_at)| {
            CrashRecord { crashes: [(names[*name].into(), *at)].into(), survived_at: *survived_at, ..CrashRecord::default() }
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
