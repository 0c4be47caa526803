use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use comfy_table::{Table, presets};
use eyre::{OptionExt, Result, WrapErr};
use hollyhook_wire::{StatusReport, connect_peer};

use super::print_text;

/// Arguments of `hollyhook status`.
#[derive(Debug, Args)]
pub(crate) struct StatusArgs {
    /// Address at which the daemon serves other daemons (`peer_listen` in its settings).
    address: SocketAddr,
    /// Print the status as one JSON object.
    #[arg(long)]
    json: bool,
}

/// Fetches a daemon's status and prints it.
pub(crate) async fn run_status(args: StatusArgs) -> Result<ExitCode> {
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
    let client = connect_peer(args.address, CONNECT_TIMEOUT).await?;
    let status =
        client.status(tarpc::context::current()).await.wrap_err("the daemon did not answer the status request")?;
    let status = status.ok_or_eyre("the daemon returned no status")?;
    if args.json {
        print_text(&format!("{}\n", serde_json::to_string(&status)?))?;
    } else {
        print_text(&status_text(&status)?)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn status_text(status: &StatusReport) -> Result<String> {
    const MEBIBYTE: u64 = 1 << 20;
    let mut text = String::new();
    writeln!(
        text,
        "host {} in {}: configuration {} ({}), up {} s, {} generations, {} connections, {} MiB, {} ms of processor{}",
        status.host.host,
        status.host.zone,
        status.host.config_version,
        &status.host.config_digest[..status.host.config_digest.len().min(12)],
        status.uptime_secs,
        status.host.generations,
        status.connections,
        status.memory_bytes / MEBIBYTE,
        status.cpu_ms,
        if status.host.is_draining { ", stopping" } else { "" }
    )?;
    let mut table = new_table(&["endpoint", "service", "zone", "state", "ejected", "open", "pressure"]);
    for row in &status.endpoints {
        let state = format!("{:?}", row.state).to_lowercase();
        table.add_row([
            row.endpoint.to_string(),
            row.service.to_string(),
            row.zone.to_string(),
            state,
            row.is_ejected.to_string(),
            row.open.to_string(),
            format!("{:.2}", row.pressure),
        ]);
    }
    writeln!(text, "{table}")?;
    let mut table = new_table(&["measure", "of", "name", "count", "p50 ms", "p95 ms", "p99 ms", "max ms"]);
    for row in &status.histograms {
        let millis = |micros: u64| format!("{:.1}", micros as f64 / 1_000.0);
        table.add_row([
            row.measure.to_string(),
            row.scope.to_string(),
            row.name.to_string(),
            row.count.to_string(),
            millis(row.p50_us),
            millis(row.p95_us),
            millis(row.p99_us),
            millis(row.max_us),
        ]);
    }
    writeln!(text, "{table}")?;
    let mut table = new_table(&["counter", "value"]);
    for row in &status.counters {
        table.add_row([row.counter.to_string(), row.value.to_string()]);
    }
    writeln!(text, "{table}")?;
    Ok(text)
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_BORDERS_ONLY_CONDENSED).set_header(header.iter().copied());
    table
}
