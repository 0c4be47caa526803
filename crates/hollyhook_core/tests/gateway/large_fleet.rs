//! Choices among thousands of endpoints.

use std::collections::BTreeSet;

use hollyhook_core::{
    EndpointId, EndpointRecord, EndpointTable, HolderLimits, LoadReport, Name, RouteQuery, TimePoint, ZoneName,
};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

const ENDPOINTS: u32 = 20_000;
const ZONES: u32 = 6;
const SLOTS: u32 = 10;
const NOW: TimePoint = TimePoint::from_millis(5_000);

fn zone(number: u32) -> ZoneName {
    format!("zone-{}", number % ZONES).into()
}

fn id(number: u32) -> EndpointId {
    format!("i-{number}").into()
}

/// The table of a host in the first zone.
fn table(endpoints: u32) -> EndpointTable {
    let mut table = EndpointTable::new(zone(0));
    for number in 0..endpoints {
        let address = ([10, 0, (number >> 8) as u8, number as u8], 8_000 + (number >> 16) as u16).into();
        let record = EndpointRecord::new(id(number), Name::from("model"), zone(number), address);
        table.upsert(record.capacity(SLOTS));
    }
    table
}

fn fill(table: &mut EndpointTable, number: u32) {
    table.update_load(&id(number), LoadReport { running: SLOTS, waiting: 0, capacity: SLOTS, ..LoadReport::default() });
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
    let others: Vec<EndpointId> = (0..ENDPOINTS).filter(|number| *number != 7_777).map(id).collect();
    for id in &others[..ENDPOINTS as usize / 2] {
        table.remove(id);
    }
    for id in &others[ENDPOINTS as usize / 2..] {
        table.mark_leaving(NOW, id);
    }
    let mut rng = Pcg64::seed_from_u64(1);
    assert_eq!(table.choose(NOW, &RouteQuery::new("model"), &mut rng), Some(id(7_777)));
}

/// A caller that reconnects through another host of the zone reaches the endpoint that read its prompt.
#[test]
fn likely_holders_contain_choice_of_another_host() {
    let (first, second) = (table(ENDPOINTS), table(ENDPOINTS));
    let query = RouteQuery::new("model");
    for prompt in 0..200_u64 {
        let number = prompt.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let chosen = &first.shortlist(NOW, &query, number, 1)[0].id;
        let holders = second.likely_holders(NOW, &query, number, HolderLimits { own_zone: 3, other_zone: 1 });
        assert!(holders.iter().any(|holder| holder.id == *chosen), "prompt {prompt}");
    }
}

#[test]
fn shortlist_prefers_pooled_connections_in_any_zone() {
    let table = table(ENDPOINTS);
    let pooled = [id(17_003)];
    let own = zone(0);
    let query = RouteQuery::new("model").avoid_zone(&own).prefer(&pooled);
    assert_eq!(table.shortlist(NOW, &query, 1, 1)[0].id, pooled[0]);
}

#[test]
fn random_choices_cover_own_zone() {
    let (table, mut rng) = (table(2_000), Pcg64::seed_from_u64(2));
    let mut chosen = BTreeSet::new();
    for micros in 0..40_000_u64 {
        let now = TimePoint::from_millis(1_000 + micros * 7);
        chosen.insert(table.choose(now, &RouteQuery::new("model"), &mut rng).unwrap());
    }
    assert!(chosen.len() > 300, "{} of the 334 endpoints of the host's zone were chosen", chosen.len());
}

/// With hundreds of endpoints, a host that chose at random would hardly ever reuse a connection.
#[test]
fn choice_uses_pooled_connection_unless_its_endpoint_is_busier() {
    let (mut table, mut rng) = (table(186), Pcg64::seed_from_u64(3));
    let pooled = [id(60)];
    let query = RouteQuery::new("model").prefer(&pooled);
    let mut pooled_of_100 = |table: &EndpointTable| {
        let chosen = (0..100).filter_map(|_| table.choose(NOW, &query, &mut rng));
        chosen.filter(|chosen| *chosen == id(60)).count()
    };
    let pooled_if_idle = pooled_of_100(&table);
    assert!(
        (70..100).contains(&pooled_if_idle),
        "{pooled_if_idle} of 100; some choices must go to other endpoints, to learn their load"
    );
    table.update_load(&id(60), LoadReport { running: 2, waiting: 0, capacity: SLOTS, ..LoadReport::default() });
    assert_eq!(pooled_of_100(&table), 0, "the other endpoints are idle");
    let far = [id(61)];
    let query = RouteQuery::new("model").prefer(&far);
    let near = |id: &EndpointId| table.get(id).is_some_and(|record| record.zone == zone(0));
    let chosen: Vec<EndpointId> = (0..50).filter_map(|_| table.choose(NOW, &query, &mut rng)).collect();
    assert!(chosen.iter().filter(|id| near(id)).count() > 20, "the own zone takes precedence over a pooled connection");
}

/// Requests that run in another zone are lost if the network between the zones fails, so the own zone is used while it
/// has room.
#[test]
fn choice_stays_in_own_zone_of_many() {
    let (table, mut rng) = (table(186), Pcg64::seed_from_u64(4));
    let query = RouteQuery::new("model");
    let chosen: Vec<EndpointId> = (0..300).filter_map(|_| table.choose(NOW, &query, &mut rng)).collect();
    assert!(chosen.iter().all(|id| table.get(id).is_some_and(|record| record.zone == zone(0))));
}
