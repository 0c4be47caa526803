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
    /// Check a base file with the overlay of a site, and show every error.
    Check {
        /// The base file for all sites.
        base: PathBuf,
        /// The overlay of a site.
        #[arg(long)]
        overlay: PathBuf,
    },
    /// Make an API key for a client account, or a cursor key for the hosts.
    Key {
        /// Make a cursor key instead.
        #[arg(long)]
        cursor: bool,
    },
    /// Show what a running daemon does.
    Status(StatusArgs),
    /// Tell what happened to one request, step by step, from the daemon's trace of it.
    Explain(ExplainArgs),
    /// Tell what happened to one request from the logs of many gateways.
    Trace(TraceArgs),
    /// Replay recorded traces and compare with the outcomes that they state.
    Replay(ReplayArgs),
    /// Measure what the daemon costs and how it does through failures.
    Load(LoadArgs),
    /// Run a stand-in of an outside system as this process.
    StandIn(StandInArgs),
}

/// Runs the command and says how it ended.
///
/// # Errors
///
/// What a person has to know to make it work.
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
