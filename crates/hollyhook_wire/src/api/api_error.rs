use hollyhook_core::{Error, Name, RunState};
use http_types::{Response, StatusCode};
use serde::{Deserialize, Serialize};

/// The error object of the API, with what hollyhook adds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// What a person should know.
    pub message: Name,
    /// The broad class, as the API names it.
    #[serde(rename = "type")]
    pub class: Name,
    /// The field, header or setting that it is about.
    pub param: Option<Name>,
    /// The kind, from hollyhook's closed list.
    pub code: Name,
    /// How far the request got.
    pub run: RunState,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The body of an answer that refuses.
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
    /// Never: the object has nothing that JSON can't hold.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("an error object is JSON")
    }

    /// The whole answer for an error.
    pub fn response(error: &Error) -> Response {
        let status = StatusCode::try_from(error.answer().status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        if let Some(span) = error.get_retry_after() {
            // The header counts whole seconds; rounding down would call the caller back too early.
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
