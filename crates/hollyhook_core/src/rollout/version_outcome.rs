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

    /// The outcome of a failed attempt; `None` if it says nothing about the version.
    ///
    /// A rejection by a full endpoint says nothing, and neither do broken connections, which a whole zone loses at once.
    pub fn of_failure(failure: AttemptFailure) -> Option<Self> {
        match failure {
            AttemptFailure::Failed => Some(Self::Failed),
            AttemptFailure::Silent | AttemptFailure::Expired => Some(Self::Late),
            AttemptFailure::NotConnected
            | AttemptFailure::Rejected
            | AttemptFailure::WrongIncarnation
            | AttemptFailure::Broken
            | AttemptFailure::Garbled => None,
        }
    }
}
