//! Whether a host has a network path to endpoints, and through which other hosts it connects while it has none.

use std::collections::BTreeSet;
use std::time::Duration;

use hollyhook_core::{
    ConnectOrder, EndpointGroup, EndpointId, HostRecord, Name, PathMonitor, TimePoint, TunnelDirectory,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const GROUP_SIZE: usize = 4;

fn group(zone: &str) -> EndpointGroup {
    EndpointGroup { service: "desk".into(), zone: zone.into() }
}

fn id(number: usize) -> EndpointId {
    format!("i-{number}").into()
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn is_direct(monitor: &PathMonitor, now: TimePoint, group: &EndpointGroup, id: &EndpointId) -> bool {
    matches!(monitor.order(now, group, id), ConnectOrder::DirectFirst { .. })
}

/// A monitor that has lost its path to a group at 100 ms.
fn lost_path(group: &EndpointGroup) -> PathMonitor {
    let mut monitor = PathMonitor::default();
    assert!(!monitor.record_bypassed(at(0), group, &id(0), GROUP_SIZE));
    assert!(monitor.record_bypassed(at(100), group, &id(1), GROUP_SIZE));
    monitor
}

#[test]
fn path_lost_after_two_bypassed_endpoints() {
    let group = group("a");
    let monitor = lost_path(&group);
    assert!(monitor.is_lost(&group));
    assert!(!is_direct(&monitor, at(5_000), &group, &id(3)));
    assert!(!monitor.is_lost(&self::group("b")));
    assert!(is_direct(&monitor, at(100), &self::group("b"), &id(9)));
}

/// An endpoint that refuses one host only does not cost that host the way to all others.
#[test]
fn path_kept_if_other_endpoint_connects() {
    let group = group("a");
    let mut monitor = PathMonitor::default();
    assert!(!monitor.record_bypassed(at(0), &group, &id(0), GROUP_SIZE));
    assert_eq!(monitor.record_connected(at(10), &group, &id(2), Duration::from_millis(2)), None);
    assert!(!monitor.record_bypassed(at(20), &group, &id(1), GROUP_SIZE));
    assert!(!is_direct(&monitor, at(30), &group, &id(0)), "a host that was bypassed is tried last for a while");
    assert!(is_direct(&monitor, at(30), &group, &id(2)));
    assert!(is_direct(&monitor, at(2_000), &group, &id(0)), "the bypass is forgotten");
}

#[test]
fn path_kept_if_evidence_is_old() {
    let group = group("a");
    let mut monitor = PathMonitor::default();
    assert!(!monitor.record_bypassed(at(0), &group, &id(0), GROUP_SIZE));
    assert!(!monitor.record_bypassed(at(2_500), &group, &id(1), GROUP_SIZE));
}

#[test]
fn path_lost_with_only_endpoint() {
    let group = group("a");
    let mut monitor = PathMonitor::default();
    assert!(monitor.record_bypassed(at(0), &group, &id(0), 1));
}

#[test]
fn path_regained_by_own_connection() {
    let group = group("a");
    let mut monitor = lost_path(&group);
    let lost_for = monitor.record_connected(at(900), &group, &id(2), Duration::from_millis(2));
    assert_eq!(lost_for, Some(Duration::from_millis(800)));
    assert!(!monitor.is_lost(&group));
    assert!((0..GROUP_SIZE).all(|number| is_direct(&monitor, at(900), &group, &id(number))));
}

/// A monitor that has found at 100 ms that a group answers only through other hosts.
fn mute_path(group: &EndpointGroup) -> PathMonitor {
    let mut monitor = PathMonitor::default();
    assert!(!monitor.record_muted(at(0), group, &id(0), GROUP_SIZE));
    assert!(monitor.record_muted(at(100), group, &id(1), GROUP_SIZE));
    monitor
}

/// A path on which connections open and carry nothing was taken for present again with each connection.
#[test]
fn mute_path_regained_by_answer_only() {
    let group = group("a");
    let mut monitor = mute_path(&group);
    assert_eq!(monitor.record_connected(at(500), &group, &id(2), Duration::from_millis(2)), None);
    assert!(monitor.is_lost(&group));
    assert!(matches!(monitor.order(at(5_000), &group, &id(2)), ConnectOrder::TunnelUnlessFailed { .. }));
    assert_eq!(monitor.record_heard(at(900), &group), Some(Duration::from_millis(800)));
    assert!(!monitor.is_lost(&group));
    assert!((0..GROUP_SIZE).all(|number| is_direct(&monitor, at(900), &group, &id(number))));
}

/// Connections that live on while new ones are refused do not make the path to open new ones.
#[test]
fn path_not_regained_by_open_connection() {
    let group = group("a");
    let mut monitor = lost_path(&group);
    assert_eq!(monitor.record_heard(at(900), &group), None);
    assert!(monitor.is_lost(&group));
}

/// After a pause, an endpoint may answer another host a moment before it answers this one.
#[test]
fn path_kept_if_heard_between_mute_endpoints() {
    let group = group("a");
    let mut monitor = PathMonitor::default();
    assert!(!monitor.record_muted(at(0), &group, &id(0), GROUP_SIZE));
    assert!(!is_direct(&monitor, at(10), &group, &id(0)));
    assert_eq!(monitor.record_heard(at(20), &group), None);
    assert!(is_direct(&monitor, at(30), &group, &id(0)));
    assert!(!monitor.record_muted(at(40), &group, &id(1), GROUP_SIZE));
    assert!(!monitor.record_muted(at(2_100), &group, &id(2), GROUP_SIZE), "the evidence is old");
    assert!(!monitor.record_muted(at(2_200), &group, &id(2), GROUP_SIZE), "one endpoint is no evidence");
}

/// The answer of the only endpoint may just be late.
#[test]
fn path_kept_after_one_late_answer_of_only_endpoint() {
    let group = group("a");
    let mut monitor = PathMonitor::default();
    assert!(!monitor.record_muted(at(0), &group, &id(0), 1));
    assert!(monitor.record_muted(at(100), &group, &id(0), 1));
}

/// Calls sent directly before the loss time out later than connections fail.
#[test]
fn mute_path_explains_silence_for_two_seconds() {
    let group = group("a");
    let (mute, refused) = (mute_path(&group), lost_path(&group));
    assert!(mute.explains_silence(at(2_000), &group) && !mute.explains_silence(at(2_200), &group));
    assert!(refused.explains_silence(at(1_000), &group) && !refused.explains_silence(at(1_200), &group));
}

/// Failures of the first second are the path's; an endpoint that fails later, behind other hosts, is at fault itself.
#[test]
fn path_explains_failures_for_a_second() {
    let group = group("a");
    let monitor = lost_path(&group);
    assert!(monitor.explains_failure(at(900), &group));
    assert!(!monitor.explains_failure(at(1_200), &group));
}

#[test]
fn path_checked_at_intervals() {
    let (group, mut monitor) = (group("a"), PathMonitor::default());
    let checks = (0..10_000).step_by(10).filter(|millis| monitor.try_check(at(*millis), &group)).count();
    assert_eq!(checks, 20);
}

#[test]
fn path_forgotten_with_its_endpoints() {
    let group = group("a");
    let mut monitor = lost_path(&group);
    assert_eq!(monitor.lost_groups().collect::<Vec<_>>(), [&group]);
    monitor.forget(&group);
    assert_eq!(monitor.lost_groups().count(), 0);
    assert!(is_direct(&monitor, at(100), &group, &id(0)));
}

#[test]
fn path_silent_until_heard() {
    let group = group("a");
    let mut monitor = PathMonitor::default();
    assert!(monitor.is_silent(&group, at(0)));
    monitor.record_heard(at(50), &group);
    assert!(!monitor.is_silent(&group, at(50)));
    assert!(monitor.is_silent(&group, at(51)));
}

fn hosts(count: usize) -> Vec<HostRecord> {
    let host = |number: usize| HostRecord {
        host: format!("host-{number}").into(),
        zone: "a".into(),
        address: ([127, 0, 0, 1], 7_000 + number as u16).into(),
        link_mbps: 1_000,
    };
    (0..count).map(host).collect()
}

/// Hundreds of hosts that lost their paths spread over the others, whatever they know of each other.
#[test]
fn tunnels_spread_over_hosts() {
    let (hosts, mut opened) = (hosts(100), vec![0_u32; 100]);
    for seed in 0..300 {
        let (mut directory, mut rng) = (TunnelDirectory::default(), Pcg64Mcg::seed_from_u64(seed));
        for _ in 0..10 {
            let chosen = directory.choose(at(0), hosts.iter(), &[], &mut rng).unwrap();
            directory.record_opened(&chosen.host);
            opened[usize::from(chosen.address.port()) - 7_000] += 1;
        }
        assert_eq!(directory.open_count(), 10);
    }
    // 30 each in the mean.
    assert!(opened.iter().all(|count| (10..=60).contains(count)), "{opened:?}");
}

#[test]
fn tunnels_skip_hosts_that_failed() {
    let (hosts, mut directory, mut rng) = (hosts(3), TunnelDirectory::default(), Pcg64Mcg::seed_from_u64(1));
    directory.skip(at(0), &hosts[0].host);
    let tried = [Name::clone(&hosts[1].host)];
    let chosen: BTreeSet<Name> =
        (0..50).map(|_| Name::clone(&directory.choose(at(10), hosts.iter(), &tried, &mut rng).unwrap().host)).collect();
    assert_eq!(chosen, BTreeSet::from(["host-2".into()]));
    directory.skip(at(10), &hosts[2].host);
    assert!(directory.choose(at(20), hosts.iter(), &tried, &mut rng).is_none());
    assert!(directory.choose(at(1_100), hosts.iter(), &tried, &mut rng).is_some());
}
