//! Choices before thousands of endpoints.

use std::collections::BTreeSet;

use hollyhook_core::{
    EndpointId, EndpointRecord, EndpointTable, HolderLimits, LoadReport, Name, RouteQuery, TimePoint, ZoneName,
};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

const ENDPOINTS: u32 = 20_000;
const ZONES: u32 = 6;
const PLACES: u32 = 10;
const NOW: TimePoint = TimePoint::from_millis(5_000);

fn zone(number: u32) -> ZoneName {
    format!("zone-{}", number % ZONES).into()
}

fn id(number: u32) -> EndpointId {
    format!("i-{number}").into()
}

/// A table of a host in the first zone.
fn table(endpoints: u32) -> EndpointTable {
    let mut table = EndpointTable::new(zone(0));
    for number in 0..endpoints {
        let address = ([10, 0, (number >> 8) as u8, number as u8], 8_000 + (number >> 16) as u16).into();
        let record = EndpointRecord::new(id(number), Name::from("model"), zone(number), address);
        table.upsert(record.capacity(PLACES));
    }
    table
}

fn fill(table: &mut EndpointTable, number: u32) {
    table.update_load(&id(number), LoadReport { running: PLACES, waiting: 0, capacity: PLACES });
}

#[test]
fn shortlist_finds_free_endpoint_where_nine_in_ten_are_full() {
    let mut table = table(ENDPOINTS);
    (0..ENDPOINTS).filter(|number| number % 10 != 0).for_each(|number| fill(&mut table, number));
    for prompt in 0..200_u64 {
        let list = table.shortlist(NOW, &RouteQuery::new("model"), prompt << 54, 2);
        assert!(list.iter().all(|record| record.load.running == 0), "prompt {prompt}");
    }
}

#[test]
fn choice_finds_last_live_endpoint() {
    let mut table = table(ENDPOINTS);
    let gone: Vec<EndpointId> = (0..ENDPOINTS).filter(|number| *number != 7_777).map(id).collect();
    for id in &gone[..ENDPOINTS as usize / 2] {
        table.remove(id);
    }
    for id in &gone[ENDPOINTS as usize / 2..] {
        table.mark_leaving(NOW, id);
    }
    let mut rng = Pcg64::seed_from_u64(1);
    assert_eq!(table.choose(NOW, &RouteQuery::new("model"), &mut rng), Some(id(7_777)));
}

/// A caller who comes back through another host of the zone finds the endpoint that read its prompt.
#[test]
fn homes_hold_what_another_host_chose() {
    let (first, second) = (table(ENDPOINTS), table(ENDPOINTS));
    let query = RouteQuery::new("model");
    for prompt in 0..200_u64 {
        let number = prompt.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let chosen = &first.shortlist(NOW, &query, number, 1)[0].id;
        let homes = second.likely_holders(NOW, &query, number, HolderLimits { own_zone: 3, other_zone: 1 });
        assert!(homes.iter().any(|home| home.id == *chosen), "prompt {prompt}");
    }
}

#[test]
fn kept_connections_go_first_wherever_they_lead() {
    let table = table(ENDPOINTS);
    let kept = [id(17_003)];
    let own = zone(0);
    let query = RouteQuery::new("model").avoid_zone(&own).prefer(&kept);
    assert_eq!(table.shortlist(NOW, &query, 1, 1)[0].id, kept[0]);
}

#[test]
fn random_choices_meet_all_endpoints() {
    let (table, mut rng) = (table(2_000), Pcg64::seed_from_u64(2));
    let mut met = BTreeSet::new();
    for micros in 0..40_000_u64 {
        let now = TimePoint::from_millis(1_000 + micros * 7);
        met.insert(table.choose(now, &RouteQuery::new("model"), &mut rng).unwrap());
    }
    assert!(met.len() > 300, "{} of the 334 of the host's zone", met.len());
}

/// Before hundreds of endpoints a host that drew at random would hardly ever use a connection twice.
#[test]
fn choice_uses_kept_connection_unless_its_endpoint_is_busier() {
    let (mut table, mut rng) = (table(186), Pcg64::seed_from_u64(3));
    let kept = [id(60)];
    let query = RouteQuery::new("model").prefer(&kept);
    let mut kept_of_100 = |table: &EndpointTable| {
        let chosen = (0..100).filter_map(|_| table.choose(NOW, &query, &mut rng));
        chosen.filter(|chosen| *chosen == id(60)).count()
    };
    let kept_if_idle = kept_of_100(&table);
    assert!((70..100).contains(&kept_if_idle), "{kept_if_idle} of 100; the others are to be heard of, too");
    table.update_load(&id(60), LoadReport { running: 2, waiting: 0, capacity: PLACES });
    assert_eq!(kept_of_100(&table), 0, "another one is idle");
    let far = [id(61)];
    let query = RouteQuery::new("model").prefer(&far);
    let near = |id: &EndpointId| table.get(id).is_some_and(|record| record.zone == zone(0));
    let chosen: Vec<EndpointId> = (0..50).filter_map(|_| table.choose(NOW, &query, &mut rng)).collect();
    assert!(chosen.iter().filter(|id| near(id)).count() > 20, "the own zone goes before a connection");
}

/// What runs in another zone is lost when zones are cut from each other.
#[test]
fn choice_stays_in_own_zone_of_many() {
    let (table, mut rng) = (table(186), Pcg64::seed_from_u64(4));
    let query = RouteQuery::new("model");
    let chosen: Vec<EndpointId> = (0..300).filter_map(|_| table.choose(NOW, &query, &mut rng)).collect();
    assert!(chosen.iter().all(|id| table.get(id).is_some_and(|record| record.zone == zone(0))));
}
