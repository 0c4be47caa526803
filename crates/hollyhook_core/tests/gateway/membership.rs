use hollyhook_core::{EndpointId, EndpointMembership, TimePoint};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn id(text: &str) -> EndpointId {
    text.into()
}

#[test]
fn missing_gone_at_once() {
    let mut membership = EndpointMembership::default();
    assert!(membership.is_gone(at(5), &id("a")));
}

#[test]
fn missing_after_outage_kept() {
    let mut membership = EndpointMembership::default();
    membership.platform_back(at(1_000));
    assert!(!membership.is_gone(at(1_000), &id("a")));
    assert!(!membership.is_gone(at(1_500), &id("b")));
    assert!(membership.lapsed(at(3_000)).is_empty());
    membership.present(&id("a"));
    assert_eq!(membership.lapsed(at(3_250)), [id("b")]);
    assert!(membership.lapsed(at(9_000)).is_empty(), "each is returned once");
    assert!(membership.is_gone(at(3_300), &id("a")), "the time to come back is over");
}

#[test]
fn second_outage_extends() {
    let mut membership = EndpointMembership::default();
    membership.platform_back(at(1_000));
    assert!(!membership.is_gone(at(1_000), &id("a")));
    membership.platform_back(at(3_000));
    assert!(!membership.is_gone(at(5_000), &id("b")));
}
