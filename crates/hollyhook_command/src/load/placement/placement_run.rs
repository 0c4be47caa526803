use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, ValueEnum};
use comfy_table::Table;
use eyre::Result;
use serde::Serialize;

use super::fleet_model::{FleetOutcome, FleetPlan, play};
use super::host_model::PlacementPolicy;
use super::placement_plot::draw_rows;

/// Generations a second that an engine can take: the time to read a prompt and what decoding adds to it.
const ENGINE_RATE: f64 = 0.75;

/// What to play.
#[derive(Debug, Args)]
pub(crate) struct PlacementArgs {
    /// Engines of the model.
    #[arg(long, default_value_t = 36, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    engines: u64,
    /// Availability zones.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=100))]
    zones: u64,
    /// Loads, in percent of what the engines can take.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 60, 90, 120, 200])]
    loads: Vec<u64>,
    /// Seconds of arrivals.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    seconds: u64,
    /// The random numbers; the same seed gives the same table.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON object a row.
    #[arg(long)]
    json: bool,
    /// Also draw the share of generations in time over the load, as an SVG file.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

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

/// Plays each load with each policy, calm and with zones that crash in turn, and prints a table.
pub(crate) fn run_placement(args: &PlacementArgs) -> Result<ExitCode> {
    let mut rows = Vec::new();
    for load in &args.loads {
        for has_losses in [false, true] {
            for policy in PlacementPolicy::value_variants() {
                let plan = FleetPlan {
                    policy: *policy,
                    engines: args.engines as usize,
                    zones: args.zones as usize,
                    rate: args.engines as f64 * ENGINE_RATE * *load as f64 / 100.0,
                    seconds: args.seconds,
                    has_losses,
                    seed: args.seed,
                };
                rows.push(row(&plan, *load, play(plan)));
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

fn row(plan: &FleetPlan, load: u64, mut outcome: FleetOutcome) -> PlacementRow {
    outcome.first_us.sort_unstable();
    outcome.gaps_us.sort_unstable();
    let policy = plan.policy.to_possible_value().map(|value| value.get_name().to_owned());
    PlacementRow {
        load,
        losses: plan.has_losses,
        policy: policy.unwrap_or_default(),
        in_time_percent: 100.0 * outcome.in_time as f64 / outcome.all.max(1) as f64,
        first_p50_ms: quantile(&outcome.first_us, 0.5),
        first_p99_ms: quantile(&outcome.first_us, 0.99),
        gap_p50_ms: quantile(&outcome.gaps_us, 0.5),
        gap_p99_ms: quantile(&outcome.gaps_us, 0.99),
        read_again_ktokens: outcome.read_again / 1_000,
    }
}

/// A quantile of sorted microseconds, in milliseconds.
fn quantile(sorted: &[u64], share: f64) -> u64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
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
