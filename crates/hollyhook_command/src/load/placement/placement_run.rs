use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, ValueEnum};
use comfy_table::Table;
use eyre::Result;
use serde::Serialize;

use super::fleet_model::{FleetOutcome, FleetScenario, simulate};
use super::host_model::PlacementPolicy;
use super::placement_plot::draw_rows;

/// Generations per second that an engine sustains, given the time to read a prompt and the time that decoding adds.
const ENGINE_RATE: f64 = 0.75;

/// Arguments of `hollyhook load placement`.
#[derive(Debug, Args)]
pub(crate) struct PlacementArgs {
    /// Number of engines.
    #[arg(long, default_value_t = 36, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    engines: u64,
    /// Number of availability zones.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=100))]
    zones: u64,
    /// Loads to simulate, in percent of the engines' capacity.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 60, 90, 120, 200])]
    loads: Vec<u64>,
    /// Seconds during which generations arrive.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    seconds: u64,
    /// Seed of the random numbers; the same seed gives the same table.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON object per row.
    #[arg(long)]
    json: bool,
    /// Also plot the share of generations that met their latency objectives against the load, as an SVG file.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

/// Results of one simulation.
#[derive(Debug, Serialize)]
pub(super) struct PlacementRow {
    pub(super) load: u64,
    pub(super) losses: bool,
    pub(super) policy: String,
    pub(super) in_time_percent: f64,
    first_p50_ms: u64,
    first_p99_ms: u64,
    gap_p50_ms: u64,
    gap_p99_ms: u64,
    read_again_ktokens: u64,
}

/// Simulates each load with each policy, without faults and with zones that crash in turn, and prints a table.
pub(crate) fn run_placement(args: &PlacementArgs) -> Result<ExitCode> {
    let mut rows = Vec::new();
    for load in &args.loads {
        for has_zone_crashes in [false, true] {
            for policy in PlacementPolicy::value_variants() {
                let scenario = FleetScenario {
                    policy: *policy,
                    engines: args.engines as usize,
                    zones: args.zones as usize,
                    rate: args.engines as f64 * ENGINE_RATE * *load as f64 / 100.0,
                    seconds: args.seconds,
                    has_zone_crashes,
                    seed: args.seed,
                };
                rows.push(row(&scenario, *load, simulate(scenario)));
            }
        }
    }
    if let Some(path) = &args.plot {
        draw_rows(path, &rows)?;
    }
    if args.json {
        for row in &rows {
            println!("{}", serde_json::to_string(row)?);
        }
        return Ok(ExitCode::SUCCESS);
    }
    println!("{}", table(&rows));
    Ok(ExitCode::SUCCESS)
}

fn row(scenario: &FleetScenario, load: u64, mut outcome: FleetOutcome) -> PlacementRow {
    outcome.first_us.sort_unstable();
    outcome.longest_gaps_us.sort_unstable();
    let policy = scenario.policy.to_possible_value().map(|value| value.get_name().to_owned());
    PlacementRow {
        load,
        losses: scenario.has_zone_crashes,
        policy: policy.unwrap_or_default(),
        in_time_percent: 100.0 * outcome.in_time as f64 / outcome.total.max(1) as f64,
        first_p50_ms: quantile(&outcome.first_us, 0.5),
        first_p99_ms: quantile(&outcome.first_us, 0.99),
        gap_p50_ms: quantile(&outcome.longest_gaps_us, 0.5),
        gap_p99_ms: quantile(&outcome.longest_gaps_us, 0.99),
        read_again_ktokens: outcome.reread_tokens / 1_000,
    }
}

/// Quantile of sorted times in microseconds, returned in milliseconds.
fn quantile(sorted: &[u64], fraction: f64) -> u64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * fraction).round() as usize;
    sorted.get(index).copied().unwrap_or_default() / 1_000
}

fn table(rows: &[PlacementRow]) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header([
        "load %",
        "losses",
        "policy",
        "in time %",
        "first p50",
        "first p99",
        "gap p50",
        "gap p99",
        "read again k",
    ]);
    for row in rows {
        table.add_row([
            row.load.to_string(),
            row.losses.to_string(),
            row.policy.clone(),
            format!("{:.1}", row.in_time_percent),
            row.first_p50_ms.to_string(),
            row.first_p99_ms.to_string(),
            row.gap_p50_ms.to_string(),
            row.gap_p99_ms.to_string(),
            row.read_again_ktokens.to_string(),
        ]);
    }
    table
}
