use hollyhook_core::{AttemptBasis, AttemptKey, AttemptRace, RaceClosure};

use super::simulated_engine::at;

/// A race with a suspected attempt, and one beside it that was sent after 1 s.
fn race_with(basis: AttemptBasis) -> (AttemptRace, AttemptKey, AttemptKey) {
    let mut race = AttemptRace::default();
    let before = race.begin();
    race.suspect(before);
    let successor = race.begin_from(basis);
    race.record_sent(successor, at(1_000));
    (race, before, successor)
}

#[test]
fn settle_after_head() {
    for basis in [AttemptBasis::Cursor, AttemptBasis::Copy] {
        let (mut race, before, successor) = race_with(basis);
        assert_eq!(race.settle(at(1_000)), None);
        race.record_accepted(successor);
        assert_eq!(race.settle(at(1_000)), Some(RaceClosure { kept: successor, closed: vec![before] }));
        assert_eq!((race.settle(at(9_000)), race.open_count()), (None, 1));
    }
}

/// Before the first event there is nothing to continue: two engines may read the prompt.
#[test]
fn settle_without_event_closes_none() {
    let (mut race, _before, successor) = race_with(AttemptBasis::Start);
    race.record_accepted(successor);
    assert_eq!((race.settle(at(9_000)), race.settle_at()), (None, None));
}

#[test]
fn settle_copy_without_head() {
    let (mut race, before, successor) = race_with(AttemptBasis::Copy);
    let limit = race.settle_at().unwrap();
    assert_eq!((limit, race.settle(at(1_249))), (at(1_250), None));
    assert_eq!(race.settle(limit), Some(RaceClosure { kept: successor, closed: vec![before] }));
    assert_eq!(race.settle_at(), None);
}

/// A request that has not been sent yet, for want of a connection, is no reason to close anything.
#[test]
fn settle_copy_not_sent_closes_none() {
    let mut race = AttemptRace::default();
    let before = race.begin();
    race.suspect(before);
    race.begin_from(AttemptBasis::Copy);
    assert_eq!((race.settle(at(9_000)), race.is_held(before)), (None, false));
}

#[test]
fn settle_trusted_before_successor_without_head() {
    let (mut race, before, successor) = race_with(AttemptBasis::Cursor);
    assert_eq!((race.settle(at(9_000)), race.is_held(before)), (None, false));
    race.trust(before);
    assert_eq!(race.settle(at(1_000)), Some(RaceClosure { kept: before, closed: vec![successor] }));
}

/// The engine of a trusted attempt works on, and the copy's engine does, too.
#[test]
fn settle_trusted_before_copy() {
    let (mut race, before, successor) = race_with(AttemptBasis::Copy);
    race.trust(before);
    assert_eq!((race.settle(at(1_000)), race.is_held(before), race.is_held(successor)), (None, true, false));
    assert_eq!(race.settle(at(1_250)), Some(RaceClosure { kept: successor, closed: vec![before] }));
}

#[test]
fn settle_failed_copy_keeps_attempt_before() {
    let (mut race, before, successor) = race_with(AttemptBasis::Copy);
    race.remove(successor);
    assert_eq!((race.settle(at(9_000)), race.is_held(before), race.open_count()), (None, false, 1));
}
