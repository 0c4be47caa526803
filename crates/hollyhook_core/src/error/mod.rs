//! The closed list of error kinds, the error type that carries one, and the table that maps each kind to its answer.

mod answer_table;
mod error_kind;
mod failure;

pub use answer_table::{Answer, answer_for};
pub use error_kind::{ErrorKind, RunState};
pub use failure::Error;

/// A result with hollyhook's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
