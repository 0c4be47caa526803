//! Showing what a daemon says of itself.

mod status_view;

pub(crate) use status_view::{StatusArgs, run_status};
