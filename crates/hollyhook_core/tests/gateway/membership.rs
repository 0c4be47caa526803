use hollyhook_core::{EndpointId, EndpointMembership, EndpointState, TimePoint};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn id(text: &str) -> EndpointId {
    text.into()
}

#[test]
fn missing_gone_at_once() {
    let mut membership = EndpointMembership::default();
    assert!(membership.mark_missing(at(5), &id("a")));
}

#[test]
fn missing_after_outage_kept() {
    let mut membership = EndpointMembership::default();
    membership.platform_recovered(at(1_000));
    assert!(!membership.mark_missing(at(1_000), &id("a")));
    assert!(!membership.mark_missing(at(1_500), &id("b")));
    assert!(membership.take_expired(at(3_000)).is_empty());
    membership.mark_present(&id("a"));
    assert_eq!(membership.take_expired(at(3_250)), [id("b")]);
    assert!(membership.take_expired(at(9_000)).is_empty(), "each is returned once");
    assert!(membership.mark_missing(at(3_300), &id("a")), "the time to come back is over");
}

#[test]
fn second_outage_extends() {
    let mut membership = EndpointMembership::default();
    membership.platform_recovered(at(1_000));
    assert!(!membership.mark_missing(at(1_000), &id("a")));
    membership.platform_recovered(at(3_000));
    assert!(!membership.mark_missing(at(5_000), &id("b")));
}

const LIVE: EndpointState = EndpointState::Live;
const LEAVING: EndpointState = EndpointState::Leaving;

/// What left before the platform came back from an older copy is in the copy, for as long as nobody renews it.
#[test]
fn gone_outdated_in_older_copy() {
    let mut membership = EndpointMembership::default();
    assert!(membership.mark_missing(at(1_000), &id("a")));
    assert!(!membership.is_outdated(at(1_500), &id("a"), None, LIVE), "the platform is not older");
    membership.platform_rolled_back(at(2_000));
    assert!(membership.is_outdated(at(2_000), &id("a"), None, LIVE));
    assert!(!membership.is_outdated(at(2_000), &id("b"), None, LIVE), "nobody knows that it left");
    assert!(!membership.is_outdated(at(7_000), &id("a"), None, LIVE), "somebody renews it");
}

#[test]
fn leaving_outdated_in_older_copy() {
    let mut membership = EndpointMembership::default();
    assert!(!membership.is_outdated(at(1_000), &id("a"), Some(LEAVING), LIVE), "its own word, in order");
    membership.platform_rolled_back(at(2_000));
    assert!(membership.is_outdated(at(2_000), &id("a"), Some(LEAVING), LIVE));
    assert!(!membership.is_outdated(at(2_000), &id("a"), Some(LEAVING), LEAVING));
    assert!(!membership.is_outdated(at(2_000), &id("a"), Some(LIVE), LIVE));
}

/// One that went and came back since is there.
#[test]
fn returned_not_outdated_in_older_copy() {
    let mut membership = EndpointMembership::default();
    assert!(membership.mark_missing(at(1_000), &id("a")));
    membership.mark_present(&id("a"));
    membership.platform_rolled_back(at(2_000));
    assert!(!membership.is_outdated(at(2_000), &id("a"), None, LIVE));
}
