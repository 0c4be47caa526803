use hollyhook_core::{AnswerHead, AnswerVerdict, AttemptFailure, RequestKind, evaluate_answer};

const KINDS: [RequestKind; 4] = [
    RequestKind::Idempotent,
    RequestKind::NonIdempotent,
    RequestKind::Stream { is_resumable: true },
    RequestKind::Stream { is_resumable: false },
];

fn head(status: u16) -> AnswerHead {
    AnswerHead { status, attempt_id: Some("r1".into()), is_signed: true, ..AnswerHead::default() }
}

fn evaluate(kind: RequestKind, head: &AnswerHead) -> AnswerVerdict {
    evaluate_answer(kind, "r1", "i-1", head)
}

#[test]
fn evaluate_success() {
    for kind in KINDS {
        assert_eq!(evaluate(kind, &head(200)), AnswerVerdict::Pass);
        let unsigned = AnswerHead { is_signed: false, ..head(200) };
        assert_eq!(evaluate(kind, &unsigned), AnswerVerdict::Fail(AttemptFailure::Garbled));
    }
}

/// A status that promises "not run" is never passed on from an endpoint; it counts as not run only if the endpoint
/// states so itself.
#[test]
fn evaluate_not_run_status() {
    for kind in KINDS {
        for status in [408, 429, 503] {
            assert_eq!(evaluate(kind, &head(status)), AnswerVerdict::Fail(AttemptFailure::Failed), "{status}");
            let stated = AnswerHead { is_not_run: true, ..head(status) };
            assert_eq!(evaluate(kind, &stated), AnswerVerdict::Fail(AttemptFailure::Rejected), "{status}");
        }
    }
    assert!(AttemptFailure::Rejected.is_not_run());
    assert!(!AttemptFailure::Failed.is_not_run());
}

#[test]
fn evaluate_foreign_answer() {
    for kind in KINDS {
        let foreign = AnswerHead { attempt_id: Some("r2".into()), ..head(200) };
        assert_eq!(evaluate(kind, &foreign), AnswerVerdict::Fail(AttemptFailure::Garbled));
        let encoded = AnswerHead { is_encoded: true, ..head(200) };
        assert_eq!(evaluate(kind, &encoded), AnswerVerdict::Fail(AttemptFailure::Garbled));
    }
}

/// A late second answer to a request without an id was believed to be the answer to a caller's request.
#[test]
fn evaluate_answer_without_id() {
    for kind in KINDS {
        for status in [200, 302, 400, 404, 408, 421, 429, 500, 503] {
            for is_not_run in [false, true] {
                let endpoint = Some("i-1".into());
                let unnamed = AnswerHead { attempt_id: None, is_not_run, endpoint, ..head(status) };
                assert_eq!(evaluate(kind, &unnamed), AnswerVerdict::Fail(AttemptFailure::Garbled), "{status}");
            }
        }
    }
}

#[test]
fn is_foreign_by_id() {
    let (named, unnamed) = (head(200), AnswerHead { attempt_id: None, ..head(200) });
    assert!(!named.is_foreign(Some("r1")));
    assert!(named.is_foreign(Some("r2")));
    assert!(named.is_foreign(None), "a request without an id is not answered with one");
    assert!(unnamed.is_foreign(Some("r1")));
    assert!(!unnamed.is_foreign(None));
}

#[test]
fn evaluate_misdirected() {
    let other = AnswerHead { endpoint: Some("i-2".into()), ..head(421) };
    assert_eq!(evaluate(KINDS[0], &other), AnswerVerdict::Fail(AttemptFailure::WrongIncarnation));
    assert_eq!(evaluate(KINDS[0], &head(421)), AnswerVerdict::Fail(AttemptFailure::WrongIncarnation));
    // The addressed engine rejects requests for other weights, and is still there.
    let meant = AnswerHead { endpoint: Some("i-1".into()), ..head(421) };
    assert_eq!(evaluate(KINDS[2], &meant), AnswerVerdict::Fail(AttemptFailure::Rejected));
}

#[test]
fn evaluate_failure() {
    assert_eq!(evaluate(RequestKind::Idempotent, &head(500)), AnswerVerdict::PassOrRetry);
    assert_eq!(evaluate(RequestKind::NonIdempotent, &head(500)), AnswerVerdict::Pass);
    assert_eq!(evaluate(RequestKind::Idempotent, &head(404)), AnswerVerdict::Pass);
    assert_eq!(evaluate(RequestKind::Idempotent, &head(101)), AnswerVerdict::Fail(AttemptFailure::Garbled));
}

/// Only failures after which the request is certain not to have run may be reported as "not run".
#[test]
fn is_not_run_by_failure() {
    use AttemptFailure::{Broken, Expired, Failed, Garbled, NotConnected, Rejected, Silent, WrongIncarnation};
    for failure in [NotConnected, Rejected, WrongIncarnation] {
        assert!(failure.is_not_run(), "{failure:?}");
    }
    for failure in [Broken, Silent, Expired, Garbled, Failed] {
        assert!(!failure.is_not_run(), "{failure:?}");
    }
    // An expired deadline of the caller does not indicate a fault of the endpoint.
    assert!(!Expired.is_loss());
}
