use std::process::ExitCode;

use clap::{Args, Subcommand};
use eyre::Result;

use super::overhead::{OverheadArgs, run_overhead};

/// Which experiment to run.
#[derive(Debug, Args)]
pub(crate) struct LoadArgs {
    #[command(subcommand)]
    kind: LoadKind,
}

#[derive(Debug, Subcommand)]
enum LoadKind {
    /// Compare streams through a running daemon with streams straight from its engine.
    Overhead(OverheadArgs),
}

/// Runs an experiment and prints what it measured.
pub(crate) async fn run_load(args: LoadArgs) -> Result<ExitCode> {
    match args.kind {
        LoadKind::Overhead(args) => run_overhead(args).await,
    }
}
