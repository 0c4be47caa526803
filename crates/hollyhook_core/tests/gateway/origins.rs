//! Origins of streams: which version began a stream, and which hosts keep copies of that.

use std::collections::BTreeSet;
use std::time::Duration;

use hollyhook_core::{HostRecord, Name, OriginLedger, TimePoint, origin_holders};

fn host(number: usize) -> HostRecord {
    HostRecord {
        host: format!("host-{number}").into(),
        zone: format!("zone-{}", number % 4).into(),
        address: ([127, 0, 0, 1], 7_000 + number as u16).into(),
        link_mbps: 0,
    }
}

fn holders(hosts: &[HostRecord], attempt: &str) -> Vec<Name> {
    let holders = origin_holders(hosts.iter(), &attempt.into());
    holders.into_iter().map(|record| Name::clone(&record.host)).collect()
}

#[test]
fn holders_in_different_zones() {
    let hosts: Vec<HostRecord> = (0..12).map(host).collect();
    for attempt in 0..100 {
        let found = origin_holders(hosts.iter(), &format!("{attempt}").into());
        let zones: BTreeSet<&Name> = found.iter().map(|record| &record.zone).collect();
        assert_eq!((found.len(), zones.len()), (3, 3));
    }
}

/// Hosts with different lists of hosts still find a common holder, whatever order they list them in.
#[test]
fn holders_found_with_other_list() {
    let hosts: Vec<HostRecord> = (0..12).map(host).collect();
    let mut known: Vec<HostRecord> = (1..13).map(host).collect();
    known.reverse();
    for attempt in 0..200 {
        let (told, asked) = (holders(&hosts, &format!("{attempt}")), holders(&known, &format!("{attempt}")));
        assert!(told.iter().any(|host| asked.contains(host)), "attempt {attempt}: {told:?}, {asked:?}");
    }
}

#[test]
fn origin_expires_after_last_record() {
    let (mut ledger, half) = (OriginLedger::default(), OriginLedger::LIFETIME / 2);
    ledger.record_own(TimePoint::ZERO, "a".into(), "model".into(), "v1".into());
    ledger.record_own(TimePoint::ZERO + half, "a".into(), "model".into(), "v1".into());
    let due = TimePoint::ZERO + half + OriginLedger::LIFETIME;
    assert_eq!(ledger.version(due - Duration::from_millis(1), "a").as_deref(), Some("v1"));
    assert_eq!(ledger.version(due, "a"), None);
    assert!(!ledger.has_unshared(|_service| true));
}

/// Origins are shared once a second version of their service serves, and only those of such services.
#[test]
fn origin_shared_when_needed() {
    let mut ledger = OriginLedger::default();
    ledger.record_own(TimePoint::ZERO, "a".into(), "model".into(), "v1".into());
    ledger.record_own(TimePoint::ZERO, "b".into(), "other".into(), "v1".into());
    assert!(ledger.take_unshared(TimePoint::ZERO, |_service| false).is_empty());
    let shared = ledger.take_unshared(TimePoint::ZERO, |service| &**service == "model");
    assert_eq!(shared.iter().map(|copy| &*copy.first_attempt).collect::<Vec<_>>(), ["a"]);
    assert!(ledger.has_unshared(|_service| true));
}
