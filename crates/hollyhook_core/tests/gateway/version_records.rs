//! Records of the versions whose streams may still come back, and what follows from them for a stream of which no host
//! knows the version.

use std::collections::BTreeSet;
use std::time::Duration;

use hollyhook_core::{Name, OriginAnswer, RecordTurn, StreamOrigin, VersionRecord};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn set(names: &[&str]) -> BTreeSet<Name> {
    names.iter().map(|name| (*name).into()).collect()
}

/// A record that was read; `None` if the store had none.
fn read(versions: Option<&[&str]>) -> VersionRecord {
    let mut record = VersionRecord::default();
    record.apply_reading(versions.map(set));
    record
}

fn answer(versions: &[&str], is_complete: bool) -> OriginAnswer {
    OriginAnswer { version: None, versions: set(versions), is_complete }
}

#[test]
fn unread_record_written_by_nobody() {
    let record = VersionRecord::default();
    assert!(record.needs_reading());
    assert_eq!(record.missing_content(&set(&["v1"])), None);
    assert_eq!(record.outdated_content(&set(&["v1"])), None);
}

/// The first record of a service names what serves already, and delays nothing.
#[test]
fn first_record_gates_nothing() {
    let record = read(None);
    assert_eq!(record.missing_content(&set(&["v1", "v2"])), Some(set(&["v1", "v2"])));
    assert_eq!(record.admitted(&set(&["v1", "v2"])), None);
    assert_eq!(record.missing_content(&set(&[])), None);
}

#[test]
fn new_version_gated_until_recorded() {
    let mut record = read(Some(&["v1"]));
    let serving = set(&["v1", "v2"]);
    assert_eq!(record.admitted(&serving), Some(set(&["v1"])));
    assert_eq!(record.missing_content(&serving), Some(serving.clone()));
    record.apply_reading(Some(serving.clone()));
    assert_eq!(record.admitted(&serving), Some(serving.clone()));
    assert_eq!(record.missing_content(&serving), None);
}

#[test]
fn new_version_serves_where_no_recorded_one_can() {
    let record = read(Some(&["v1"]));
    assert_eq!(record.admitted(&set(&["v2"])), None);
    assert_eq!(record.missing_content(&set(&["v2"])), Some(set(&["v1", "v2"])));
}

/// A version that was removed from the record waits again when it comes back.
#[test]
fn returned_version_gated() {
    let mut record = read(Some(&["v1", "v2"]));
    record.retain_recent(&set(&["v2"]));
    assert_eq!(record.admitted(&set(&["v1", "v2"])), Some(set(&["v2"])));
}

/// A restored copy of the store that lacks a version takes no requests from it.
#[test]
fn confirmed_version_admitted_after_restore() {
    let mut record = read(Some(&["v1", "v2"]));
    record.require_reading();
    assert!(record.needs_reading());
    record.apply_reading(Some(set(&["v1"])));
    let serving = set(&["v1", "v2"]);
    assert_eq!(record.admitted(&serving), Some(serving.clone()));
    assert_eq!(record.missing_content(&serving), Some(serving));
}

/// A version older than the longest stream is removed, and forbids nothing from then on.
#[test]
fn outdated_version_forbids_nothing() {
    let mut record = read(Some(&["v1", "v2"]));
    let recent = set(&["v2"]);
    assert_eq!(record.outdated_content(&recent), Some(recent.clone()));
    assert_eq!(record.possible(&recent), set(&["v1", "v2"]));
    record.retain_recent(&recent);
    assert_eq!(record.possible(&recent), recent);
    // A host that starts later reads what was written.
    let own = OriginAnswer { version: None, versions: read(Some(&["v2"])).possible(&recent), is_complete: true };
    assert_eq!(StreamOrigin::resolve([&own]), StreamOrigin::Version("v2".into()));
}

/// Without any endpoint, nothing shows which versions come back.
#[test]
fn record_kept_without_endpoints() {
    assert_eq!(read(Some(&["v1"])).outdated_content(&set(&[])), None);
}

/// Hosts that have just started have seen no version that has gone.
#[test]
fn origin_not_open_without_history() {
    let (own, other) = (answer(&["v2"], false), answer(&["v2"], true));
    assert_eq!(StreamOrigin::resolve([&own]), StreamOrigin::Untraceable);
    assert_eq!(StreamOrigin::resolve([&own, &other]), StreamOrigin::Version("v2".into()));
    let holder = OriginAnswer { version: Some("v2".into()), ..own.clone() };
    assert_eq!(StreamOrigin::resolve([&own, &holder]), StreamOrigin::Version("v2".into()));
}

/// A version that has gone may have begun the stream all the same.
#[test]
fn origin_unknown_with_recorded_version_gone() {
    let mut record = read(Some(&["v1"]));
    record.require_reading();
    let own = OriginAnswer { version: None, versions: record.possible(&set(&["v2"])), is_complete: true };
    assert_eq!(StreamOrigin::resolve([&own]), StreamOrigin::Unknown);
}

/// Of a thousand hosts, one writes first, and the others don't all follow at one moment.
#[test]
fn turns_differ_between_hosts() {
    let hosts: Vec<Name> = (0..1_000).map(|number| format!("host-{number}").into()).collect();
    let turn = |own: &Name| RecordTurn::new(hosts.iter(), own, &"model".into());
    assert_eq!(hosts.iter().filter(|own| turn(own).is_first()).count(), 1);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let pauses: Vec<Duration> = hosts.iter().map(|own| turn(own).pause(&mut random)).collect();
    assert_eq!(pauses.iter().filter(|pause| pause.is_zero()).count(), 1);
    assert!(pauses.iter().filter(|pause| **pause < Duration::from_millis(500)).count() <= 3);
    let latest = pauses.iter().max().unwrap();
    assert!(*latest <= Duration::from_millis(1_500));
    assert!(!RecordTurn::unknown().is_first() && !RecordTurn::unknown().pause(&mut random).is_zero());
}

/// A host that is not registered, or the only one, writes at once.
#[test]
fn only_host_writes_first() {
    assert!(RecordTurn::new([].into_iter(), &"a".into(), &"model".into()).is_first());
}
