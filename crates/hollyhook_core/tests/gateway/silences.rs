//! Endpoints that are silent or stalled, and the signs of life that end it.

use std::time::Duration;

use hollyhook_core::{EndpointRecord, EndpointTable, RouteQuery, TimePoint};

/// A table of this many endpoints, `i-0` and so on, of one service.
fn table(endpoints: u16) -> EndpointTable {
    let mut table = EndpointTable::new("zone-a".into());
    for number in 0..endpoints {
        let address = ([127, 0, 0, 1], 9_000 + number).into();
        table.upsert(EndpointRecord::new(id(number).into(), "model".into(), "zone-a".into(), address));
    }
    table
}

fn id(number: u16) -> String {
    format!("i-{number}")
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn is_ejected(table: &EndpointTable, now: TimePoint, number: u16) -> bool {
    table.get(&id(number)).unwrap().is_ejected(now)
}

/// How many of these endpoints a successor may be sent to.
fn responsive(table: &EndpointTable, now: TimePoint) -> usize {
    table.shortlist(now, &RouteQuery::new("model").responsive(now), 1, usize::MAX).len()
}

#[test]
fn silence_ends_with_answer() {
    let mut table = table(2);
    assert!(table.record_silence(at(0), "i-0"));
    assert!(!table.record_silence(at(100), "i-0"), "known already");
    assert!(is_ejected(&table, at(100), 0) && !table.is_alive(at(100), "i-0"));
    assert_eq!(responsive(&table, at(1_500)), 1, "no sign of life since");
    assert!(table.record_heard(at(1_500), "i-0"));
    assert!(table.is_alive(at(1_600), "i-0"));
    assert_eq!(responsive(&table, at(1_500)), 2);
}

/// An endpoint that nobody asked since was excluded for ever.
#[test]
fn silence_of_unasked_endpoint_tried_after_time() {
    let mut table = table(2);
    table.record_silence(at(0), "i-0");
    assert_eq!((responsive(&table, at(1_500)), responsive(&table, at(2_500))), (1, 2));
    assert!(table.is_silent("i-0"));
}

#[test]
fn stall_ends_with_event() {
    let mut table = table(2);
    assert!(table.record_stall(at(0), "i-0"));
    assert!(!table.record_heard(at(300), "i-0"), "a stalled engine reports");
    assert!(is_ejected(&table, at(300), 0) && table.is_silent("i-0"));
    assert!(table.record_event(at(400), "i-0"));
    assert!(!is_ejected(&table, at(400), 0) && !table.is_silent("i-0"));
}

#[test]
fn stall_forgotten_after_time() {
    let mut table = table(2);
    table.record_stall(at(0), "i-0");
    assert!(table.record_heard(at(2_500), "i-0"));
    assert_eq!(responsive(&table, at(2_500)), 2);
}

#[test]
fn failure_outlasts_answer() {
    let mut table = table(2);
    table.record_failure(at(0), "i-0");
    assert!(!table.record_heard(at(100), "i-0"));
    assert!(is_ejected(&table, at(100), 0), "a later incarnation may answer at the address of one that is gone");
}

#[test]
fn silence_widespread_when_most_silent() {
    let mut table = table(10);
    for number in 0..10 {
        table.record_event(at(0), &id(number));
    }
    for number in 0..5 {
        table.record_silence(at(300), &id(number));
    }
    assert!(!table.is_silence_widespread(at(300), "model"), "half are heard");
    table.record_silence(at(300), "i-5");
    assert!(table.is_silence_widespread(at(300), "model"));
    assert!(!table.is_silence_widespread(at(300), "desk"));
    assert!(!table.is_silence_widespread(at(5_000), "model"), "long ago");
}

#[test]
fn silence_of_one_or_two_not_widespread() {
    let mut table = table(10);
    table.record_silence(at(0), "i-0");
    table.record_silence(at(0), "i-1");
    assert!(!table.is_silence_widespread(at(0), "model"));
}

/// Ejections were renewed while all engines paused, and outlasted the pause by over a second.
#[test]
fn widespread_silence_ends_for_all() {
    let mut table = table(6);
    for millis in [0, 600, 1_200] {
        for number in 0..6 {
            table.record_silence(at(millis), &id(number));
        }
    }
    assert!((0..6).all(|number| is_ejected(&table, at(1_300), number)));
    assert!(table.record_event(at(1_300), "i-2"));
    assert!((0..6).all(|number| !is_ejected(&table, at(1_300), number)));
    assert!(table.is_silent("i-0"), "not heard itself");
}

#[test]
fn silence_of_one_ends_for_it_alone() {
    let mut table = table(6);
    for number in 0..6 {
        table.record_event(at(0), &id(number));
    }
    table.record_silence(at(300), "i-0");
    table.record_silence(at(300), "i-1");
    table.record_heard(at(300) + Duration::from_millis(50), "i-0");
    assert!(is_ejected(&table, at(350), 1));
}
