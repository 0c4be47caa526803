use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use eyre::Result;

use crate::demo::{DemoArgs, run_demo};
use crate::load::{LoadArgs, run_load};
use crate::settings::{check_settings, print_key};
use crate::stand_in::{StandInArgs, run_stand_in};
use crate::view::{ExplainArgs, ReplayArgs, StatusArgs, TraceArgs, run_explain, run_replay, run_status, run_trace};

/// Operates hollyhook, a serving system for long generations on engines that fail.
#[derive(Debug, Parser)]
#[command(name = "hollyhook", version, about)]
pub struct CommandArgs {
    #[command(subcommand)]
    command: CommandKind,
}

#[derive(Debug, Subcommand)]
enum CommandKind {
    /// Stream a generation through a small fleet in this process, and kill its engine midway.
    Demo(DemoArgs),
    /// Check the settings in a base file and the overlay of a site, and show every error.
    Check {
        /// Base file that all sites share.
        base: PathBuf,
        /// Overlay file of the site.
        #[arg(long)]
        overlay: PathBuf,
    },
    /// Generate an API key for a client account, or a cursor key for the hosts.
    Key {
        /// Generate a cursor key instead of an API key.
        #[arg(long)]
        cursor: bool,
    },
    /// Show the status of a running daemon.
    Status(StatusArgs),
    /// Show what happened to a request, step by step, from the daemon's trace of it.
    Explain(ExplainArgs),
    /// Show what happened to a request, from the logs of many gateways.
    Trace(TraceArgs),
    /// Replay recorded traces and compare the results with the outcomes that the traces expect.
    Replay(ReplayArgs),
    /// Measure the daemon's overhead and its behaviour during failures.
    Load(LoadArgs),
    /// Run a stand-in for an external system in this process.
    StandIn(StandInArgs),
}

/// Runs the command and returns the exit code of the process.
///
/// # Errors
///
/// Returns an error if the command can't be carried out, with the cause as a text for the operator.
pub async fn run_command(args: CommandArgs) -> Result<ExitCode> {
    match args.command {
        CommandKind::Demo(args) => run_demo(args).await,
        CommandKind::Check { base, overlay } => Ok(check_settings(&base, &overlay)),
        CommandKind::Key { cursor } => {
            print_key(cursor);
            Ok(ExitCode::SUCCESS)
        }
        CommandKind::Status(args) => run_status(args).await,
        CommandKind::Explain(args) => run_explain(args).await,
        CommandKind::Trace(args) => run_trace(&args),
        CommandKind::Replay(args) => run_replay(&args),
        CommandKind::Load(args) => run_load(args).await,
        CommandKind::StandIn(args) => run_stand_in(args).await,
    }
}
