//! Showing what a daemon says of itself and of its generations.

mod status_view;
mod trace_view;

pub(crate) use status_view::{StatusArgs, run_status};
pub(crate) use trace_view::{ExplainArgs, ReplayArgs, run_explain, run_replay};
