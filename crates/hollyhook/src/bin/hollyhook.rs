//! The operator's command.

use std::process::ExitCode;

use clap::Parser;
use hollyhook::{CommandArgs, run_command};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

#[async_std::main]
async fn main() -> eyre::Result<ExitCode> {
    run_command(CommandArgs::parse()).await
}
