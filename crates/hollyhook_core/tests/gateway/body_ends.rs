use hollyhook_core::{BodyEnd, EndVerdict};

fn verdict(is_stated: bool, is_stop_ordered: bool) -> EndVerdict {
    BodyEnd { is_stated, is_stop_ordered }.verdict()
}

#[test]
fn body_end_stated_complete() {
    assert_eq!(verdict(true, false), EndVerdict::Complete);
    assert_eq!(verdict(true, true), EndVerdict::Complete);
}

#[test]
fn body_end_by_closing_unproven_or_stopped() {
    assert_eq!(verdict(false, false), EndVerdict::Unproven);
    assert_eq!(verdict(false, true), EndVerdict::Stopped);
}
