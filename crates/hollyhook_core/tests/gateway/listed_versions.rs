//! The versions of a service's endpoints, which are found without examining all of them.

use std::collections::BTreeSet;
use std::time::Duration;

use hollyhook_core::{EndpointRecord, EndpointState, EndpointTable, ListedVersions, Name, TimePoint};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

const ENDPOINTS: u16 = 12;
const SERVICES: [&str; 2] = ["desk", "model"];
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// The versions as a walk over all endpoints finds them.
fn walked(table: &mut EndpointTable, now: TimePoint, service: &str) -> ListedVersions {
    let recent = table.recent_versions(now, service);
    let of_service = table.iter().filter(|record| &*record.service == service);
    let live: Vec<&EndpointRecord> = of_service.filter(|record| record.state == EndpointState::Live).collect();
    let serving = live.iter().filter(|record| !record.is_ejected(now));
    let serving: BTreeSet<_> = serving.map(|record| Name::clone(&record.version)).collect();
    ListedVersions { recent, live: live.iter().map(|record| Name::clone(&record.version)).collect(), serving }
}

/// A registration of one of the endpoints with any service, version and state.
fn random_record(rng: &mut impl Rng) -> EndpointRecord {
    let number = rng.random_range(0..ENDPOINTS);
    let service = SERVICES.choose(rng).unwrap();
    let address = ([10, 0, 0, 1], 80 + number).into();
    let mut record = EndpointRecord::new(
        format!("i-{number}").into(),
        (*service).into(),
        format!("z{}", number % 3).into(),
        address,
    );
    record = record.version((*VERSIONS.choose(rng).unwrap()).into());
    record.state = if rng.random_bool(0.3) { EndpointState::Leaving } else { EndpointState::Live };
    record
}

/// Guards against a search that ends before it has found a version whose endpoints come last, are ejected or are leaving.
#[test]
fn versions_listed_as_by_walk_over_all_endpoints() {
    let mut short_walks = 0;
    for seed in 0..200 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut table = EndpointTable::new("z0".into());
        let mut now = TimePoint::from_millis(1_000);
        for step in 0..200 {
            now = now + Duration::from_millis(rng.random_range(0..2_000));
            let id = format!("i-{}", rng.random_range(0..ENDPOINTS));
            match rng.random_range(0..10) {
                0..5 => drop(table.upsert(random_record(&mut rng)).clone()),
                5..7 => table.remove(&id),
                7 => table.record_success(&id),
                _ => table.record_failure(now, &id),
            }
            for service in SERVICES {
                let expected = walked(&mut table, now, service);
                assert_eq!(table.listed_versions(now, service), expected, "{service}, seed {seed}, step {step}");
                short_walks += usize::from(!expected.serving.is_empty() && expected.serving == expected.recent);
            }
        }
    }
    assert!(short_walks > 1_000, "{short_walks} cases in which all versions serve");
}
