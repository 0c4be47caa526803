//! Load and experiments: what the daemon costs, and how it does through failures.

mod failure_stream;
mod failures;
mod load_args;
mod overhead;
mod placement;
mod sample_set;
mod slopes;

pub(crate) use load_args::{LoadArgs, run_load};
