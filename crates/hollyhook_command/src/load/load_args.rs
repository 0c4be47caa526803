use std::process::ExitCode;

use clap::{Args, Subcommand};
use eyre::Result;

use super::failures::{FailureArgs, run_failures};
use super::overhead::{OverheadArgs, run_overhead};
use super::placement::{PlacementArgs, run_placement};
use super::slopes::{SlopeArgs, run_slopes};

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
    /// Kill, pause and silence engines and zones of a fleet in this process; compare policies with the naive way.
    Failures(FailureArgs),
    /// Measure what one more stream, token, endpoint, account or claim costs; docs/CAPACITY.md is worked out from it.
    Slopes(SlopeArgs),
    /// Play placement policies in virtual time on a model of the engines, up to twice their capacity and with losses.
    Placement(PlacementArgs),
}

/// Runs an experiment and prints what it measured.
pub(crate) async fn run_load(args: LoadArgs) -> Result<ExitCode> {
    match args.kind {
        LoadKind::Overhead(args) => run_overhead(args).await,
        LoadKind::Slopes(args) => run_slopes(&args),
        LoadKind::Placement(args) => run_placement(&args),
        LoadKind::Failures(args) => run_failures(args).await,
    }
}
