use hollyhook_core::{EndpointId, EndpointMembership, EndpointState, TimePoint};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn id(text: &str) -> EndpointId {
    text.into()
}

#[test]
fn mark_missing_at_once() {
    let mut membership = EndpointMembership::default();
    assert!(membership.mark_missing(at(5), &id("a")));
}

#[test]
fn mark_missing_in_grace_period() {
    let mut membership = EndpointMembership::default();
    membership.platform_recovered(at(1_000));
    assert!(!membership.mark_missing(at(1_000), &id("a")));
    assert!(!membership.mark_missing(at(1_500), &id("b")));
    assert!(membership.take_expired(at(3_000)).is_empty());
    membership.mark_present(&id("a"));
    assert_eq!(membership.take_expired(at(3_250)), [id("b")]);
    assert!(membership.take_expired(at(9_000)).is_empty(), "each is returned once");
    assert!(membership.mark_missing(at(3_300), &id("a")), "the grace period is over");
}

#[test]
fn mark_missing_after_second_outage() {
    let mut membership = EndpointMembership::default();
    membership.platform_recovered(at(1_000));
    assert!(!membership.mark_missing(at(1_000), &id("a")));
    membership.platform_recovered(at(3_000));
    assert!(!membership.mark_missing(at(5_000), &id("b")));
}

const LIVE: EndpointState = EndpointState::Live;
const LEAVING: EndpointState = EndpointState::Leaving;

/// An entry that was removed before the platform was restored from an older copy is in that copy again, until it
/// expires because nobody renews it.
#[test]
fn is_outdated_removed_entry() {
    let mut membership = EndpointMembership::default();
    assert!(membership.mark_missing(at(1_000), &id("a")));
    assert!(!membership.is_outdated(at(1_500), &id("a"), None, LIVE), "the platform was not restored");
    membership.platform_rolled_back(at(2_000));
    assert!(membership.is_outdated(at(2_000), &id("a"), None, LIVE));
    assert!(!membership.is_outdated(at(2_000), &id("b"), None, LIVE), "not known to have left");
    assert!(
        !membership.is_outdated(at(7_000), &id("a"), None, LIVE),
        "still listed after the expiry time, so it is renewed"
    );
}

#[test]
fn is_outdated_leaving_entry() {
    let mut membership = EndpointMembership::default();
    assert!(!membership.is_outdated(at(1_000), &id("a"), Some(LEAVING), LIVE), "its own later statement");
    membership.platform_rolled_back(at(2_000));
    assert!(membership.is_outdated(at(2_000), &id("a"), Some(LEAVING), LIVE));
    assert!(!membership.is_outdated(at(2_000), &id("a"), Some(LEAVING), LEAVING));
    assert!(!membership.is_outdated(at(2_000), &id("a"), Some(LIVE), LIVE));
}

/// An endpoint that was removed and then registered again is not outdated.
#[test]
fn is_outdated_not_after_return() {
    let mut membership = EndpointMembership::default();
    assert!(membership.mark_missing(at(1_000), &id("a")));
    membership.mark_present(&id("a"));
    membership.platform_rolled_back(at(2_000));
    assert!(!membership.is_outdated(at(2_000), &id("a"), None, LIVE));
}
