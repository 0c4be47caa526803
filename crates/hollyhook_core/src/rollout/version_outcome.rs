use crate::AttemptFailure;

/// What an attempt at an endpoint shows about the endpoint's software version.
///
/// It follows from what the caller would get, whatever the kind of the request: an error that is passed on to the caller
/// counts like one that another attempt replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionOutcome {
    /// A usable answer.
    Good,
    /// The endpoint's own error.
    Failed,
    /// An answer that blames the request (status 4xx).
    ClientError,
    /// No complete answer in time; the path may be the cause.
    Late,
    /// An answer that broke off or can't be used; the path may be the cause.
    Broken,
}

impl VersionOutcome {
    /// The outcome of an attempt whose answer with this status is passed on to the caller.
    pub fn of_answer(status: u16) -> Self {
        match status {
            400..=499 => Self::ClientError,
            500.. => Self::Failed,
            _ => Self::Good,
        }
    }

    /// The outcome of a failed attempt; `None` if the request did not run, which says nothing about the version.
    pub fn of_failure(failure: AttemptFailure) -> Option<Self> {
        match failure {
            AttemptFailure::Failed => Some(Self::Failed),
            AttemptFailure::Silent | AttemptFailure::Expired => Some(Self::Late),
            AttemptFailure::Broken | AttemptFailure::Garbled => Some(Self::Broken),
            AttemptFailure::NotConnected | AttemptFailure::Rejected | AttemptFailure::WrongIncarnation => None,
        }
    }

    /// Whether the attempt ended without a complete answer.
    pub fn is_lost(self) -> bool {
        matches!(self, Self::Late | Self::Broken)
    }
}
