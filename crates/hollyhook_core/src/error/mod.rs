//! The closed list of error kinds, the error that carries one, and the table from kind to answer.

mod answer_table;
mod error_kind;
mod failure;

pub use answer_table::{Answer, answer_for};
pub use error_kind::{ErrorKind, RunState};
pub use failure::Error;

/// A result whose error is hollyhook's own.
pub type Result<T> = std::result::Result<T, Error>;
