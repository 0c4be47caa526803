use std::process::ExitCode;

use clap::{Args, Subcommand};
use eyre::Result;

use super::failures::{FailureArgs, run_failures};
use super::overhead::{OverheadArgs, run_overhead};
use super::placement::{PlacementArgs, run_placement};
use super::slopes::{SlopeArgs, run_slopes};

/// Arguments of `hollyhook load`: the experiment to run.
#[derive(Debug, Args)]
pub(crate) struct LoadArgs {
    #[command(subcommand)]
    kind: LoadKind,
}

#[derive(Debug, Subcommand)]
enum LoadKind {
    /// Compare streams through a running daemon with streams read directly from its engine.
    Overhead(OverheadArgs),
    /// Kill, pause and silence engines and zones of a fleet in this process; compare policies with a naive client.
    Failures(FailureArgs),
    /// Measure the cost of one more stream, token, endpoint, account or claim, from which docs/CAPACITY.md is derived.
    Slopes(SlopeArgs),
    /// Simulate placement policies in virtual time on a model of the engines, by default up to twice their capacity,
    /// with and without zone failures.
    Placement(PlacementArgs),
}

/// Runs an experiment and prints its results.
pub(crate) async fn run_load(args: LoadArgs) -> Result<ExitCode> {
    match args.kind {
        LoadKind::Overhead(args) => run_overhead(args).await,
        LoadKind::Slopes(args) => run_slopes(&args),
        LoadKind::Placement(args) => run_placement(&args),
        LoadKind::Failures(args) => run_failures(args).await,
    }
}
