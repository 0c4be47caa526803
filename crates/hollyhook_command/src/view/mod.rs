//! Showing what a daemon says of itself and of its generations.

use std::io::{ErrorKind, Write as _};

use eyre::Result;

mod log_view;
mod status_view;
mod trace_view;

pub(crate) use log_view::{TraceArgs, run_trace};
pub(crate) use status_view::{StatusArgs, run_status};
pub(crate) use trace_view::{ExplainArgs, ReplayArgs, run_explain, run_replay};

/// Prints a text; a reader that has seen enough of it, such as `head`, is no error.
fn print_text(text: &str) -> Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error.into()),
        _ => Ok(()),
    }
}
