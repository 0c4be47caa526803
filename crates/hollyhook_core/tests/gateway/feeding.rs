//! Updates that hosts send each other about the store, and the sources that each host asks.

use std::net::SocketAddr;
use std::time::Duration;

use hollyhook_core::{
    FeedChange, FeedLog, FeedPlan, FeedTiming, FeedTopology, FeedUpdate, HostRecord, Name, SkipReason, StoreContact,
    StoreRevision, TimePoint, snapshot_limit,
};

const NOW: TimePoint = TimePoint::from_millis(10_000);

fn after(millis: u64) -> TimePoint {
    NOW + Duration::from_millis(millis)
}

fn set(name: &str, value: u32) -> FeedChange<u32> {
    FeedChange { name: name.into(), object: Some(value) }
}

fn removed(name: &str) -> FeedChange<u32> {
    FeedChange { name: name.into(), object: None }
}

/// A revision of the first era.
const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(1, number)
}

fn update(is_snapshot: bool, revision: u64, changes: &[FeedChange<u32>]) -> FeedUpdate<u32> {
    FeedUpdate {
        is_snapshot,
        changes: changes.to_vec(),
        revision: StoreRevision::new(1, revision),
        confirmed_until: NOW,
        grace_start: None,
        hops: 0,
    }
}

/// A log with a snapshot at revision 10 and two changes at revision 12.
fn log() -> FeedLog<u32> {
    let mut log = FeedLog::default();
    log.apply(&update(true, 10, &[set("a", 1), set("b", 1)]));
    log.apply(&update(false, 12, &[set("a", 2), removed("b")]));
    log
}

#[test]
fn update_after_known_revision() {
    let log = log();
    assert_eq!(log.update_after(Some(at(10))), Some(update(false, 12, &[set("a", 2), removed("b")])));
    assert_eq!(log.update_after(Some(at(12))), Some(update(false, 12, &[])));
    // The peer was updated by a leader that is ahead of this log: nothing is undone.
    assert_eq!(log.update_after(Some(at(15))).unwrap().changes, []);
}

#[test]
fn update_after_unknown_revision() {
    let log = log();
    let snapshot = Some(update(true, 12, &[set("a", 2)]));
    assert_eq!(log.update_after(None), snapshot);
    assert_eq!(log.update_after(Some(at(9))), snapshot, "changes before the snapshot are not known");
}

#[test]
fn update_after_dropped_changes() {
    let mut log = log();
    for number in 0..3_000 {
        log.apply(&update(false, 20 + number, &[set("a", number as u32)]));
    }
    assert!(log.update_after(Some(at(12))).unwrap().is_snapshot);
    assert_eq!(log.update_after(Some(at(3_018))).unwrap().changes, [set("a", 2_999)]);
}

/// A leader that has to list all objects again, because the store dropped its history, sends only the differences.
#[test]
fn update_after_second_snapshot() {
    let mut log = log();
    log.apply(&update(true, 30, &[set("a", 2), set("c", 3)]));
    assert_eq!(log.update_after(Some(at(12))), Some(update(false, 30, &[set("c", 3)])));
    log.apply(&update(true, 40, &[set("c", 3)]));
    assert_eq!(log.update_after(Some(at(30))), Some(update(false, 40, &[removed("a")])));
}

/// A leader that lists all objects again, because the store dropped its history, never received objects that were
/// created and removed meanwhile. A follower that received them from another leader would keep them for ever if it were
/// sent only the differences.
#[test]
fn update_after_second_snapshot_for_peer_in_gap() {
    let mut log = log();
    log.apply(&update(true, 30, &[set("a", 2)]));
    assert_eq!(log.update_after(Some(at(20))), Some(update(true, 30, &[set("a", 2)])));
    assert!(!log.update_after(Some(at(12))).unwrap().is_snapshot);
    assert!(!log.update_after(Some(at(30))).unwrap().is_snapshot);
}

/// The revisions of another store are not comparable, so that its snapshot starts a new history.
#[test]
fn update_after_snapshot_of_other_store() {
    let mut log = log();
    log.apply(&update(true, 5, &[set("z", 1)]));
    assert_eq!(log.update_after(Some(at(3))), Some(update(true, 5, &[set("z", 1)])));
    assert_eq!(log.update_after(Some(at(5))), Some(update(false, 5, &[])));
}

/// Moves an update to the second era.
fn in_second_era(update: FeedUpdate<u32>) -> FeedUpdate<u32> {
    let revision = StoreRevision { era: 2, ..update.revision };
    FeedUpdate { revision, ..update }
}

/// The store was restored from an older copy and has lower revisions: peers at a revision of the older era are sent the
/// differences.
#[test]
fn update_after_newer_era() {
    let mut log = log();
    log.apply(&in_second_era(update(true, 5, &[set("a", 1), set("b", 1)])));
    let differences = in_second_era(update(false, 5, &[set("a", 1), set("b", 1)]));
    assert_eq!(log.update_after(Some(at(12))), Some(differences));
    assert_eq!(log.update_after(Some(StoreRevision::new(2, 5))).unwrap().changes, []);
}

/// A peer that was ahead of the leader when the store was restored has changes that the leader never received, and is
/// sent a snapshot.
#[test]
fn update_after_newer_era_for_peer_in_gap() {
    let mut log = log();
    log.apply(&in_second_era(update(true, 5, &[set("a", 1)])));
    assert_eq!(log.update_after(Some(at(13))), Some(in_second_era(update(true, 5, &[set("a", 1)]))));
    // So is a peer at an era that the leader never saw.
    log.apply(&FeedUpdate { revision: StoreRevision::new(4, 6), ..update(true, 6, &[set("a", 1)]) });
    assert!(log.update_after(Some(StoreRevision::new(3, 1))).unwrap().is_snapshot);
    assert!(!log.update_after(Some(StoreRevision::new(2, 5))).unwrap().is_snapshot);
}

/// Delayed updates of an older era replace nothing.
#[test]
fn apply_of_older_era() {
    let mut log = log();
    log.apply(&in_second_era(update(true, 5, &[set("a", 7)])));
    let known = log.update_after(None);
    log.apply(&update(true, 90, &[set("a", 1)]));
    log.apply(&update(false, 91, &[removed("a")]));
    assert_eq!(log.update_after(None), known);
}

/// A host that has not yet seen the store's new era sends nothing to a peer that has.
#[test]
fn update_after_for_peer_of_newer_era() {
    assert_eq!(log().update_after(Some(StoreRevision::new(2, 1))), None);
}

#[test]
fn update_after_beyond_snapshot_limit() {
    let objects: Vec<FeedChange<u32>> = (0..3_000).map(|number| set(&number.to_string(), number)).collect();
    let mut log = FeedLog::default();
    log.apply(&update(true, 10, &objects));
    assert_eq!(log.update_after(None), None);
    assert_eq!(log.update_after(Some(at(10))), Some(update(false, 10, &[])));
}

fn passed_on(hops: u32, update: FeedUpdate<u32>) -> FeedUpdate<u32> {
    FeedUpdate { hops, ..update }
}

/// An update from another host is passed on only once: hosts that follow each other in a circle would otherwise never
/// notice that the store is unavailable.
#[test]
fn update_after_passed_on() {
    let mut log = log();
    let change = update(false, 13, &[set("c", 1)]);
    log.apply(&passed_on(2, change.clone()));
    assert_eq!(log.update_after(Some(at(12))), None);
    log.apply(&passed_on(u32::MAX, update(false, 13, &[])));
    assert_eq!(log.update_after(Some(at(12))), None, "an update from a helper is never passed on");
    log.apply(&passed_on(1, update(false, 13, &[])));
    assert_eq!(log.update_after(Some(at(12))), Some(passed_on(1, change.clone())));
    log.apply(&update(false, 13, &[]));
    assert_eq!(log.update_after(Some(at(12))), Some(change));
    assert_eq!(FeedLog::<u32>::default().update_after(None), None);
}

/// Hosts that ask only each other, in a circle, never make their copies look newer: these become stale at all of them.
#[test]
fn update_after_in_circle() {
    let mut logs = [log(), log(), log()];
    for turn in 0..9 {
        if let Some(received) = logs[turn % 3].update_after(Some(at(12))) {
            logs[(turn + 1) % 3].apply(&passed_on(received.hops + 1, received));
        }
    }
    assert!(
        logs.iter().filter_map(|log| log.update_after(Some(at(12)))).all(|received| received.confirmed_until == NOW)
    );
}

/// The bounds within which sites must act on changes: the shortest for which hosts share what they read, and those of
/// larger sites.
const BOUNDS: [u64; 3] = [2_000, 3_000, 4_000];

fn timings() -> impl Iterator<Item = (Duration, FeedTiming)> {
    BOUNDS.into_iter().map(Duration::from_millis).map(|bound| (bound, FeedTiming::new(bound)))
}

/// While nothing fails, the copies of leaders and relays never become stale: they are as old as a leader's watch and
/// its batch delay, plus one wait for each host that passes them on.
#[test]
fn is_stale_not_in_normal_operation() {
    for (_, timing) in timings() {
        let age = timing.leader_wait() + timing.leader_batch_delay();
        for hops in 0..2 {
            assert!(!timing.is_stale(age + timing.peer_wait() * hops, hops));
        }
    }
}

#[test]
fn is_stale_after_failed_watch() {
    for (_, timing) in timings() {
        let age = timing.leader_wait() + timing.leader_batch_delay() + timing.leader_wait();
        assert!(timing.is_stale(age, 0));
        assert!(timing.is_stale(age + timing.peer_wait() * 2, 1));
    }
}

/// The greatest age, in whole milliseconds, at which a host's copy is not stale.
fn max_age(timing: FeedTiming, hops: u32) -> Duration {
    let ages = (0..10_000).map(Duration::from_millis);
    ages.take_while(|age| !timing.is_stale(*age, hops)).last().unwrap()
}

/// A leader loses the store just before a change, and the second leader does not answer: a host that asked the first
/// one reads the store itself, and sends its last request to the removed endpoint, within the bound.
#[test]
fn max_age_within_bound() {
    let read_and_send = Duration::from_millis(50 + 250);
    for (bound, timing) in timings().skip(1) {
        let timeout = timing.peer_timeout(timing.peer_wait());
        let age = max_age(timing, 0) + timing.peer_wait() + timeout;
        assert!(age + read_and_send <= bound, "{age:?} of {bound:?}");
    }
}

/// The shortest bound leaves time for one lost leader, but not for a second that does not answer.
#[test]
fn max_age_within_shortest_bound() {
    let (bound, timing) = timings().next().unwrap();
    assert!(max_age(timing, 0) + timing.peer_wait() <= bound);
}

/// API keys that must be refused within five seconds of their revocation are accepted for 3.75 s without confirmation:
/// while nothing fails, hosts at the end of the chain are confirmed in time and refuse no callers.
#[test]
fn age_within_key_bound() {
    for (_, timing) in timings() {
        let age = timing.leader_wait() + timing.leader_batch_delay() + timing.peer_wait() * 2;
        assert!(age + timing.peer_wait() < Duration::from_millis(3_750));
    }
}

#[test]
fn is_stale_of_largest_age() {
    assert!(FeedTiming::new(Duration::from_secs(4)).is_stale(Duration::MAX, 1));
}

fn record(number: u16, zone: &str) -> HostRecord {
    HostRecord {
        host: format!("host-{number}").into(),
        zone: zone.into(),
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        link_mbps: 20,
    }
}

fn topology(host: u16, hosts: u16) -> FeedTopology {
    let mut topology = FeedTopology::new(record(host, "z0").host, "z0".into());
    let far = (100..140).map(|number| record(number, "z1"));
    topology.set_hosts((0..hosts).map(|number| record(number, "z0")).chain(far).collect());
    topology
}

fn is_reader(topology: &FeedTopology, now: TimePoint) -> bool {
    topology.plan(now) == FeedPlan::Lead
}

fn sources_of_follower(topology: &FeedTopology, now: TimePoint) -> Vec<Name> {
    match topology.plan(now) {
        FeedPlan::Follow(sources) => sources.into_iter().map(|source| source.host).collect(),
        plan => panic!("{plan:?}"),
    }
}

#[test]
fn plan_alone_in_small_zone() {
    assert_eq!(topology(0, 5).plan(NOW), FeedPlan::Alone);
    assert_eq!(FeedTopology::new("host-0".into(), "z0".into()).plan(NOW), FeedPlan::Alone, "no hosts are known");
    assert_eq!(topology(50, 20).plan(NOW), FeedPlan::Alone, "this host's own entry is not listed yet");
}

/// All hosts agree on the reader and the relays. A zone of any size has one reader and a standby that asks it before
/// the others, and no host is asked by more than two dozen others.
#[test]
fn plan_by_size() {
    for (hosts, relays) in [(6, 1), (22, 1), (26, 1), (27, 4), (49, 7), (75, 10), (143, 17), (200, 23)] {
        let topologies: Vec<FeedTopology> = (0..hosts).map(|host| topology(host, hosts)).collect();
        let plans: Vec<FeedPlan> = topologies.iter().map(|topology| topology.plan(NOW)).collect();
        assert_eq!(plans.iter().filter(|plan| **plan == FeedPlan::Lead).count(), 1, "{hosts} hosts");
        assert_eq!(plans.iter().filter(|plan| matches!(plan, FeedPlan::Relay(_))).count(), relays, "{hosts} hosts");
        let mut first: Vec<&Name> =
            plans.iter().filter_map(|plan| plan.sources().first()).map(|source| &source.host).collect();
        first.sort();
        let most = first.chunk_by(|a, b| a == b).map(<[&Name]>::len).max().unwrap();
        assert!(most <= 24, "{most} of {hosts} ask one host");
    }
}

/// A zone in which every sixteenth host has a faster link than the rest.
fn mixed_topologies(hosts: u16) -> Vec<FeedTopology> {
    let link_mbps_of = |number: u16| if number % 16 == 3 { 1_000 } else { 20 };
    let records = || (0..hosts).map(|number| HostRecord { link_mbps: link_mbps_of(number), ..record(number, "z0") });
    let topologies = (0..hosts).map(|host| {
        let mut topology = FeedTopology::new(record(host, "z0").host, "z0".into());
        topology.set_hosts(records().collect());
        topology
    });
    topologies.collect()
}

/// A host with a small link would need seconds to send ten thousand endpoints to eight others, so hosts with fast links
/// are asked most.
#[test]
fn plan_with_fast_links() {
    for hosts in [160, 320] {
        let topologies = mixed_topologies(hosts);
        let plans: Vec<FeedPlan> = topologies.iter().map(|topology| topology.plan(NOW)).collect();
        let sources = plans.iter().filter(|plan| matches!(plan, FeedPlan::Follow(_))).map(|plan| &plan.sources()[0]);
        let fast = sources.clone().filter(|source| source.link_mbps == 1_000).count();
        assert!(fast * 10 > sources.count() * 9, "{fast} of {hosts} ask hosts with fast links");
        let is_fast_or_no_reader = |plan: &FeedPlan, number: usize| number % 16 == 3 || !matches!(plan, FeedPlan::Lead);
        assert!(plans.iter().enumerate().all(|(number, plan)| is_fast_or_no_reader(plan, number)));
        let mut asked: Vec<&Name> = plans.iter().filter_map(|plan| plan.sources().first()).map(|s| &s.host).collect();
        asked.sort();
        let most = asked.chunk_by(|a, b| a == b).map(<[&Name]>::len).max().unwrap();
        assert!(most <= 40, "{most} of {hosts} ask one host");
    }
}

#[test]
fn snapshot_limit_by_link() {
    assert_eq!(snapshot_limit(20), 1_000);
    assert!(snapshot_limit(1_000) > 20_000, "{} of twice the largest fleet", snapshot_limit(1_000));
    let mut log = FeedLog::default().snapshot_limit(2);
    let objects = (0..3).map(|number| FeedChange { name: format!("o-{number}").into(), object: Some(number) });
    let revision = StoreRevision::new(1, 1);
    let changes = objects.collect();
    log.apply(&FeedUpdate { is_snapshot: true, changes, revision, confirmed_until: NOW, grace_start: None, hops: 0 });
    assert_eq!(log.update_after(None), None);
    assert!(log.snapshot_limit(3).update_after(None).is_some());
}

/// In a large zone, relays ask leaders and the other hosts ask relays; no host asks itself.
#[test]
fn plan_in_two_levels() {
    let topologies: Vec<FeedTopology> = (0..49).map(|host| topology(host, 49)).collect();
    let plan_of = |name: &Name| {
        let host = (0..49).find(|host| record(*host, "z0").host == *name).unwrap();
        topologies[usize::from(host)].plan(NOW)
    };
    for topology in &topologies {
        match topology.plan(NOW) {
            FeedPlan::Lead => {}
            FeedPlan::Relay(sources) => {
                assert_eq!(plan_of(&sources[0].host), FeedPlan::Lead);
                // The standby has only the reader to ask.
                let standby = standby_of(&topologies);
                assert!(sources[1..].iter().all(|source| source.host == standby), "{sources:?}");
                assert_eq!(sources.len(), if topology.plan(NOW) == plan_of(&standby) { 1 } else { 2 });
            }
            FeedPlan::Follow(sources) => {
                assert_eq!(sources.len(), 2);
                assert!(sources.iter().all(|source| matches!(plan_of(&source.host), FeedPlan::Relay(_))));
            }
            FeedPlan::Alone => panic!("host reads the store for itself although all hosts are listed"),
        }
    }
}

/// The host that asks only the reader.
fn standby_of(topologies: &[FeedTopology]) -> Name {
    let is_standby =
        |topology: &FeedTopology| matches!(topology.plan(NOW), FeedPlan::Relay(sources) if sources.len() == 1);
    record(topologies.iter().position(is_standby).unwrap() as u16, "z0").host
}

fn reader_of(topologies: &[FeedTopology]) -> Name {
    record(topologies.iter().position(|topology| is_reader(topology, NOW)).unwrap() as u16, "z0").host
}

/// When the reader is lost, the standby reads the store.
#[test]
fn plan_without_reader() {
    for hosts in [6, 20, 49] {
        let mut topologies: Vec<FeedTopology> = (0..hosts).map(|host| topology(host, hosts)).collect();
        let (reader, standby) = (reader_of(&topologies), standby_of(&topologies));
        for topology in &mut topologies {
            topology.skip_source(NOW, &reader, SkipReason::Failed);
        }
        let readers: Vec<Name> = (0..hosts)
            .filter(|host| is_reader(&topologies[usize::from(*host)], after(1_000)))
            .map(|host| record(host, "z0").host)
            .filter(|host| *host != reader)
            .collect();
        assert_eq!(readers, [standby], "{hosts} hosts");
    }
}

/// When both leaders are lost, one relay reads the store.
#[test]
fn plan_without_leaders() {
    let mut topologies: Vec<FeedTopology> = (0..49).map(|host| topology(host, 49)).collect();
    let leaders = [reader_of(&topologies), standby_of(&topologies)];
    for topology in &mut topologies {
        for leader in &leaders {
            topology.skip_source(NOW, leader, SkipReason::Failed);
        }
    }
    let reading = topologies.iter().filter(|topology| is_reader(topology, after(1_000)));
    assert_eq!(reading.count(), 1);
}

#[test]
fn plan_until_skip_ends() {
    let mut topologies: Vec<FeedTopology> = (0..20).map(|host| topology(host, 20)).collect();
    let follower = topologies.iter().position(|topology| !is_reader(topology, NOW)).unwrap();
    let lost = sources_of_follower(&topologies[follower], NOW);
    for topology in &mut topologies {
        for host in &lost {
            topology.skip_source(NOW, host, SkipReason::Failed);
        }
    }
    let others = topologies.iter().filter(|topology| is_reader(topology, after(1_000))).count();
    assert_eq!(others, 1, "the next host reads the store");
    assert!(
        !sources_of_follower(&topologies[follower], after(9_000)).iter().any(|host| !lost.contains(host)),
        "the skipped hosts are sources again"
    );
}

/// In an outage, every source reports that it has nothing newer. No host becomes the reader because of that.
#[test]
fn plan_unchanged_in_outage() {
    for host in 0..49 {
        let mut topology = topology(host, 49);
        let plan = topology.plan(NOW);
        for source in plan.sources() {
            topology.skip_source(NOW, &source.host, SkipReason::Stale);
        }
        topology.restore_stale_sources();
        assert_eq!(topology.plan(NOW), plan);
    }
}

/// A source that failed stays skipped, also in an outage.
#[test]
fn plan_without_failed_source_in_outage() {
    let mut topology = (0..49).map(|host| topology(host, 49)).find(|topology| !is_reader(topology, NOW)).unwrap();
    let lost = source_names(&topology).remove(0);
    topology.skip_source(NOW, &lost, SkipReason::Failed);
    topology.restore_stale_sources();
    assert!(!source_names(&topology).contains(&lost));
}

fn source_names(topology: &FeedTopology) -> Vec<Name> {
    topology.plan(NOW).sources().iter().map(|source| Name::clone(&source.host)).collect()
}

/// A host that had nothing newer is skipped as a helper for a while, but is still used as a source.
#[test]
fn helpers_without_stale() {
    let mut topology = topology(0, 49);
    let (plan, helpers) = (topology.plan(NOW), topology.helpers(NOW));
    for helper in &helpers {
        topology.skip_helper(NOW, &helper.host, SkipReason::Stale);
    }
    assert!(topology.helpers(NOW).iter().all(|helper| !helpers.contains(helper)));
    assert_eq!(topology.plan(NOW), plan);
    assert_eq!(topology.helpers(after(8_000)), helpers);
    // Sources that had nothing newer are skipped as helpers too.
    for source in plan.sources() {
        topology.skip_source(NOW, &source.host, SkipReason::Stale);
    }
    topology.restore_stale_sources();
    assert!(topology.helpers(NOW).iter().all(|helper| !plan.sources().contains(helper)));
}

/// In an outage at 295 hosts in six zones, where each call fails at once, all hosts together call the store less than
/// 500 times a second for each kind of object, rather than four times a second each.
#[test]
fn retry_delay_call_rate_in_outage() {
    const HOSTS: u32 = 295;
    const LEADERS: u32 = 12;
    let contact_bound = Duration::from_secs(5);
    let mut store = StoreContact::default();
    store.note_failure(NOW);
    let per_second = |pause: Duration| Duration::from_secs(1).as_secs_f64() / pause.as_secs_f64();
    let calls = f64::from(LEADERS) * per_second(store.retry_delay(NOW))
        + f64::from(HOSTS - LEADERS) * per_second(store.follower_retry_delay(NOW, contact_bound));
    assert!(calls < 500.0, "{calls} a second");
}

/// A host that asks two others first, which each wait for changes and then have none, reads the store itself within the
/// contact bound after the store's return, even if a call hangs.
#[test]
fn follower_retry_delay_within_contact() {
    for contact_bound in [4_000, 5_000].map(Duration::from_millis) {
        let timing = FeedTiming::new(contact_bound);
        let mut store = StoreContact::default();
        let mut longest = Duration::ZERO;
        for _ in 0..6 {
            let call = store.call_timeout();
            store.note_failure(NOW);
            let peer_waits = timing.peer_wait() * 2;
            longest = longest.max(call.max(store.follower_retry_delay(NOW, contact_bound)) + peer_waits);
        }
        let read_and_send = Duration::from_millis(50 + 250);
        assert!(longest + read_and_send <= contact_bound, "{longest:?} of {contact_bound:?}");
    }
}
