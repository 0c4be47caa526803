//! Timeouts of calls to the store, and the start of the grace period for lapsed entries.

use std::time::Duration;

use hollyhook_core::{EndpointMembership, StoreContact, StoreLatency, TimePoint};

const CONTACT: Duration = Duration::from_secs(3);
const USUAL: Duration = Duration::from_secs(3);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The contact with a store whose only failed call began at `began`, at the time of the last answer.
fn unavailable_since(began: u64) -> StoreContact {
    failed_after(began, began)
}

/// The contact with a store whose only failed call began at `began`, after the last answer at `answered`.
fn failed_after(answered: u64, began: u64) -> StoreContact {
    let mut contact = StoreContact::default();
    contact.note_peer_answer(at(answered));
    contact.note_failure(at(began));
    contact
}

#[test]
fn note_answer_without_loss() {
    assert_eq!(StoreContact::default().note_answer(at(10_000), CONTACT), None);
}

/// The last call failed only 0.2 s ago: the grace period starts now.
#[test]
fn note_answer_after_recent_failure() {
    assert_eq!(unavailable_since(9_800).note_answer(at(10_000), CONTACT), Some(at(10_000)));
}

/// The first failed call used a connection that may have been dead since the last answer, so that the network may have
/// been restored long ago.
#[test]
fn note_answer_after_first_failure() {
    let mut contact = failed_after(6_800, 7_300);
    assert_eq!(contact.note_answer(at(10_000), CONTACT), Some(at(7_050)));
}

/// An answer of another host since the loss makes up for the lost updates.
#[test]
fn note_answer_after_peer_answer() {
    let mut contact = unavailable_since(7_300);
    contact.note_peer_answer(at(8_000));
    assert!(!contact.is_unavailable());
    assert_eq!(contact.note_answer(at(10_000), CONTACT), None);
    contact.note_failure(at(11_000));
    assert_eq!(contact.note_answer(at(11_100), CONTACT), Some(at(10_250)), "counts from the last answer");
}

/// Calls after the first failed one open a new connection, which shows that the host was still cut off.
#[test]
fn note_answer_after_second_failure() {
    let mut contact = failed_after(6_800, 7_300);
    contact.note_failure(at(9_700));
    assert_eq!(contact.note_answer(at(10_000), CONTACT), Some(at(9_950)));
}

/// Only this host may have been cut off, until just after the call began.
#[test]
fn note_answer_after_hung_call() {
    let mut contact = unavailable_since(7_300);
    assert_eq!(contact.note_answer(at(10_000), CONTACT), Some(at(7_550)));
    assert_eq!(contact.note_answer(at(10_010), CONTACT), None, "returned once");
}

/// Whenever the next call is answered, missing entries are removed before a host that was cut off until the failed call
/// counts as in contact, with time to spare for requests in flight.
#[test]
fn note_answer_grace_over_before_contact() {
    for bound in [3_000, 4_000, 5_000] {
        for answered in (8_000..14_000).step_by(50) {
            let grace_start = unavailable_since(8_000).note_answer(at(answered), millis(bound)).unwrap();
            let removed_at = (grace_start + EndpointMembership::RECOVERY_GRACE).max(at(answered));
            let due = at(8_000) + millis(bound - 500);
            assert!(removed_at <= due.max(at(answered)), "answered at {answered}, kept until {removed_at:?}");
        }
    }
}

/// A contact bound shorter than the grace period gives a start in the past, clamped to zero, rather than a panic.
#[test]
fn note_answer_with_short_bound() {
    assert_eq!(unavailable_since(100).note_answer(at(200), millis(500)), Some(TimePoint::ZERO));
}

/// A watch without an answer times out, and a list is read, before the host counts as in contact.
#[test]
fn watch_timeout_before_contact() {
    for bound in [1_000, 2_000, 3_000, 4_000, 5_000] {
        let contact = StoreContact::default();
        let wait = contact.watch_wait(TimePoint::ZERO, USUAL, millis(bound));
        assert!(wait <= USUAL);
        let timeout = contact.watch_timeout(wait, millis(bound));
        assert!(timeout + millis(200) <= millis(bound).max(millis(1_050)), "{timeout:?} of {bound}");
    }
}

/// A watch also times out early enough if the connection died after the last answer, while changes were batched or
/// other hosts were asked.
#[test]
fn watch_timeout_before_contact_after_pause() {
    for pause in [400, 800, 1_700, 2_500, 9_000] {
        let mut contact = StoreContact::default();
        contact.note_peer_answer(at(10_000));
        let now = at(10_000 + pause);
        let timeout = contact.watch_timeout(contact.watch_wait(now, USUAL, CONTACT), CONTACT);
        assert!(timeout + millis(200) <= millis((3_000 - pause.min(3_000)).max(1_050)), "{timeout:?} after {pause}");
    }
}

/// While the store is unavailable, a watch does not wait for changes, so that the store's return is detected at once.
#[test]
fn watch_wait_while_unavailable() {
    let contact = unavailable_since(9_000);
    assert!(contact.watch_wait(at(9_700), USUAL, CONTACT) <= millis(100));
}

/// Short timeouts detect the store's return early; every third call waits longer, for a store that answers slowly.
#[test]
fn call_timeout_of_calls_in_a_row() {
    let mut contact = StoreContact::default();
    let timeouts: Vec<u64> = (0..7)
        .map(|number| {
            let timeout = contact.call_timeout().as_millis() as u64;
            contact.note_failure(at(number));
            timeout
        })
        .collect();
    assert_eq!(timeouts, [1_500, 700, 700, 1_500, 700, 700, 1_500]);
    contact.note_answer(at(9_000), CONTACT);
    assert_eq!(contact.call_timeout(), millis(1_500));
}

/// The delay counts from the start of the failed call, so that none follows a call that hung.
#[test]
fn retry_delay_from_start_of_call() {
    assert_eq!(unavailable_since(9_000).retry_delay(at(9_010)), millis(240));
    assert_eq!(unavailable_since(9_000).retry_delay(at(9_700)), Duration::ZERO);
    assert_eq!(StoreContact::default().retry_delay(at(9_000)), Duration::ZERO, "nothing failed");
}

/// A contact whose store takes this long to answer.
fn contact_at_slow_store(latency: Duration) -> StoreContact {
    let (mut contact, mut estimate) = (StoreContact::default(), StoreLatency::default());
    for _ in 0..30 {
        estimate.observe(latency);
    }
    contact.set_latency(estimate);
    contact.note_peer_answer(TimePoint::from_millis(10_000));
    contact
}

/// A store whose answers come later than usual is not taken for lost, and a dead connection is still found in time.
#[test]
fn watch_timeout_follows_slow_store() {
    for latency in [4, 500, 900, 1_400, 2_000, 2_600].map(Duration::from_millis) {
        let contact = contact_at_slow_store(latency);
        let wait = contact.watch_wait(TimePoint::from_millis(10_000), USUAL, CONTACT);
        let timeout = contact.watch_timeout(wait, CONTACT);
        assert!(timeout >= wait + latency, "{latency:?}: {wait:?} and {timeout:?}");
        assert!(timeout < CONTACT, "{latency:?}: {timeout:?}");
    }
}

/// Two answers and the wait between them fit into the time for which a configuration stays confirmed.
#[test]
fn confirming_wait_follows_slow_store() {
    let bound = Duration::from_millis(3_750);
    for latency in [4, 800, 1_400, 1_700].map(Duration::from_millis) {
        let wait = contact_at_slow_store(latency).confirming_wait(bound);
        assert!(latency * 2 + wait <= bound, "{latency:?}: {wait:?}");
    }
    assert!(contact_at_slow_store(Duration::from_millis(4)).confirming_wait(bound) > USUAL);
}

/// While a store is silent, its return is found as soon as if it had always been fast.
#[test]
fn call_timeout_of_lost_store_unchanged() {
    let (mut slow, mut fast) = (contact_at_slow_store(Duration::from_secs(2)), StoreContact::default());
    for _ in 0..6 {
        slow.note_failure(TimePoint::from_millis(10_000));
        fast.note_failure(TimePoint::from_millis(10_000));
        assert_eq!(slow.call_timeout(), fast.call_timeout());
    }
}
