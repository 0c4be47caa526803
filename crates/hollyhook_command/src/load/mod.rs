//! Load generation and experiments: the daemon's overhead, and its behaviour during failures.

mod failure_stream;
mod failures;
mod load_args;
mod overhead;
mod placement;
mod sample_set;
mod slopes;

pub(crate) use load_args::{LoadArgs, run_load};
