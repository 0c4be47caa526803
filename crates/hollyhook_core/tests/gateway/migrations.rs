//! When a stream continues at another engine because it would miss its deadline.

use std::time::Duration;

use hollyhook_core::{EndpointId, EngineSpeed, MigrationGate, MigrationPlan, ProgressMeter, TimePoint};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn speed(event_time: Duration) -> EngineSpeed {
    EngineSpeed { event_time, ..EngineSpeed::default() }
}

/// No plan may lead to an engine at which the stream ends later, or after its deadline.
#[test]
fn migration_never_ends_later_than_stay() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut moved = 0;
    for _ in 0..2_000 {
        let (events, here, there) =
            (rng.random_range(0..180), millis(rng.random_range(10..400)), millis(rng.random_range(10..400)));
        let left = millis(rng.random_range(0..25_000));
        let plan = MigrationPlan::new(events, here, left);
        if !plan.is_late() || !plan.gains_at(speed(there)) {
            continue;
        }
        moved += 1;
        let (stay, go) = (here * events as u32, there * events as u32);
        assert!(stay > left.mul_f64(0.9) && go < left && go < stay, "{plan:?} {there:?}");
    }
    assert!(moved > 100, "only {moved} streams migrated");
}

/// A stream that has just migrated has not shown its new pace, and must not be sent back and forth.
#[test]
fn migration_not_repeated_within_seconds() {
    let plan = MigrationPlan::new(100, millis(300), millis(10_000));
    assert!(plan.is_late());
    assert!(!plan.since_last(Some(millis(4_999))).is_late());
    assert!(plan.since_last(Some(millis(5_000))).is_late());
}

/// A pause for another request's prompt is no evidence of a slow engine; an engine that turns slow is noticed at once.
#[test]
fn progress_needs_two_seconds() {
    let mut meter = ProgressMeter::default();
    let at = TimePoint::from_millis;
    for event in 0..60 {
        meter.record(at(event * 30), 1);
    }
    assert_eq!(meter.event_time(at(1_800)), None);
    for event in 60..100 {
        meter.record(at(event * 30), 1);
    }
    assert_eq!(meter.event_time(at(2_970)), Some(millis(30)));
    assert_eq!(meter.event_time(at(3_500)), Some(millis(30)), "a pause of half a second");
    assert!(meter.event_time(at(7_000)).is_some_and(|time| time > millis(100)), "no event for four seconds");
}

/// All streams of an engine that turns slow must not migrate at the same moment.
#[test]
fn gate_spreads_migrations() {
    let mut gate = MigrationGate::default();
    let engines: Vec<EndpointId> = (0..20).map(|number| format!("i-{number}").into()).collect();
    let begun = (0..1_000).step_by(10).flat_map(|time| engines.iter().map(move |engine| (time, engine)));
    let begun: Vec<_> = begun.filter(|(time, engine)| gate.try_begin(TimePoint::from_millis(*time), engine)).collect();
    assert_eq!(begun.len(), 4, "{begun:?}");
    let again = TimePoint::from_millis(1_000);
    assert!(gate.try_begin(again, &engines[0]));
    assert!(!gate.try_begin(again + millis(499), &engines[0]), "the other streams of the engine stay for now");
    assert!(gate.try_begin(again + millis(500), &engines[0]));
}
