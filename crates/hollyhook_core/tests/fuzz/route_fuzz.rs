use std::collections::BTreeMap;

use hollyhook_core::{
    EndpointId, EndpointRecord, EndpointState, EndpointSubset, EndpointTable, LoadReport, ModelBinding, RouteQuery,
    TimePoint,
};
use proptest::prelude::*;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

use crate::harness::fuzz;

const COUNT: usize = 6;
const SLOTS: u32 = 4;

/// The reference model's state of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct EndpointModel {
    is_leaving: bool,
    is_other_version: bool,
    has_failed: bool,
    open: u32,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Choose(u64),
    Avoid(u64, usize),
    Close(usize),
    Fail(usize),
    Succeed(usize),
    Leave(usize),
    Return(usize),
}

fn steps() -> impl Strategy<Value = (u64, Vec<Step>)> {
    let endpoint = || 0..COUNT;
    let step = prop_oneof![
        6 => any::<u64>().prop_map(Step::Choose),
        2 => (any::<u64>(), endpoint()).prop_map(|(seed, endpoint)| Step::Avoid(seed, endpoint)),
        3 => endpoint().prop_map(Step::Close),
        1 => endpoint().prop_map(Step::Fail),
        1 => endpoint().prop_map(Step::Succeed),
        1 => endpoint().prop_map(Step::Leave),
        1 => endpoint().prop_map(Step::Return),
    ];
    (0..4_u64, proptest::collection::vec(step, 1..50))
}

fn name(number: usize) -> EndpointId {
    EndpointId::from(format!("e{number}"))
}

fn table(other_versions: u64) -> (EndpointTable, BTreeMap<usize, EndpointModel>) {
    let mut table = EndpointTable::new("zone-0".into());
    let mut models = BTreeMap::new();
    for number in 0..COUNT {
        let is_other_version = (number as u64) < other_versions;
        let version = if is_other_version { "2" } else { "1" };
        let address = ([10, 0, 0, number as u8], 80).into();
        let zone = format!("zone-{}", number % 2).into();
        let record = EndpointRecord::new(name(number), "tutor".into(), zone, address);
        table.upsert(record.binding(ModelBinding::new("t", version)));
        table.update_load(
            &name(number),
            LoadReport { running: 0, waiting: 0, capacity: SLOTS, ..LoadReport::default() },
        );
        models.insert(number, EndpointModel { is_other_version, ..EndpointModel::default() });
    }
    (table, models)
}

/// A choice falls only on endpoints that serve the required version, are not leaving and are not avoided; on a failed
/// endpoint only if no other is left; and on a full endpoint only if every sampled one is full. It always finds an
/// endpoint if one is allowed.
#[test]
fn route_only_where_allowed() {
    fuzz("route", 2_000, &steps(), |(other_versions, steps)| {
        let (mut table, mut models) = table(other_versions);
        let binding = ModelBinding::new("t", "1");
        for step in steps {
            match step {
                Step::Choose(seed) => check_choice(&mut table, &mut models, &binding, seed, None),
                Step::Avoid(seed, endpoint) => check_choice(&mut table, &mut models, &binding, seed, Some(endpoint)),
                Step::Close(number) => {
                    table.record_close(&name(number));
                    let model = models.get_mut(&number).unwrap();
                    model.open = model.open.saturating_sub(1);
                }
                Step::Fail(number) => {
                    table.record_failure(TimePoint::ZERO, &name(number));
                    models.get_mut(&number).unwrap().has_failed = true;
                }
                Step::Succeed(number) => {
                    table.record_success(&name(number));
                    models.get_mut(&number).unwrap().has_failed = false;
                }
                Step::Leave(number) | Step::Return(number) => {
                    let is_leaving = matches!(step, Step::Leave(_));
                    let state = if is_leaving { EndpointState::Leaving } else { EndpointState::Live };
                    table.get_mut(&name(number)).unwrap().state = state;
                    models.get_mut(&number).unwrap().is_leaving = is_leaving;
                }
            }
        }
    });
}

fn check_choice(
    table: &mut EndpointTable,
    models: &mut BTreeMap<usize, EndpointModel>,
    binding: &ModelBinding,
    seed: u64,
    avoided: Option<usize>,
) {
    let avoid: Vec<EndpointId> = avoided.map(name).into_iter().collect();
    let query = RouteQuery::new("tutor").binding(binding).avoid(&avoid);
    let chosen = table.choose(TimePoint::ZERO, &query, &mut Pcg64::seed_from_u64(seed));
    let fits = |(number, model): (&usize, &EndpointModel)| {
        let is_allowed = !model.is_leaving && !model.is_other_version && Some(*number) != avoided;
        is_allowed.then_some(*number)
    };
    let allowed: Vec<usize> = models.iter().filter_map(fits).collect();
    let Some(chosen) = chosen else {
        assert!(allowed.is_empty(), "no endpoint was chosen although {allowed:?} are allowed");
        return;
    };
    let number: usize = chosen[1..].parse().unwrap();
    assert!(allowed.contains(&number), "{number} was chosen, allowed are {allowed:?}");
    let is_healthy_left = allowed.iter().any(|other| !models[other].has_failed);
    assert!(!models[&number].has_failed || !is_healthy_left, "a failing endpoint was chosen before a healthy one");
    // With so few endpoints that all are sampled, a full one is never chosen while one has free slots.
    let pool: Vec<&usize> =
        allowed.iter().filter(|other| models[other].has_failed == models[&number].has_failed).collect();
    if pool.len() <= 4 && models[&number].open >= SLOTS {
        assert!(pool.iter().all(|other| models[other].open >= SLOTS), "a full endpoint was chosen before a free one");
    }
    table.record_open(TimePoint::ZERO, &chosen);
    models.get_mut(&number).unwrap().open += 1;
}

/// The subsets of many hosts cover a large fleet: each subset is bounded, contains endpoints of every zone and changes
/// little when one endpoint is lost, and every endpoint is in some subset.
#[test]
fn subset_of_a_large_fleet() {
    const HOSTS: usize = 200;
    const ENDPOINTS: usize = 2_000;
    const ZONES: usize = 7;
    let fleet = |without: usize| {
        let numbers = (0..ENDPOINTS).filter(move |number| *number != without);
        numbers.map(|number| (name(number), format!("zone-{}", number % ZONES).into()))
    };
    let mut covered = vec![0; ENDPOINTS];
    for host in 0..HOSTS {
        let (host_name, zone) = (format!("host-{host}"), format!("zone-{}", host % ZONES));
        let subset = EndpointSubset::new(&host_name, &zone);
        let chosen = subset.choose(fleet(ENDPOINTS));
        assert_eq!(chosen.len(), EndpointSubset::LIMIT);
        let number_of = |endpoint: &EndpointId| -> usize { endpoint[1..].parse().unwrap() };
        let mut of_zone = [0; ZONES];
        for number in chosen.iter().map(number_of) {
            covered[number] += 1;
            of_zone[number % ZONES] += 1;
        }
        assert_eq!(of_zone[host % ZONES], EndpointSubset::LIMIT / 2, "half of the subset is in the own zone");
        assert!(of_zone.iter().all(|count| *count >= 10), "the subset has endpoints of every zone: {of_zone:?}");
        let lost = number_of(&chosen[0]);
        let after = subset.choose(fleet(lost));
        let kept = chosen.iter().filter(|endpoint| after.contains(endpoint)).count();
        assert!(kept >= EndpointSubset::LIMIT - 2, "the loss of one endpoint changed {} others", chosen.len() - kept);
    }
    let (least, most) = (covered.iter().min().unwrap(), covered.iter().max().unwrap());
    assert!(*least >= 1, "an endpoint is in no host's subset");
    assert!(*most <= 40, "an endpoint is in {most} hosts' subsets; the mean is 12.8");
}
