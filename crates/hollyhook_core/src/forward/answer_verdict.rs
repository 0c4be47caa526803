use crate::{EndpointId, LoadReport, Name, RequestKind, AdvertisedTerms};

/// What hollyhook reads of an endpoint's answer head.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The id of the request that it answers, as the endpoint echoed it.
    pub attempt_id: Option<Name>,
    /// The incarnation that answers, if it says so.
    pub endpoint: Option<EndpointId>,
    /// The version of the weights that a generation comes from.
    pub weights: Option<u64>,
    /// Whether the endpoint signed it.
    pub is_signed: bool,
    /// Whether the endpoint says that it has not run the request and never will.
    pub is_not_run: bool,
    /// Whether the body is encoded; callers ask for none, so it can't be the endpoint's own body.
    pub is_encoded: bool,
    /// The load that the endpoint reports.
    pub load: Option<LoadReport>,
    /// The terms on which the endpoint takes requests.
    pub terms: AdvertisedTerms,
}

impl AnswerHead {
    /// Whether the endpoint that was meant answers, as far as the answer says, rather than another one at its address.
    pub fn is_from(&self, endpoint: &str) -> bool {
        self.endpoint.as_deref().map_or(self.status != MISDIRECTED, |answering| answering == endpoint)
    }
}

/// Why an attempt is of no use to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// No connection could be made; nothing was sent.
    NotConnected,
    /// The endpoint said that it did not run the request, or that another one has its address.
    Rejected,
    /// Another incarnation has the address; nothing ran.
    WrongIncarnation,
    /// The connection broke before the answer was whole.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// The caller's or the route's time was up; nothing speaks against the endpoint.
    Expired,
    /// What came can't be the endpoint's answer to this request.
    Garbled,
    /// The endpoint ran the request and failed.
    Failed,
}

impl AttemptFailure {
    /// Whether the request certainly did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotConnected | Self::Rejected | Self::WrongIncarnation)
    }

    /// Whether the request may have reached an endpoint, so that sending it again spends of the retry budget.
    pub fn has_arrived(self) -> bool {
        self != Self::NotConnected
    }

    /// Whether it speaks against the endpoint itself, rather than against its load or one answer.
    pub fn is_loss(self) -> bool {
        matches!(self, Self::NotConnected | Self::Broken | Self::Silent)
    }

    /// A short name for logs and metrics.
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

/// What an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The endpoint's answer, to be passed on unchanged.
    Pass,
    /// Of no use to the caller.
    Fail(AttemptFailure),
    /// A failure of the endpoint that may be passed on if no other attempt is made.
    PassOrRetry,
}

/// Statuses by which a server promises that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
const MISDIRECTED: u16 = 421;

/// Judges an answer's head.
///
/// A status that promises "not run" is passed on from no endpoint: where the endpoint does not state that it did not
/// run the request, the promise would be false.
pub fn judge_answer(kind: RequestKind, attempt_id: &str, endpoint: &str, head: &AnswerHead) -> AnswerVerdict {
    let is_foreign = head.attempt_id.as_deref().is_some_and(|id| id != attempt_id);
    if is_foreign || head.is_encoded {
        return AnswerVerdict::Fail(AttemptFailure::Garbled);
    }
    if head.status == MISDIRECTED {
        // The incarnation that was meant may turn a request away for its weights; any other has only its address.
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
