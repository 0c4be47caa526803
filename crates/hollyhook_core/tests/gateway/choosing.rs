use std::time::Duration;

use hollyhook_core::{
    EndpointId, EndpointRecord, EndpointTable, EngineCandidate, EngineReport, EngineRun, EngineSpeed, HolderLimits,
    RouteQuery, StoreRevision, TimePoint, choose_engine, excess_wait, is_certain_choice, place_held_prompt,
};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

fn record(id: &str, zone: &str, port: u16, registered: u64) -> EndpointRecord {
    let mut record = EndpointRecord::new(id.into(), "model".into(), zone.into(), ([10, 0, 0, 1], port).into());
    record.registered = StoreRevision::new(0, registered);
    record.capacity(64)
}

fn table(zones: &[&str], engines_per_zone: u16) -> EndpointTable {
    let mut table = EndpointTable::new("z0".into());
    for (number, zone) in zones.iter().enumerate() {
        for engine in 0..engines_per_zone {
            let port = 1_000 * (number as u16 + 1) + engine;
            table.upsert(record(&format!("{zone}-{engine}"), zone, port, 1));
        }
    }
    table
}

fn ids(records: &[EndpointRecord]) -> Vec<&str> {
    records.iter().map(|record| &*record.id).collect()
}

fn first_choice(table: &EndpointTable, key: u64) -> EndpointId {
    EndpointId::clone(&table.shortlist(NOW, &query(), key, 1)[0].id)
}

fn query() -> RouteQuery<'static> {
    RouteQuery::new("model").slots(10)
}

const NOW: TimePoint = TimePoint::from_millis(10_000);

fn after(millis: u64) -> TimePoint {
    NOW + Duration::from_millis(millis)
}

/// Two hosts agree on the engines for a prompt even if they know different loads of other engines.
#[test]
fn shortlist_same_on_all_hosts() {
    let (one, mut two) = (table(&["z0", "z1"], 8), table(&["z0", "z1"], 8));
    let list = one.shortlist(NOW, &query(), 77, 2);
    let other = two.shortlist(NOW, &query(), 78, 8);
    let other = other.iter().find(|record| !ids(&list).contains(&&*record.id)).unwrap();
    two.record_open(NOW, &other.id);
    two.record_open(NOW, &other.id);
    assert_eq!(ids(&list), ids(&two.shortlist(NOW, &query(), 77, 2)));
    assert!(list.iter().all(|record| &*record.zone == "z0"), "engines of the own zone go first");
}

/// Preferred engines go first among those of about the same cost, but not before cheaper ones.
#[test]
fn shortlist_prefers_among_equals() {
    let mut table = table(&["z0"], 8);
    let usual = table.shortlist(NOW, &query(), 77, 2);
    let preferred = [EndpointId::clone(&usual[1].id)];
    assert_eq!(table.shortlist(NOW, &query().prefer(&preferred), 77, 1)[0].id, preferred[0]);
    for _ in 0..6 {
        table.record_open(NOW, &preferred[0]);
    }
    assert_eq!(table.shortlist(NOW, &query().prefer(&preferred), 77, 1)[0].id, usual[0].id);
}

/// A prompt's usual engine is not its first choice while it is clearly busier than the others.
#[test]
fn shortlist_avoids_busy_usual_engine() {
    let mut table = table(&["z0"], 8);
    let usual = first_choice(&table, 77);
    for _ in 0..3 {
        table.record_open(NOW, &usual);
    }
    assert_ne!(table.shortlist(NOW, &query(), 77, 1)[0].id, usual);
}

/// Over many prompts, no engine is the first choice for far more than its share.
#[test]
fn shortlist_spreads() {
    let table = table(&["z0"], 8);
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..8_000_u64 {
        let engine = first_choice(&table, number);
        *counts.entry(engine).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 8);
    assert!(counts.values().all(|count| (850..1_150).contains(count)), "{counts:?}");
}

#[test]
fn shortlist_excludes_ejected_and_zone() {
    let mut table = table(&["z0", "z1"], 2);
    table.record_failure(NOW, "z0-0");
    let list = table.shortlist(after(100), &query(), 77, 9);
    assert!(!ids(&list).contains(&"z0-0"));
    let zone = "z0".into();
    let elsewhere = table.shortlist(after(100), &query().avoid_zone(&zone), 77, 9);
    assert!(elsewhere.iter().all(|record| &*record.zone == "z1"));
}

/// Two engines of a zone that fail at almost the same time make the zone suspect: its other engines are avoided for a
/// while.
#[test]
fn zone_suspect_after_two_losses() {
    let mut table = table(&["z0", "z1"], 4);
    let mut rng = Pcg64::seed_from_u64(1);
    table.record_failure(NOW, "z0-0");
    assert_eq!(
        &*table.shortlist(after(10), &query(), 77, 1)[0].zone,
        "z0",
        "a single failure does not make the zone suspect"
    );
    table.record_failure(after(20), "z0-1");
    assert_eq!(&*table.shortlist(after(30), &query(), 77, 1)[0].zone, "z1");
    let chosen = table.choose(after(30), &query(), &mut rng).unwrap();
    assert!(chosen.starts_with("z1"));
    assert_eq!(&*table.shortlist(after(1_600), &query(), 77, 1)[0].zone, "z0", "the zone is no longer suspect");
}

/// Two failures of the same engine do not make its zone suspect.
#[test]
fn zone_not_suspect_after_one_engine() {
    let mut table = table(&["z0", "z1"], 4);
    table.record_failure(NOW, "z0-0");
    table.record_failure(after(10), "z0-0");
    assert_eq!(&*table.shortlist(after(30), &query(), 77, 1)[0].zone, "z0");
}

/// An endpoint whose answers are failures is avoided although it answers; the kind of failure does not matter.
#[test]
fn failing_endpoint_avoided() {
    let mut table = table(&["z0"], 2);
    for _ in 0..10 {
        table.record_answer(NOW, "z0-0", true);
        table.record_answer(NOW, "z0-1", false);
    }
    let mut rng = Pcg64::seed_from_u64(1);
    let chosen = (0..50).filter(|_| &*table.choose(NOW, &query(), &mut rng).unwrap() == "z0-0").count();
    assert_eq!(chosen, 0);
}

/// A removed endpoint is found neither by its address nor by its name, and a moved one not by its former address.
#[test]
fn displaced_by_ignores_removed_and_moved() {
    let mut table = table(&["z0"], 3);
    let later = |port| record("later", "z0", port, 9);
    assert_eq!(table.displaced_by(&later(1_000)), ["z0-0".into()]);
    table.remove("z0-0");
    assert_eq!(table.displaced_by(&later(1_000)), [] as [EndpointId; 0]);
    assert!(table.registered_as("z0-0").is_empty());

    table.upsert(record("z0-1", "z0", 5_000, 1));
    assert_eq!(table.displaced_by(&later(1_001)), [] as [EndpointId; 0], "z0-1 has moved to another address");
    assert_eq!(table.displaced_by(&later(5_000)), ["z0-1".into()]);
    assert_eq!(table.registered_as("z0-1"), ["z0-1".into()]);

    table.retain(|id| &**id != "z0-2");
    assert_eq!(table.displaced_by(&later(1_002)), [] as [EndpointId; 0]);
    assert!(table.registered_as("z0-2").is_empty());
}

/// A later registration of an address displaces the earlier one, whose entry is still in the platform's list.
#[test]
fn displaced_by_later_registration() {
    let mut table = table(&["z0"], 1);
    let later = record("next", "z0", 1_000, 2);
    assert_eq!(table.displaced_by(&later), ["z0-0".into()]);
    table.remove("z0-0");
    table.upsert(later);
    let earlier = record("z0-0", "z0", 1_000, 1);
    assert!(table.is_displaced(&earlier, |_| true));
    assert!(!table.is_displaced(&record("elsewhere", "z0", 1_001, 1), |_| true));
}

fn incarnation(entry: &str, started: u64, port: u16, registered: u64) -> EndpointRecord {
    let record = record(&format!("{entry}@{started}"), "z0", port, registered);
    record.incarnation_of(entry.into(), Some(started))
}

/// Open requests and failures of an engine do not count for its next incarnation under the same entry.
#[test]
fn restart_has_fresh_record() {
    let mut table = table(&["z0"], 2);
    table.upsert(incarnation("e", 1_000, 7, 5));
    table.record_open(NOW, "e@1000");
    let later = incarnation("e", 2_000, 7, 5);
    assert_eq!(table.displaced_by(&later), ["e@1000".into()]);
    table.remove("e@1000");
    table.upsert(later);
    table.record_close("e@1000");
    table.record_failure(NOW, "e@1000");
    let record = table.get("e@2000").unwrap();
    assert_eq!((record.open, record.is_ejected(NOW)), (0, false));
    assert_eq!(table.registered_as("e"), ["e@2000".into()]);
}

/// A late read of an entry does not bring back an earlier incarnation, even if the later one has another address.
#[test]
fn restart_not_undone_by_old_entry() {
    let mut table = table(&["z0"], 2);
    table.upsert(incarnation("e", 2_000, 8, 5));
    assert!(table.is_displaced(&incarnation("e", 1_000, 7, 5), |_| true));
    assert!(!table.is_displaced(&incarnation("e", 3_000, 7, 5), |_| true));
}

/// A registration for an unknown service does not displace an earlier endpoint at the same address.
#[test]
fn unknown_service_displaces_no_endpoint() {
    let mut table = table(&["z0"], 1);
    let mut stranger = record("stranger", "z0", 1_000, 9);
    stranger.service = "unheard-of".into();
    table.upsert(stranger);
    assert!(!table.is_displaced(&record("z0-0", "z0", 1_000, 1), |service| service == "model"));
}

fn run(id: &str, events: u64) -> EngineRun {
    EngineRun { attempt_id: id.into(), tokens: 0, events, priority: None }
}

fn candidate(id: &str, running: u64, waiting: u32, used_tokens: u64) -> EngineCandidate {
    let runs = (0..running).map(|number| run(&number.to_string(), 9));
    let report =
        EngineReport { waiting, used_tokens, total_tokens: 88_000, runs: runs.collect(), ..EngineReport::default() };
    EngineCandidate {
        record: record(id, "z0", 1, 1),
        report: Some(report),
        held_tokens: 0,
        speed: EngineSpeed::default(),
    }
}

fn reading(mut candidate: EngineCandidate, prompts: u32) -> EngineCandidate {
    candidate.report.as_mut().unwrap().reading = prompts;
    candidate
}

fn chosen(candidates: &[EngineCandidate]) -> Option<&str> {
    choose_engine(candidates, 9_000).map(|candidate| &*candidate.record.id)
}

/// Engines read prompts one after another; a prompt of 8,000 tokens takes a second.
#[test]
fn engine_without_waiting_prompts() {
    assert_eq!(chosen(&[candidate("a", 1, 2, 0), candidate("b", 6, 0, 0)]), Some("b"));
    assert_eq!(chosen(&[reading(candidate("a", 0, 0, 0), 2), candidate("b", 2, 0, 0)]), Some("b"));
    // For engines of about the same load, the order that all hosts share decides, so that a prompt reaches its cache.
    assert_eq!(chosen(&[candidate("a", 2, 0, 0), candidate("b", 0, 0, 0)]), Some("a"));
}

/// An engine that is a certain choice is also chosen if all other engines are idle.
#[test]
fn engine_certain_without_others() {
    let mut certain = 0;
    for (running, waiting, used, prompts) in (0..6)
        .flat_map(|running| (0..3).flat_map(move |waiting| (0..2).map(move |full| (running, waiting, full))))
        .flat_map(|(running, waiting, full)| (0..3).map(move |prompts| (running, waiting, full * 85_000, prompts)))
    {
        let first = reading(candidate("a", running, waiting, used), prompts);
        let idle = [candidate("b", 0, 0, 0), candidate("c", 0, 0, 0)];
        let all = [vec![first.clone()], idle.to_vec()].concat();
        if is_certain_choice(&first, 9_000) {
            certain += 1;
            assert_eq!(chosen(&all), Some("a"), "{running} {waiting} {used} {prompts}");
        }
    }
    assert_eq!(certain, 4, "an engine with up to two runs, or with one prompt being read and no run");
    let mut silent = candidate("a", 0, 0, 0);
    silent.report = None;
    assert!(!is_certain_choice(&silent, 9_000));
}

#[test]
fn engine_with_memory() {
    assert_eq!(chosen(&[candidate("a", 1, 0, 80_000), candidate("b", 5, 2, 40_000)]), Some("b"));
}

#[test]
fn engine_that_answered() {
    let silent = EngineCandidate { report: None, ..candidate("a", 0, 0, 0) };
    assert_eq!(chosen(&[silent.clone(), candidate("b", 9, 9, 0)]), Some("b"));
    assert_eq!(chosen(&[silent]), None);
}

/// The requests that this host has just sent are not yet in the engines' reports.
#[test]
fn engine_cost_counts_unreported_requests() {
    let mut table = table(&["z0"], 2);
    table.record_open(NOW, "z0-0");
    let report = candidate("", 0, 0, 0).report;
    let as_of = |millis| {
        let known = |id| {
            let record = table.as_of(after(millis), id).unwrap();
            EngineCandidate { record, report: report.clone(), held_tokens: 0, speed: EngineSpeed::default() }
        };
        [known("z0-0"), known("z0-1")]
    };
    assert_eq!(chosen(&as_of(100)), Some("z0-1"));
    assert_eq!(chosen(&as_of(400)), Some("z0-0"), "the report is recent enough to contain the request");
}

/// Under load that exceeds the engines' capacity, a request is refused only if it could not end before its caller times
/// out.
#[test]
fn excess_wait_by_waiting_prompts() {
    let wait = |waiting, left| {
        let report = candidate("a", 4, waiting, 0).report.unwrap();
        excess_wait(&report, EngineSpeed::default(), 7_000, Duration::from_secs(left))
    };
    assert_eq!(wait(0, 25), None);
    assert_eq!(wait(19, 25), None, "a late answer is better than none");
    // 30 prompts ahead and its own take a second each, and its events take 4.2 s.
    assert_eq!(wait(30, 25), Some(Duration::from_millis(10_200)));
    assert_eq!(wait(0, 5), Some(Duration::from_millis(200)));
}

/// The likely holders of a prompt do not depend on the requests that this host has sent meanwhile.
#[test]
fn likely_holders_whatever_the_load() {
    let mut table = table(&["z0", "z1"], 6);
    let before = table.likely_holders(NOW, &query(), 77, HolderLimits { own_zone: 2, other_zone: 1 });
    for record in table.likely_holders(NOW, &query(), 77, HolderLimits { own_zone: 1, other_zone: 1 }) {
        for _ in 0..9 {
            table.record_open(NOW, &record.id);
        }
    }
    let holders = table.likely_holders(NOW, &query(), 77, HolderLimits { own_zone: 2, other_zone: 1 });
    assert_eq!(ids(&holders), ids(&before));
    let zones: Vec<&str> = holders.iter().map(|record| &*record.zone).collect();
    assert_eq!(zones, ["z0", "z0", "z1"]);
}

/// Without load, the likely holders of the own zone are the engines that the prompt is sent to.
#[test]
fn likely_holders_agree_with_shortlist() {
    let table = table(&["z0", "z1"], 6);
    for number in 0..50 {
        let holders = table.likely_holders(NOW, &query(), number, HolderLimits { own_zone: 2, other_zone: 1 });
        assert_eq!(ids(&holders)[..2], ids(&table.shortlist(NOW, &query(), number, 2)));
    }
}

fn holding(tokens: u64, candidate: EngineCandidate) -> EngineCandidate {
    EngineCandidate { held_tokens: tokens, ..candidate }
}

/// The engine that the request is sent to, and the engine that its prompt is fetched from.
fn held(candidates: &[EngineCandidate]) -> Option<(&str, Option<&str>)> {
    let placement = place_held_prompt(candidates, 9_000, "z0")?;
    let fetched = placement.is_fetched().then_some(&*placement.holder.record.id);
    Some((&*placement.candidate.record.id, fetched))
}

/// After a loss of hosts, callers reconnect with prompts that engines have just read.
#[test]
fn held_at_the_holder_of_most() {
    let others = [candidate("a", 0, 0, 0), holding(5_000, candidate("b", 1, 0, 0))];
    assert_eq!(held(&others), Some(("b", None)));
    let most = holding(8_000, candidate("c", 1, 0, 0));
    assert_eq!(held(&[others[1].clone(), most]), Some(("c", None)));
    assert_eq!(held(&[candidate("a", 0, 0, 0)]), None);
    assert_eq!(held(&[holding(16, candidate("a", 0, 0, 0))]), None, "reading 16 tokens costs less than fetching them");
}

#[test]
fn held_fetched_from_a_busy_holder() {
    let free = candidate("b", 1, 0, 0);
    let fetched = Some(("b", Some("a")));
    assert_eq!(held(&[holding(8_000, candidate("a", 0, 1, 0)), free.clone()]), fetched);
    assert_eq!(held(&[holding(8_000, candidate("a", 0, 0, 80_000)), free.clone()]), fetched);
    assert_eq!(held(&[holding(8_000, reading(candidate("a", 0, 0, 0), 2)), free.clone()]), fetched);
    let silent = EngineCandidate { report: None, ..candidate("a", 0, 0, 0) };
    assert_eq!(held(&[holding(8_000, silent), free]), None, "an engine that does not answer is not used as a holder");
}

/// A request goes to an engine of another zone only if that engine is clearly less loaded.
#[test]
fn held_in_the_own_zone_first() {
    let far = |running| EngineCandidate { record: record("far", "z1", 1, 1), ..candidate("", running, 0, 0) };
    let holder = holding(8_000, reading(candidate("a", 0, 0, 0), 1));
    assert_eq!(held(&[holder.clone(), far(1)]), Some(("a", None)));
    assert_eq!(held(&[holding(8_000, candidate("a", 0, 1, 0)), far(0)]), Some(("far", Some("a"))));
    assert_eq!(held(&[holder, holding(9_000, far(0))]), Some(("far", None)));
}
