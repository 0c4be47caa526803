//! What hosts tell each other of the store, and from whom each learns.

use std::net::SocketAddr;
use std::time::Duration;

use hollyhook_core::{
    FeedChange, FeedLog, FeedUpdate, FeedPlan, FeedTopology, FeedTiming, Name, SkipReason, HostRecord, StoreContact,
    StoreRevision, TimePoint, snapshot_limit,
};

const NOW: TimePoint = TimePoint::from_millis(10_000);

fn after(millis: u64) -> TimePoint {
    NOW + Duration::from_millis(millis)
}

fn set(name: &str, value: u32) -> FeedChange<u32> {
    FeedChange { name: name.into(), object: Some(value) }
}

fn gone(name: &str) -> FeedChange<u32> {
    FeedChange { name: name.into(), object: None }
}

/// A revision of the first era.
const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(1, number)
}

fn news(is_snapshot: bool, revision: u64, changes: &[FeedChange<u32>]) -> FeedUpdate<u32> {
    FeedUpdate {
        is_snapshot,
        changes: changes.to_vec(),
        revision: StoreRevision::new(1, revision),
        confirmed_until: NOW,
        grace_start: None,
        hops: 0,
    }
}

/// A log that has everything at revision 10 and one change at 12.
fn log() -> FeedLog<u32> {
    let mut log = FeedLog::default();
    log.apply(&news(true, 10, &[set("a", 1), set("b", 1)]));
    log.apply(&news(false, 12, &[set("a", 2), gone("b")]));
    log
}

#[test]
fn after_known_revision() {
    let log = log();
    assert_eq!(log.update_after(Some(at(10))), Some(news(false, 12, &[set("a", 2), gone("b")])));
    assert_eq!(log.update_after(Some(at(12))), Some(news(false, 12, &[])));
    // Another leader was ahead: nothing is taken back.
    assert_eq!(log.update_after(Some(at(15))).unwrap().changes, []);
}

#[test]
fn after_unknown_revision() {
    let log = log();
    let whole = Some(news(true, 12, &[set("a", 2)]));
    assert_eq!(log.update_after(None), whole);
    assert_eq!(log.update_after(Some(at(9))), whole, "changes from before the list are not known");
}

#[test]
fn after_forgotten_changes() {
    let mut log = log();
    for number in 0..3_000 {
        log.apply(&news(false, 20 + number, &[set("a", number as u32)]));
    }
    assert!(log.update_after(Some(at(12))).unwrap().is_snapshot);
    assert_eq!(log.update_after(Some(at(3_018))).unwrap().changes, [set("a", 2_999)]);
}

/// A leader that has to list again, because the store dropped its history, tells only what differs.
#[test]
fn after_another_list() {
    let mut log = log();
    log.apply(&news(true, 30, &[set("a", 2), set("c", 3)]));
    assert_eq!(log.update_after(Some(at(12))), Some(news(false, 30, &[set("c", 3)])));
    log.apply(&news(true, 40, &[set("c", 3)]));
    assert_eq!(log.update_after(Some(at(30))), Some(news(false, 40, &[gone("a")])));
}

/// A leader that lists again, because the store dropped its history, has not seen what came and went meanwhile; a follower that
/// another leader told of it would keep it for good.
#[test]
fn after_another_list_told_whole_to_who_was_ahead() {
    let mut log = log();
    log.apply(&news(true, 30, &[set("a", 2)]));
    assert_eq!(log.update_after(Some(at(20))), Some(news(true, 30, &[set("a", 2)])));
    assert!(!log.update_after(Some(at(12))).unwrap().is_snapshot);
    assert!(!log.update_after(Some(at(30))).unwrap().is_snapshot);
}

/// The revisions of another store mean nothing.
#[test]
fn after_another_store() {
    let mut log = log();
    log.apply(&news(true, 5, &[set("z", 1)]));
    assert_eq!(log.update_after(Some(at(3))), Some(news(true, 5, &[set("z", 1)])));
    assert_eq!(log.update_after(Some(at(5))), Some(news(false, 5, &[])));
}

/// News of the second era.
fn later(news: FeedUpdate<u32>) -> FeedUpdate<u32> {
    let revision = StoreRevision { era: 2, ..news.revision };
    FeedUpdate { revision, ..news }
}

/// The store came back from an older copy, with lower revisions: those who ask from before are told what differs.
#[test]
fn after_newer_era() {
    let mut log = log();
    log.apply(&later(news(true, 5, &[set("a", 1), set("b", 1)])));
    let differences = later(news(false, 5, &[set("a", 1), set("b", 1)]));
    assert_eq!(log.update_after(Some(at(12))), Some(differences));
    assert_eq!(log.update_after(Some(StoreRevision::new(2, 5))).unwrap().changes, []);
}

/// Who was ahead of the leader when the store went back has what the leader never had, and is told everything.
#[test]
fn after_newer_era_told_whole_to_who_was_ahead() {
    let mut log = log();
    log.apply(&later(news(true, 5, &[set("a", 1)])));
    assert_eq!(log.update_after(Some(at(13))), Some(later(news(true, 5, &[set("a", 1)]))));
    // So is who comes from an era that the leader never heard of.
    log.apply(&FeedUpdate { revision: StoreRevision::new(4, 6), ..news(true, 6, &[set("a", 1)]) });
    assert!(log.update_after(Some(StoreRevision::new(3, 1))).unwrap().is_snapshot);
    assert!(!log.update_after(Some(StoreRevision::new(2, 5))).unwrap().is_snapshot);
}

/// What is still on its way of before replaces nothing.
#[test]
fn older_era_replaces_nothing() {
    let mut log = log();
    log.apply(&later(news(true, 5, &[set("a", 7)])));
    let known = log.update_after(None);
    log.apply(&news(true, 90, &[set("a", 1)]));
    log.apply(&news(false, 91, &[gone("a")]));
    assert_eq!(log.update_after(None), known);
}

/// Who has heard that the store came back is told nothing by one who has not.
#[test]
fn who_knows_newer_era_not_told() {
    assert_eq!(log().update_after(Some(StoreRevision::new(2, 1))), None);
}

#[test]
fn after_more_than_can_be_told() {
    let objects: Vec<FeedChange<u32>> = (0..3_000).map(|number| set(&number.to_string(), number)).collect();
    let mut log = FeedLog::default();
    log.apply(&news(true, 10, &objects));
    assert_eq!(log.update_after(None), None);
    assert_eq!(log.update_after(Some(at(10))), Some(news(false, 10, &[])));
}

fn told(hops: u32, news: FeedUpdate<u32>) -> FeedUpdate<u32> {
    FeedUpdate { hops, ..news }
}

/// What was heard from another host is told on once: hosts that follow each other in a circle would never notice that the
/// store is away.
#[test]
fn after_hearsay() {
    let mut log = log();
    let change = news(false, 13, &[set("c", 1)]);
    log.apply(&told(2, change.clone()));
    assert_eq!(log.update_after(Some(at(12))), None);
    log.apply(&told(u32::MAX, news(false, 13, &[])));
    assert_eq!(log.update_after(Some(at(12))), None, "who was helped tells nobody");
    log.apply(&told(1, news(false, 13, &[])));
    assert_eq!(log.update_after(Some(at(12))), Some(told(1, change.clone())));
    log.apply(&news(false, 13, &[]));
    assert_eq!(log.update_after(Some(at(12))), Some(change));
    assert_eq!(FeedLog::<u32>::default().update_after(None), None);
}

/// Hosts that ask only each other, in a circle, never make what they know look newer: it becomes too old for all of them.
#[test]
fn after_a_circle() {
    let mut logs = [log(), log(), log()];
    for turn in 0..9 {
        if let Some(heard) = logs[turn % 3].update_after(Some(at(12))) {
            logs[(turn + 1) % 3].apply(&told(heard.hops + 1, heard));
        }
    }
    assert!(logs.iter().filter_map(|log| log.update_after(Some(at(12)))).all(|heard| heard.confirmed_until == NOW));
}

/// The bounds of sites: the smallest for which hosts share what they read, and those of larger ones.
const BOUNDS: [u64; 3] = [2_000, 3_000, 4_000];

fn timings() -> impl Iterator<Item = (Duration, FeedTiming)> {
    BOUNDS.into_iter().map(Duration::from_millis).map(|bound| (bound, FeedTiming::new(bound)))
}

/// What leaders and relays know while nothing fails is never too old: a leader's watch and its pause for gathering, and one
/// wait more for each host that tells it on.
#[test]
fn is_stale_not_while_all_is_well() {
    for (_, timing) in timings() {
        let known = timing.leader_wait() + timing.leader_batch_delay();
        for hops in 0..2 {
            assert!(!timing.is_stale(known + timing.peer_wait() * hops, hops));
        }
    }
}

#[test]
fn is_stale_after_a_missed_watch() {
    for (_, timing) in timings() {
        let known = timing.leader_wait() + timing.leader_batch_delay() + timing.leader_wait();
        assert!(timing.is_stale(known, 0));
        assert!(timing.is_stale(known + timing.peer_wait() * 2, 1));
    }
}

/// The age from which on what a host knows is too old, in milliseconds.
fn most_age(timing: FeedTiming, hops: u32) -> Duration {
    let ages = (0..10_000).map(Duration::from_millis);
    ages.take_while(|age| !timing.is_stale(*age, hops)).last().unwrap()
}

/// A leader loses the store just before a change, and the second one is silent: who asked the first reads the store itself
/// and has sent its last request to what left before the bound.
#[test]
fn most_age_within_bound() {
    let read_and_send = Duration::from_millis(50 + 250);
    for (bound, timing) in timings().skip(1) {
        let silent = timing.peer_timeout(timing.peer_wait());
        let known = most_age(timing, 0) + timing.peer_wait() + silent;
        assert!(known + read_and_send <= bound, "{known:?} of {bound:?}");
    }
}

/// At the shortest bound there is time for one lost leader, not for a second that is silent.
#[test]
fn most_age_within_shortest_bound() {
    let (bound, timing) = timings().next().unwrap();
    assert!(most_age(timing, 0) + timing.peer_wait() <= bound);
}

/// Keys that may outlive their end by five seconds are honoured for 3.75 s without word of them: callers of hosts at the
/// end of the chain are not refused while all is well.
#[test]
fn known_age_within_key_bound() {
    for (_, timing) in timings() {
        let known = timing.leader_wait() + timing.leader_batch_delay() + timing.peer_wait() * 2;
        assert!(known + timing.peer_wait() < Duration::from_millis(3_750));
    }
}

#[test]
fn is_stale_of_absurd_age() {
    assert!(FeedTiming::new(Duration::from_secs(4)).is_stale(Duration::MAX, 1));
}

fn member(number: u16, zone: &str) -> HostRecord {
    HostRecord {
        host: format!("host-{number}").into(),
        zone: zone.into(),
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        link_mbps: 20,
    }
}

fn roster(host: u16, hosts: u16) -> FeedTopology {
    let mut roster = FeedTopology::new(member(host, "z0").host, "z0".into());
    let far = (100..140).map(|number| member(number, "z1"));
    roster.set_hosts((0..hosts).map(|number| member(number, "z0")).chain(far).collect());
    roster
}

fn leads(roster: &FeedTopology, now: TimePoint) -> bool {
    roster.plan(now) == FeedPlan::Lead
}

fn followed(roster: &FeedTopology, now: TimePoint) -> Vec<Name> {
    match roster.plan(now) {
        FeedPlan::Follow(leaders) => leaders.into_iter().map(|leader| leader.host).collect(),
        plan => panic!("{plan:?}"),
    }
}

#[test]
fn plan_alone_in_small_zones() {
    assert_eq!(roster(0, 5).plan(NOW), FeedPlan::Alone);
    assert_eq!(FeedTopology::new("host-0".into(), "z0".into()).plan(NOW), FeedPlan::Alone, "nobody is known");
    assert_eq!(roster(50, 20).plan(NOW), FeedPlan::Alone, "the own entry is not there yet");
}

/// All hosts agree on who leads and who tells on; a zone of any size has one that reads the store, another that asks it before the
/// rest, and nobody tells more than a dozen or two.
#[test]
fn plan_by_size() {
    for (hosts, relays) in [(6, 1), (22, 1), (26, 1), (27, 4), (49, 7), (75, 10), (143, 17), (200, 23)] {
        let rosters: Vec<FeedTopology> = (0..hosts).map(|host| roster(host, hosts)).collect();
        let plans: Vec<FeedPlan> = rosters.iter().map(|roster| roster.plan(NOW)).collect();
        assert_eq!(plans.iter().filter(|plan| **plan == FeedPlan::Lead).count(), 1, "{hosts} hosts");
        assert_eq!(plans.iter().filter(|plan| matches!(plan, FeedPlan::Relay(_))).count(), relays, "{hosts} hosts");
        let mut first: Vec<&Name> =
            plans.iter().filter_map(|plan| plan.sources().first()).map(|source| &source.host).collect();
        first.sort();
        let most = first.chunk_by(|a, b| a == b).map(<[&Name]>::len).max().unwrap();
        assert!(most <= 24, "{most} of {hosts} ask one host");
    }
}

/// A zone in which ten hosts have a larger link than the rest.
fn mixed_rosters(hosts: u16) -> Vec<FeedTopology> {
    let strength = |number: u16| if number % 16 == 3 { 1_000 } else { 20 };
    let members = || (0..hosts).map(|number| HostRecord { link_mbps: strength(number), ..member(number, "z0") });
    let rosters = (0..hosts).map(|host| {
        let mut roster = FeedTopology::new(member(host, "z0").host, "z0".into());
        roster.set_hosts(members().collect());
        roster
    });
    rosters.collect()
}

/// A host with a small link that told eight others of ten thousand endpoints would do so for seconds.
#[test]
fn plan_with_strong_hosts_that_carry() {
    for hosts in [160, 320] {
        let rosters = mixed_rosters(hosts);
        let plans: Vec<FeedPlan> = rosters.iter().map(|roster| roster.plan(NOW)).collect();
        let sources = plans.iter().filter(|plan| matches!(plan, FeedPlan::Follow(_))).map(|plan| &plan.sources()[0]);
        let strong = sources.clone().filter(|source| source.link_mbps == 1_000).count();
        assert!(strong * 10 > sources.count() * 9, "{strong} of {hosts} ask strong hosts");
        let strong = |plan: &FeedPlan, number: usize| number % 16 == 3 || !matches!(plan, FeedPlan::Lead);
        assert!(plans.iter().enumerate().all(|(number, plan)| strong(plan, number)));
        let mut asked: Vec<&Name> = plans.iter().filter_map(|plan| plan.sources().first()).map(|s| &s.host).collect();
        asked.sort();
        let most = asked.chunk_by(|a, b| a == b).map(<[&Name]>::len).max().unwrap();
        assert!(most <= 40, "{most} of {hosts} ask one host");
    }
}

#[test]
fn most_told_by_link() {
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

/// In a large zone relays ask leaders and the others ask relays; nobody asks itself.
#[test]
fn plan_in_two_levels() {
    let rosters: Vec<FeedTopology> = (0..49).map(|host| roster(host, 49)).collect();
    let plan_of = |name: &Name| {
        let host = (0..49).find(|host| member(*host, "z0").host == *name).unwrap();
        rosters[usize::from(host)].plan(NOW)
    };
    for roster in &rosters {
        match roster.plan(NOW) {
            FeedPlan::Lead => {}
            FeedPlan::Relay(sources) => {
                assert_eq!(plan_of(&sources[0].host), FeedPlan::Lead);
                // The standby has nobody else to ask.
                let standby = standby_of(&rosters);
                assert!(sources[1..].iter().all(|source| source.host == standby), "{sources:?}");
                assert_eq!(sources.len(), if roster.plan(NOW) == plan_of(&standby) { 1 } else { 2 });
            }
            FeedPlan::Follow(sources) => {
                assert_eq!(sources.len(), 2);
                assert!(sources.iter().all(|source| matches!(plan_of(&source.host), FeedPlan::Relay(_))));
            }
            FeedPlan::Alone => panic!("all are known"),
        }
    }
}

/// The host that asks the reader before the others, and has nobody else to ask.
fn standby_of(rosters: &[FeedTopology]) -> Name {
    let is_standby = |roster: &FeedTopology| matches!(roster.plan(NOW), FeedPlan::Relay(sources) if sources.len() == 1);
    member(rosters.iter().position(is_standby).unwrap() as u16, "z0").host
}

fn reader_of(rosters: &[FeedTopology]) -> Name {
    member(rosters.iter().position(|roster| leads(roster, NOW)).unwrap() as u16, "z0").host
}

/// Where the reader is lost, the standby reads, and the next is its standby.
#[test]
fn plan_without_reader() {
    for hosts in [6, 20, 49] {
        let mut rosters: Vec<FeedTopology> = (0..hosts).map(|host| roster(host, hosts)).collect();
        let (reader, standby) = (reader_of(&rosters), standby_of(&rosters));
        for roster in &mut rosters {
            roster.skip_source(NOW, &reader, SkipReason::Failed);
        }
        let readers: Vec<Name> = (0..hosts)
            .filter(|host| leads(&rosters[usize::from(*host)], after(1_000)))
            .map(|host| member(host, "z0").host)
            .filter(|host| *host != reader)
            .collect();
        assert_eq!(readers, [standby], "{hosts} hosts");
    }
}

/// Where both leaders are lost, relays take their place.
#[test]
fn plan_of_relays_without_leaders() {
    let mut rosters: Vec<FeedTopology> = (0..49).map(|host| roster(host, 49)).collect();
    let leaders = [reader_of(&rosters), standby_of(&rosters)];
    for roster in &mut rosters {
        for leader in &leaders {
            roster.skip_source(NOW, leader, SkipReason::Failed);
        }
    }
    let reading = rosters.iter().filter(|roster| leads(roster, after(1_000)));
    assert_eq!(reading.count(), 1);
}

#[test]
fn plan_without_a_lost_leader() {
    let mut rosters: Vec<FeedTopology> = (0..20).map(|host| roster(host, 20)).collect();
    let follower = rosters.iter().position(|roster| !leads(roster, NOW)).unwrap();
    let lost = followed(&rosters[follower], NOW);
    for roster in &mut rosters {
        for host in &lost {
            roster.skip_source(NOW, host, SkipReason::Failed);
        }
    }
    let others = rosters.iter().filter(|roster| leads(roster, after(1_000))).count();
    assert_eq!(others, 1, "the next leads");
    assert!(!followed(&rosters[follower], after(9_000)).iter().any(|host| !lost.contains(host)), "they are back");
}

/// In an outage everyone says that it knows nothing new. Nobody takes itself for a leader because of that.
#[test]
fn plan_kept_in_an_outage() {
    for host in 0..49 {
        let mut roster = roster(host, 49);
        let plan = roster.plan(NOW);
        for source in plan.sources() {
            roster.skip_source(NOW, &source.host, SkipReason::Stale);
        }
        roster.restore_stale_sources();
        assert_eq!(roster.plan(NOW), plan);
    }
}

/// What is lost stays passed over, also in an outage.
#[test]
fn plan_without_the_lost_in_an_outage() {
    let mut roster = (0..49).map(|host| roster(host, 49)).find(|roster| !leads(roster, NOW)).unwrap();
    let lost = followed_or_relayed(&roster).remove(0);
    roster.skip_source(NOW, &lost, SkipReason::Failed);
    roster.restore_stale_sources();
    assert!(!followed_or_relayed(&roster).contains(&lost));
}

fn followed_or_relayed(roster: &FeedTopology) -> Vec<Name> {
    roster.plan(NOW).sources().iter().map(|source| Name::clone(&source.host)).collect()
}

/// Who knew nothing newer is not asked for help again for a while, but is followed all the same.
#[test]
fn helpers_without_the_outdated() {
    let mut roster = roster(0, 49);
    let (plan, helpers) = (roster.plan(NOW), roster.helpers(NOW));
    for helper in &helpers {
        roster.skip_helper(NOW, &helper.host, SkipReason::Stale);
    }
    assert!(roster.helpers(NOW).iter().all(|helper| !helpers.contains(helper)));
    assert_eq!(roster.plan(NOW), plan);
    assert_eq!(roster.helpers(after(8_000)), helpers);
    // The same of those that were followed.
    for source in plan.sources() {
        roster.skip_source(NOW, &source.host, SkipReason::Stale);
    }
    roster.restore_stale_sources();
    assert!(roster.helpers(NOW).iter().all(|helper| !plan.sources().contains(helper)));
}

/// An outage before 295 hosts in six zones, where each call fails at once: the store is asked less than 500 times a second by
/// all of them for each kind of object, instead of four times by each host.
#[test]
fn calls_in_an_outage() {
    const HOSTS: u32 = 295;
    const LEADERS: u32 = 12;
    let contact = Duration::from_secs(5);
    let mut store = StoreContact::default();
    store.note_failure(NOW);
    let a_second = |pause: Duration| Duration::from_secs(1).as_secs_f64() / pause.as_secs_f64();
    let calls = f64::from(LEADERS) * a_second(store.retry_delay(NOW))
        + f64::from(HOSTS - LEADERS) * a_second(store.follower_retry_delay(NOW, contact));
    assert!(calls < 500.0, "{calls} a second");
}

/// A host that asks two others first, which hold its questions and then know nothing, reads the store itself within the
/// contact bound after its return, even where a call hangs.
#[test]
fn pause_of_told_within_contact() {
    for contact in [4_000, 5_000].map(Duration::from_millis) {
        let timing = FeedTiming::new(contact);
        let mut store = StoreContact::default();
        let mut longest = Duration::ZERO;
        for _ in 0..6 {
            let call = store.call_timeout();
            store.note_failure(NOW);
            let questions = timing.peer_wait() * 2;
            longest = longest.max(call.max(store.follower_retry_delay(NOW, contact)) + questions);
        }
        let read_and_send = Duration::from_millis(50 + 250);
        assert!(longest + read_and_send <= contact, "{longest:?} of {contact:?}");
    }
}
