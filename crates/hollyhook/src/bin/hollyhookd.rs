//! The daemon of an entry host.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use async_global_executor::GlobalExecutorConfig;
use async_signal::{Signal, Signals};
use clap::Parser;
use futures::StreamExt;
use futures::future::{Either, select};
use hollyhook::{Daemon, Gateway, GatewaySettings, ProcessSettings, SiteSettings};
use hollyhook_settings::{SettingErrors, SettingFile};
use hollyhook_telemetry::{LogGuard, LogTarget, init_log};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Serves generations and plain calls on an entry host.
#[derive(Debug, Parser)]
#[command(name = "hollyhookd", version, about)]
struct DaemonArgs {
    /// Settings file of this process.
    #[arg(long)]
    settings: PathBuf,
    /// Check all settings and exit.
    #[arg(long)]
    check: bool,
}

/// Number of threads of a gateway: its hosts have one core at most.
const GATEWAY_THREADS: usize = 1;

/// Interval at which a gateway reads its settings file again, since the file may change without a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Role of this process, as given by its settings.
enum DaemonRole {
    /// A daemon that reads the site's configuration from files.
    Daemon(Box<ProcessSettings>, Box<SiteSettings>),
    /// A daemon that reads the site's configuration from the platform's store.
    Gateway(Box<GatewaySettings>),
}

fn main() -> eyre::Result<ExitCode> {
    let args = DaemonArgs::parse();
    let role = match load(&args) {
        Ok(role) => role,
        Err(errors) => {
            eprintln!("{errors}");
            return Ok(ExitCode::FAILURE);
        }
    };
    match role {
        DaemonRole::Daemon(process, site) if args.check => {
            println!("host {} of site {}: the settings are valid", process.host, site.name);
            Ok(ExitCode::SUCCESS)
        }
        DaemonRole::Gateway(settings) if args.check => {
            println!("host {}, a gateway of the store at {}: the settings are valid", settings.host, settings.store);
            Ok(ExitCode::SUCCESS)
        }
        DaemonRole::Daemon(process, site) => {
            // Logs go to the standard error, since the addresses bound for port 0 are printed on the standard output.
            let _log = init_log(LogTarget::Stderr, process.log_format, &process.log_level)?;
            run(process.threads, serve(*process, *site))
        }
        DaemonRole::Gateway(settings) => {
            let log = init_log(LogTarget::Stdout, settings.log_format, &settings.log_level)?;
            run(GATEWAY_THREADS, serve_gateway(args.settings, *settings, log))
        }
    }
}

fn run(threads: usize, work: impl Future<Output = eyre::Result<ExitCode>>) -> eyre::Result<ExitCode> {
    // async-std uses a global executor that was initialized before it starts, so the number of threads is set first.
    let config = GlobalExecutorConfig::default().with_min_threads(threads).with_max_threads(threads);
    async_global_executor::init_with_config(config);
    async_std::task::block_on(work)
}

async fn serve_gateway(path: PathBuf, mut settings: GatewaySettings, log: LogGuard) -> eyre::Result<ExitCode> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let gateway = Gateway::start(&settings)?;
    loop {
        let reload_timer = std::pin::pin!(async_std::task::sleep(RELOAD_INTERVAL));
        match select(signals.next(), reload_timer).await {
            Either::Left((Some(Ok(Signal::Hup)), _)) | Either::Right(_) => {
                reload(&gateway, &path, &mut settings);
                log_missing_lines(&log);
            }
            Either::Left(_) => break,
        }
    }
    let is_whole = gateway.drain().await;
    // The bounds permit a drain to cut off requests that don't end in time, so the exit code is success either way.
    tracing::info!(is_whole, "process.ended");
    Ok(ExitCode::SUCCESS)
}

/// Logs how many log lines each call site had suppressed since the last call, and how many were dropped since the start
/// because the output was too slow.
fn log_missing_lines(log: &LogGuard) {
    for (kind, lines) in log.limiter.take_suppressed() {
        tracing::warn!(kind = %kind, lines, "log.left_out");
    }
    if log.dropped_lines() > 0 {
        tracing::warn!(lines = log.dropped_lines(), "log.dropped");
    }
}

/// Reads the settings file again and passes the settings to the gateway if they changed and are valid. Otherwise the
/// gateway keeps the old ones.
fn reload(gateway: &Gateway, path: &Path, settings: &mut GatewaySettings) {
    match GatewaySettings::load(path) {
        Ok(new) if new == *settings => {}
        Ok(new) => {
            gateway.reload(&new);
            *settings = new;
        }
        Err(errors) => tracing::error!(%errors, "settings.not_taken"),
    }
}

async fn serve(process: ProcessSettings, site: SiteSettings) -> eyre::Result<ExitCode> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let daemon = Daemon::start(process, site).await?;
    println!("listening={}", daemon.address());
    println!("peer_listening={}", daemon.peer_address());
    signals.next().await;
    // A second signal ends the drain: the requests still running are cut off.
    let drain = std::pin::pin!(daemon.drain());
    match select(drain, signals.next()).await {
        Either::Left((true, _)) => Ok(ExitCode::SUCCESS),
        Either::Left((false, _)) | Either::Right(_) => Ok(ExitCode::FAILURE),
    }
}

fn load(args: &DaemonArgs) -> Result<DaemonRole, SettingErrors> {
    let file = SettingFile::load(&args.settings)?;
    if GatewaySettings::is_gateway_file(&file) {
        return GatewaySettings::parse(&file).map(|settings| DaemonRole::Gateway(Box::new(settings)));
    }
    let process = ProcessSettings::load(&args.settings)?;
    let site = SiteSettings::load(&process.base, &process.overlay)?;
    Ok(DaemonRole::Daemon(Box::new(process), Box::new(site)))
}
