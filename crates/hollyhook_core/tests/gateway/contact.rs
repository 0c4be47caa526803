//! How long calls to the store may take, and from when on lapsed entries are awaited.

use std::time::Duration;

use hollyhook_core::{EndpointMembership, StoreContact, TimePoint};

const CONTACT: Duration = Duration::from_secs(3);
const USUAL: Duration = Duration::from_secs(3);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A store whose only call without an answer began at `began`, just after the last answer.
fn away_since(began: u64) -> StoreContact {
    failed_after(began, began)
}

/// The same some time after the last answer.
fn failed_after(heard: u64, began: u64) -> StoreContact {
    let mut contact = StoreContact::default();
    contact.heard(at(heard));
    contact.failed(at(began));
    contact
}

#[test]
fn answered_without_loss() {
    assert_eq!(StoreContact::default().answered(at(10_000), CONTACT), None);
}

/// The store was away a quarter of a second ago: entries have all their time from now on.
#[test]
fn answered_after_quick_refusal() {
    assert_eq!(away_since(9_800).answered(at(10_000), CONTACT), Some(at(10_000)));
}

/// The first call that fails goes over a connection that may have been dead since the last answer, with a cut long over.
#[test]
fn answered_after_pause_and_hung_call() {
    let mut contact = failed_after(6_800, 7_300);
    assert_eq!(contact.answered(at(10_000), CONTACT), Some(at(7_050)));
}

/// A host that others read for was told since: what it lost before is made good.
#[test]
fn answered_after_others_told() {
    let mut contact = away_since(7_300);
    contact.heard(at(8_000));
    assert!(!contact.is_away());
    assert_eq!(contact.answered(at(10_000), CONTACT), None);
    contact.failed(at(11_000));
    assert_eq!(contact.answered(at(11_100), CONTACT), Some(at(10_250)), "counts from the last answer");
}

/// Later ones make a connection, which shows that the host was still out of contact.
#[test]
fn answered_after_second_failure() {
    let mut contact = failed_after(6_800, 7_300);
    contact.failed(at(9_700));
    assert_eq!(contact.answered(at(10_000), CONTACT), Some(at(9_950)));
}

/// The host may have been cut off alone, up to a moment after the call began.
#[test]
fn answered_after_hung_call() {
    let mut contact = away_since(7_300);
    assert_eq!(contact.answered(at(10_000), CONTACT), Some(at(7_550)));
    assert_eq!(contact.answered(at(10_010), CONTACT), None, "told once");
}

/// Whenever the last call failed and whenever the next is answered, what is missing is forgotten, with time to spare for
/// requests under way, before a host that was cut off until then is in contact.
#[test]
fn grace_over_before_contact() {
    for bound in [3_000, 4_000, 5_000] {
        for answered in (8_000..14_000).step_by(50) {
            let back_at = away_since(8_000).answered(at(answered), millis(bound)).unwrap();
            let forgotten = (back_at + EndpointMembership::RECOVERY_GRACE).max(at(answered));
            let due = at(8_000) + millis(bound - 500);
            assert!(forgotten <= due.max(at(answered)), "answered at {answered}, kept until {forgotten:?}");
        }
    }
}

/// A bound that is shorter than the grace time leaves none, rather than failing.
#[test]
fn answered_with_short_bound() {
    assert_eq!(away_since(100).answered(at(200), millis(500)), Some(TimePoint::ZERO));
}

/// A watch that never gets an answer is given up, and a list read, before the host is in contact.
#[test]
fn watch_ends_before_contact() {
    for bound in [1_000, 2_000, 3_000, 4_000, 5_000] {
        let contact = StoreContact::default();
        let wait = contact.watch_wait(TimePoint::ZERO, USUAL, millis(bound));
        assert!(wait <= USUAL);
        let limit = contact.watch_limit(wait);
        assert!(limit + millis(200) <= millis(bound).max(millis(1_050)), "{limit:?} of {bound}");
    }
}

/// The same if the connection went silent while changes were gathered, or while others were asked, after the last answer.
#[test]
fn watch_ends_before_contact_after_pause() {
    for pause in [400, 800, 1_700, 2_500, 9_000] {
        let mut contact = StoreContact::default();
        contact.heard(at(10_000));
        let now = at(10_000 + pause);
        let limit = contact.watch_limit(contact.watch_wait(now, USUAL, CONTACT));
        assert!(limit + millis(200) <= millis((3_000 - pause.min(3_000)).max(1_050)), "{limit:?} after {pause}");
    }
}

/// While the store is away nothing waits for changes: what counts is that it is back.
#[test]
fn watch_brief_while_away() {
    let contact = away_since(9_000);
    assert!(contact.watch_wait(at(9_700), USUAL, CONTACT) <= millis(100));
}

/// Short calls find the return early; now and then one waits for a store that answers slowly.
#[test]
fn limits_of_calls_in_a_row() {
    let mut contact = StoreContact::default();
    let limits: Vec<u64> = (0..7)
        .map(|number| {
            let limit = contact.call_limit().as_millis() as u64;
            contact.failed(at(number));
            limit
        })
        .collect();
    assert_eq!(limits, [1_500, 700, 700, 1_500, 700, 700, 1_500]);
    contact.answered(at(9_000), CONTACT);
    assert_eq!(contact.call_limit(), millis(1_500));
}

/// A call that hung was its own pause.
#[test]
fn pause_from_start_of_call() {
    assert_eq!(away_since(9_000).pause(at(9_010)), millis(240));
    assert_eq!(away_since(9_000).pause(at(9_700)), Duration::ZERO);
    assert_eq!(StoreContact::default().pause(at(9_000)), Duration::ZERO, "nothing failed");
}
