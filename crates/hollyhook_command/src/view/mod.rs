//! Views of a daemon's status, its traces of generations, and the hosts' logs.

use std::io::{ErrorKind, Write as _};

use eyre::Result;

mod log_view;
mod status_view;
mod trace_view;

pub(crate) use log_view::{TraceArgs, run_trace};
pub(crate) use status_view::{StatusArgs, run_status};
pub(crate) use trace_view::{ExplainArgs, ReplayArgs, run_explain, run_replay};

/// Writes `text` to the standard output. A pipe that its reader has closed, such as `head`, is not an error.
fn print_text(text: &str) -> Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error.into()),
        _ => Ok(()),
    }
}
