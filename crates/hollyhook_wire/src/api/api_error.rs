use hollyhook_core::{Error, Name, RunState};
use http_types::{Response, StatusCode};
use serde::{Deserialize, Serialize};

/// The error object of the API with hollyhook's additional fields `run` and `retry_after_ms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// The message for people.
    pub message: Name,
    /// The error class of the API.
    #[serde(rename = "type")]
    pub class: Name,
    /// The request field, header or setting that the error concerns, if any.
    pub param: Option<Name>,
    /// The error code, from hollyhook's fixed list.
    pub code: Name,
    /// How far the request got before the error.
    pub run: RunState,
    /// The delay before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiErrorBody {
    /// The error object.
    pub error: ApiError,
}

impl ApiErrorBody {
    /// The body as JSON text.
    ///
    /// # Panics
    ///
    /// Never: every field can be represented in JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("an error object should serialize to JSON")
    }

    /// The complete HTTP response for an error.
    pub fn response(error: &Error) -> Response {
        let status = StatusCode::try_from(error.answer().status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        if let Some(span) = error.get_retry_after() {
            // The header has whole seconds. Rounding down would let the caller retry too early.
            let seconds = span.as_secs() + u64::from(span.subsec_nanos() > 0);
            response.insert_header("retry-after", seconds.max(1).to_string());
        }
        response.set_body(Self::from(error).to_json());
        response.set_content_type(http_types::mime::JSON);
        response
    }
}

impl From<&Error> for ApiErrorBody {
    fn from(error: &Error) -> Self {
        let answer = error.answer();
        Self {
            error: ApiError {
                message: error.message().into(),
                class: answer.class.into(),
                param: error.get_param().map(Name::from),
                code: answer.code.into(),
                run: error.get_run(),
                retry_after_ms: error.get_retry_after().map(|span| span.as_millis() as u64),
            },
        }
    }
}
