use std::fmt;

use serde::{Deserialize, Serialize};

/// What went wrong, from a closed list.
///
/// The table in [`answer_for`](crate::answer_for) gives the answer that a caller gets for each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[non_exhaustive]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The head of the request is not HTTP.
    MalformedHead,
    /// The head of the request is larger than the limit.
    HeadTooLarge,
    /// The body of the request is larger than the limit.
    BodyTooLarge,
    /// The request did not arrive whole within the time allowed.
    RequestTimeout,
    /// The body is not JSON.
    InvalidJson,
    /// The body is JSON, but a field is missing, of the wrong type or out of range.
    InvalidRequest,
    /// The prompt and the requested output do not fit into the model's context.
    ContextTooLong,
    /// No API key came with the request.
    MissingKey,
    /// The API key is not known.
    UnknownKey,
    /// No such path.
    UnknownPath,
    /// The path does not take that method.
    WrongMethod,
    /// No such model.
    UnknownModel,
    /// The cursor in `Last-Event-ID` is forged, altered, foreign or of another request.
    CursorInvalid,
    /// The cursor is genuine but too old to continue from.
    CursorStale,
    /// The idempotency key came earlier with a different request.
    KeyReused,
    /// The same idempotency key is being worked on through another connection.
    KeyInProgress,
    /// A newer connection has taken the generation over.
    Superseded,
    /// No endpoint can take the request now.
    NoEndpoint,
    /// The request would not be served in time.
    Overloaded,
    /// The host is stopping and takes no new request.
    Draining,
    /// The platform is needed for this request and does not answer.
    PlatformDown,
    /// The call was not sent to any endpoint.
    NotRun,
    /// Endpoints that began to run the same request ended; it was not sent to another.
    Quarantined,
    /// The call was sent and its outcome is not known; it is never sent again.
    OutcomeUnknown,
    /// The generation was cut and no endpoint could continue it.
    GenerationLost,
    /// A continuation would not match the tokens that were delivered.
    GenerationDiverged,
    /// The endpoint refused the request as invalid.
    EndpointRefused,
    /// A setting is wrong.
    InvalidSetting,
    /// The configuration was changed by someone else meanwhile.
    Conflict,
    /// A fault of hollyhook itself.
    Internal,
}

impl ErrorKind {
    /// Every kind, for tables and documentation.
    pub const ALL: [Self; 30] = [
        Self::MalformedHead,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::RequestTimeout,
        Self::InvalidJson,
        Self::InvalidRequest,
        Self::ContextTooLong,
        Self::MissingKey,
        Self::UnknownKey,
        Self::UnknownPath,
        Self::WrongMethod,
        Self::UnknownModel,
        Self::CursorInvalid,
        Self::CursorStale,
        Self::KeyReused,
        Self::KeyInProgress,
        Self::Superseded,
        Self::NoEndpoint,
        Self::Overloaded,
        Self::Draining,
        Self::PlatformDown,
        Self::NotRun,
        Self::Quarantined,
        Self::OutcomeUnknown,
        Self::GenerationLost,
        Self::GenerationDiverged,
        Self::EndpointRefused,
        Self::InvalidSetting,
        Self::Conflict,
        Self::Internal,
    ];

    /// Whether its answer says when to come back.
    pub const fn has_retry_after(self) -> bool {
        crate::answer_for(self).has_retry_after
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(crate::answer_for(*self).code)
    }
}

/// How far a refused or failed request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of it was sent to an endpoint.
    NotRun,
    /// It ran in part; what was delivered stands.
    Partial,
    /// It may or may not have run.
    Unknown,
}
