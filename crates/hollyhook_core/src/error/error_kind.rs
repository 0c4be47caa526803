use std::fmt;

use serde::{Deserialize, Serialize};

/// The kind of an error, from a closed list.
///
/// [`answer_for`](crate::answer_for) maps each kind to the answer that callers get.
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
    /// The request did not arrive completely within the allowed time.
    RequestTimeout,
    /// The body is not JSON.
    InvalidJson,
    /// The body is JSON, but a field is missing, of the wrong type or out of range.
    InvalidRequest,
    /// The prompt and the requested output do not fit into the model's context.
    ContextTooLong,
    /// The request carries no API key.
    MissingKey,
    /// The API key is not known.
    UnknownKey,
    /// The path does not exist.
    UnknownPath,
    /// The path does not support the method.
    WrongMethod,
    /// The model does not exist.
    UnknownModel,
    /// The cursor in `Last-Event-ID` is forged or altered, was issued elsewhere, or belongs to another request.
    CursorInvalid,
    /// The cursor is genuine but too old to continue from.
    CursorStale,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// A request with the same idempotency key is in progress on another connection.
    KeyInProgress,
    /// A newer connection has taken over the generation.
    Superseded,
    /// No endpoint can accept the request now.
    NoEndpoint,
    /// The request would not be served in time.
    Overloaded,
    /// The host is shutting down and accepts no new requests.
    Draining,
    /// The request needs the platform, which does not answer.
    PlatformDown,
    /// The call was not sent to any endpoint.
    NotRun,
    /// Endpoints crashed while running the same request, so that it was not sent to another endpoint.
    Quarantined,
    /// The call was sent and its outcome is unknown; it is not sent again.
    OutcomeUnknown,
    /// The generation was interrupted and no endpoint could continue it.
    GenerationLost,
    /// A continuation of the generation would not match the tokens already delivered.
    GenerationDiverged,
    /// The endpoint rejected the request as invalid.
    EndpointRefused,
    /// A setting is wrong.
    InvalidSetting,
    /// The configuration was changed concurrently by another writer.
    Conflict,
    /// An internal fault of hollyhook.
    Internal,
}

impl ErrorKind {
    /// All kinds, for tables and documentation.
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

    /// Whether the answer to this kind says after which time to try again.
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
    /// No byte of the request was sent to an endpoint.
    NotRun,
    /// The request ran in part; the output delivered so far remains valid.
    Partial,
    /// The request may or may not have run.
    Unknown,
}
