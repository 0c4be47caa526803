//! The daemon of an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use async_global_executor::GlobalExecutorConfig;
use async_signal::{Signal, Signals};
use clap::Parser;
use futures::StreamExt;
use futures::future::{Either, select};
use hollyhook::{Daemon, ProcessSettings, SiteSettings};
use hollyhook_daemon::init_log;
use hollyhook_settings::SettingErrors;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Serves generations and plain calls on an entry host.
#[derive(Debug, Parser)]
#[command(name = "hollyhookd", version, about)]
struct DaemonArgs {
    /// The settings of this process.
    #[arg(long)]
    settings: PathBuf,
    /// Check all settings and end.
    #[arg(long)]
    check: bool,
}

fn main() -> eyre::Result<ExitCode> {
    let args = DaemonArgs::parse();
    let (process, site) = match load(&args) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return Ok(ExitCode::FAILURE);
        }
    };
    if args.check {
        println!("host {} of site {}: the settings are right", process.host, site.name);
        return Ok(ExitCode::SUCCESS);
    }
    init_log(process.log_format, &process.log_level)?;
    // async-std takes the executor that is there when it starts.
    let threads = GlobalExecutorConfig::default().with_min_threads(process.threads).with_max_threads(process.threads);
    async_global_executor::init_with_config(threads);
    async_std::task::block_on(serve(process, site))
}

async fn serve(process: ProcessSettings, site: SiteSettings) -> eyre::Result<ExitCode> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let daemon = Daemon::start(process, site).await?;
    println!("listening={}", daemon.address());
    println!("peer_listening={}", daemon.peer_address());
    signals.next().await;
    // A second signal is the operator's choice to cut what is left.
    let drain = std::pin::pin!(daemon.drain());
    match select(drain, signals.next()).await {
        Either::Left((true, _)) => Ok(ExitCode::SUCCESS),
        Either::Left((false, _)) | Either::Right(_) => Ok(ExitCode::FAILURE),
    }
}

fn load(args: &DaemonArgs) -> Result<(ProcessSettings, SiteSettings), SettingErrors> {
    let process = ProcessSettings::load(&args.settings)?;
    let site = SiteSettings::load(&process.base, &process.overlay)?;
    Ok((process, site))
}
