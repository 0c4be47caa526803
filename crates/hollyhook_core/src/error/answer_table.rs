use super::{ErrorKind, RunState};

const INVALID: &str = "invalid_request_error";
const AUTHENTICATION: &str = "authentication_error";
const RATE: &str = "rate_limit_error";
const SERVER: &str = "server_error";

/// The answer that callers get for one kind of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The `type` of the API's error object.
    pub class: &'static str,
    /// The `code` of the API's error object.
    pub code: &'static str,
    /// How far the request got, unless the error itself states it: see [`Error::run`](super::Error::run).
    pub run: RunState,
    /// Whether the answer says after which time to try again.
    pub has_retry_after: bool,
}

const fn answer(status: u16, class: &'static str, code: &'static str, run: RunState, has_retry_after: bool) -> Answer {
    Answer { status, class, code, run, has_retry_after }
}

/// Maps a kind of error to its answer.
///
/// ```
/// use hollyhook_core::{ErrorKind, answer_for};
///
/// assert_eq!(answer_for(ErrorKind::UnknownModel).status, 404);
/// assert!(answer_for(ErrorKind::Overloaded).has_retry_after);
/// ```
pub const fn answer_for(kind: ErrorKind) -> Answer {
    use RunState::{NotRun, Partial, Unknown};
    match kind {
        ErrorKind::MalformedHead => answer(400, INVALID, "malformed_head", NotRun, false),
        ErrorKind::HeadTooLarge => answer(431, INVALID, "head_too_large", NotRun, false),
        ErrorKind::BodyTooLarge => answer(413, INVALID, "body_too_large", NotRun, false),
        ErrorKind::RequestTimeout => answer(408, INVALID, "request_timeout", NotRun, false),
        ErrorKind::InvalidJson => answer(400, INVALID, "invalid_json", NotRun, false),
        ErrorKind::InvalidRequest => answer(400, INVALID, "invalid_request", NotRun, false),
        ErrorKind::ContextTooLong => answer(400, INVALID, "context_length_exceeded", NotRun, false),
        ErrorKind::MissingKey => answer(401, AUTHENTICATION, "missing_api_key", NotRun, false),
        ErrorKind::UnknownKey => answer(401, AUTHENTICATION, "invalid_api_key", NotRun, false),
        ErrorKind::UnknownPath => answer(404, INVALID, "unknown_path", NotRun, false),
        ErrorKind::WrongMethod => answer(405, INVALID, "wrong_method", NotRun, false),
        ErrorKind::UnknownModel => answer(404, INVALID, "model_not_found", NotRun, false),
        ErrorKind::CursorInvalid => answer(400, INVALID, "cursor_invalid", NotRun, false),
        ErrorKind::CursorStale => answer(410, INVALID, "cursor_stale", Partial, false),
        ErrorKind::KeyReused => answer(422, INVALID, "idempotency_key_reused", NotRun, false),
        ErrorKind::KeyInProgress => answer(409, INVALID, "idempotency_key_in_progress", Unknown, true),
        ErrorKind::Superseded => answer(409, INVALID, "superseded", Partial, false),
        ErrorKind::NoEndpoint => answer(503, SERVER, "no_endpoint", NotRun, true),
        ErrorKind::Overloaded => answer(429, RATE, "overloaded", NotRun, true),
        ErrorKind::Draining => answer(503, SERVER, "draining", NotRun, true),
        ErrorKind::PlatformDown => answer(503, SERVER, "platform_down", NotRun, true),
        ErrorKind::NotRun => answer(503, SERVER, "not_run", NotRun, true),
        ErrorKind::Quarantined => answer(503, SERVER, "quarantined", NotRun, true),
        ErrorKind::OutcomeUnknown => answer(502, SERVER, "outcome_unknown", Unknown, false),
        ErrorKind::GenerationLost => answer(502, SERVER, "generation_lost", Partial, true),
        ErrorKind::GenerationDiverged => answer(502, SERVER, "generation_diverged", Partial, false),
        ErrorKind::EndpointRefused => answer(400, INVALID, "endpoint_refused", NotRun, false),
        ErrorKind::InvalidSetting => answer(400, INVALID, "invalid_setting", NotRun, false),
        ErrorKind::Conflict => answer(409, INVALID, "conflict", NotRun, false),
        ErrorKind::Internal => answer(500, SERVER, "internal", Unknown, false),
    }
}
