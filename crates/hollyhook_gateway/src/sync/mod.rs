//! Shared state of a process.

mod lock;

pub(crate) use lock::lock;
