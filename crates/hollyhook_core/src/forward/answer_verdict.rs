use crate::{AdvertisedTerms, EndpointId, LoadReport, Name, RequestKind};

/// The parts of an endpoint's HTTP answer head that hollyhook evaluates.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The id of the answered request, as the endpoint echoed it.
    pub attempt_id: Option<Name>,
    /// The endpoint incarnation that answers, if stated.
    pub endpoint: Option<EndpointId>,
    /// The version of the weights that the generation comes from, if stated.
    pub weights: Option<u64>,
    /// Whether the endpoint signed the answer.
    pub is_signed: bool,
    /// Whether the endpoint states that it has not run the request and never will.
    pub is_not_run: bool,
    /// Whether the body has a content encoding; callers request none, so that the body can't be the endpoint's own.
    pub is_encoded: bool,
    /// The load that the endpoint reports, if any.
    pub load: Option<LoadReport>,
    /// The terms on which the endpoint accepts requests, as advertised in the answer.
    pub terms: AdvertisedTerms,
}

impl AnswerHead {
    /// Whether this is not the answer to the request with this attempt id; `None` for a request that carries none.
    ///
    /// Endpoints echo the id of each request that has one. On a connection on which an earlier request may be answered
    /// once more, an answer without the id can't be told from that second answer.
    pub fn is_foreign(&self, attempt_id: Option<&str>) -> bool {
        self.attempt_id.as_deref() != attempt_id
    }

    /// Whether the answer comes from the addressed incarnation rather than another at the same address.
    ///
    /// An answer that names no incarnation counts as one of the addressed incarnation, unless its status is 421
    /// (Misdirected Request).
    pub fn is_from(&self, endpoint: &str) -> bool {
        self.endpoint.as_deref().map_or(self.status != MISDIRECTED, |answering| answering == endpoint)
    }
}

/// Why an attempt gave no answer that can be passed on to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// No connection could be made; nothing was sent.
    NotConnected,
    /// The endpoint stated that it did not run the request, or itself answered status 421 (Misdirected Request).
    Rejected,
    /// Another incarnation answers at the address; the request did not run.
    WrongIncarnation,
    /// The connection broke before the answer was complete.
    Broken,
    /// The endpoint sent nothing for too long.
    Silent,
    /// The deadline of the caller or the route passed; this does not indicate a fault of the endpoint.
    Expired,
    /// The received answer can't be the endpoint's answer to this request.
    Garbled,
    /// The endpoint ran the request and failed.
    Failed,
}

impl AttemptFailure {
    /// Whether the request is certain not to have run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotConnected | Self::Rejected | Self::WrongIncarnation)
    }

    /// Whether the request may have reached an endpoint, so that another attempt is charged to the retry budget.
    pub fn has_arrived(self) -> bool {
        self != Self::NotConnected
    }

    /// Whether the failure indicates that the endpoint itself is lost, rather than busy or at fault in one answer.
    pub fn is_loss(self) -> bool {
        matches!(self, Self::NotConnected | Self::Broken | Self::Silent)
    }

    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::Rejected => "rejected",
            Self::WrongIncarnation => "wrong_incarnation",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Expired => "expired",
            Self::Garbled => "garbled",
            Self::Failed => "failed",
        }
    }
}

/// What to do with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// Pass the answer on to the caller unchanged.
    Pass,
    /// Count the attempt as failed; the answer is not passed on.
    Fail(AttemptFailure),
    /// Retry after this server error, or pass it on if no other attempt is made.
    PassOrRetry,
}

/// Statuses that promise that the request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
const MISDIRECTED: u16 = 421;

/// Decides from an answer's head whether the answer is passed on to the caller.
///
/// An answer that does not echo `attempt_id` is not the answer to the request, whatever it states. A status that promises
/// "not run" is never passed on from an endpoint: unless the endpoint states that it did not run the request, the promise
/// may be false.
pub fn evaluate_answer(kind: RequestKind, attempt_id: &str, endpoint: &str, head: &AnswerHead) -> AnswerVerdict {
    if head.is_foreign(Some(attempt_id)) || head.is_encoded {
        return AnswerVerdict::Fail(AttemptFailure::Garbled);
    }
    if head.status == MISDIRECTED {
        // The addressed incarnation may reject a request for its weights; any other merely has the same address.
        let failure = if head.is_from(endpoint) { AttemptFailure::Rejected } else { AttemptFailure::WrongIncarnation };
        return AnswerVerdict::Fail(failure);
    }
    if head.is_not_run {
        return AnswerVerdict::Fail(AttemptFailure::Rejected);
    }
    match head.status {
        200..=299 if head.is_signed => AnswerVerdict::Pass,
        200..=299 => AnswerVerdict::Fail(AttemptFailure::Garbled),
        status if NOT_RUN_STATUSES.contains(&status) => AnswerVerdict::Fail(AttemptFailure::Failed),
        500..=599 if kind.is_repeatable() => AnswerVerdict::PassOrRetry,
        300..=599 => AnswerVerdict::Pass,
        _ => AnswerVerdict::Fail(AttemptFailure::Garbled),
    }
}
