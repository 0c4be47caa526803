use std::fmt;
use std::time::Duration;

use super::{Answer, ErrorKind, RunState, answer_for};
use crate::Name;

/// An error: its kind, a message for people, and the field, header or setting that caused it.
///
/// ```
/// use hollyhook_core::{Error, ErrorKind};
///
/// let error = Error::new(ErrorKind::UnknownModel, "there is no model `tutr`; did you mean `tutor`?").param("model");
/// assert_eq!(error.kind(), ErrorKind::UnknownModel);
/// assert_eq!(error.to_string(), "there is no model `tutr`; did you mean `tutor`? (model_not_found, at `model`)");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    message: Name,
    param: Option<Name>,
    retry_after: Option<Duration>,
    run: RunState,
}

impl Error {
    /// Creates an error of `kind`; `message` says what was wrong and what would be right.
    pub fn new(kind: ErrorKind, message: impl Into<Name>) -> Self {
        Self { kind, message: message.into(), param: None, retry_after: None, run: answer_for(kind).run }
    }

    /// Adds the name of the field, header or setting that caused the error.
    #[must_use]
    pub fn param(mut self, param: impl Into<Name>) -> Self {
        self.param = Some(param.into());
        self
    }

    /// Adds the time after which a retry makes sense.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Sets how far the request got, where that differs from the [`Answer`] to the kind.
    #[must_use]
    pub fn run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    /// The kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// The message for people.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// The field, header or setting that caused the error.
    pub fn get_param(&self) -> Option<&str> {
        self.param.as_deref()
    }

    /// The time after which a retry makes sense.
    pub fn get_retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// How far the request got.
    pub fn get_run(&self) -> RunState {
        self.run
    }

    /// The answer to this kind of error.
    pub fn answer(&self) -> Answer {
        answer_for(self.kind)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}", self.message, self.kind)?;
        if let Some(param) = &self.param {
            write!(f, ", at `{param}`")?;
        }
        f.write_str(")")
    }
}

impl std::error::Error for Error {}
