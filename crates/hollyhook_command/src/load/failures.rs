use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_std::task;
use clap::Args;
use eyre::Result;
use futures::future::join_all;
use hollyhook_standin::{FaultKind, FaultOrder};
use hollyhook_wire::EngineWork;
use serde::Serialize;

use super::failure_stream::{FailureStream, StreamClient, StreamOutcome};
use super::sample_set::SampleSet;
use crate::fixture::{FleetOptions, LocalFleet};

const ZONES: usize = 4;
const ENGINES: usize = 8;
/// Concurrent requests per engine.
const SLOTS: u32 = 16;
/// Duration of an engine's decode step.
const STEP: Duration = Duration::from_millis(20);
/// Time in which an engine reads one prompt token.
const READ_COST: Duration = Duration::from_micros(100);
/// Number of streams that occupies 80 % of all slots.
const LOADED_STREAMS: usize = ENGINES * SLOTS as usize * 8 / 10;

/// Engine time per decoded token in seconds, with all slots occupied.
fn decode_cost() -> f64 {
    STEP.as_secs_f64() / f64::from(SLOTS)
}

/// Arguments of `hollyhook load failures`.
#[derive(Debug, Args)]
pub(crate) struct FailureArgs {
    /// Tokens of each stream; the fault is injected once every stream has received half of them.
    #[arg(long, default_value_t = 150)]
    tokens: u64,
    /// Words of each prompt.
    #[arg(long, default_value_t = 200)]
    prompt: usize,
    /// Print one JSON object per row.
    #[arg(long)]
    json: bool,
}

/// Fault that is injected when the streams are halfway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum FaultPlan {
    None,
    KillEngine,
    PauseEngine,
    SilenceEngine,
    KillZone,
    PauseZone,
}

impl FaultPlan {
    const ALL: [Self; 6] =
        [Self::None, Self::KillEngine, Self::PauseEngine, Self::SilenceEngine, Self::KillZone, Self::PauseZone];

    fn kind(self) -> Option<FaultKind> {
        Some(match self {
            Self::None => return None,
            Self::KillEngine | Self::KillZone => FaultKind::Die,
            Self::PauseEngine | Self::PauseZone => FaultKind::Pause,
            Self::SilenceEngine => FaultKind::Silence,
        })
    }

    /// Engines that the fault affects, `busy` among them. The zone of an engine is its number modulo `ZONES`.
    fn engines(self, busy: usize) -> Vec<usize> {
        match self {
            Self::None => Vec::new(),
            Self::KillEngine | Self::PauseEngine | Self::SilenceEngine => vec![busy],
            Self::KillZone | Self::PauseZone => (0..ENGINES).filter(|engine| engine % ZONES == busy % ZONES).collect(),
        }
    }
}

/// Recovery policy of a run: one of the daemon's, or a naive client without a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum PolicyPlan {
    FavourLatency,
    FavourWork,
    /// Requests sent directly to the engines, restarted at the next engine from the first token after an error or 5 s
    /// without a response or token.
    Naive,
}

impl PolicyPlan {
    const ALL: [Self; 3] = [Self::FavourLatency, Self::FavourWork, Self::Naive];
}

/// Results of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct FailureRow {
    fault: FaultPlan,
    policy: PolicyPlan,
    streams: usize,
    /// Streams that ran on the failed engines.
    affected: usize,
    /// Streams that were complete, with every token compared.
    whole: usize,
    resume_p50_ms: f64,
    resume_p99_ms: f64,
    resume_max_ms: f64,
    extra_prefill_tokens: u64,
    extra_decode_tokens: u64,
    /// Engine work in tokens divided by that of an undisturbed run, minus one.
    extra_work_ratio: f64,
    /// Engine time divided by that of an undisturbed run, minus one. A read token takes 0.1 ms, a decoded one its
    /// slot's share of a step.
    extra_time_ratio: f64,
}

/// Runs every fault with every policy, for one stream and at 80 % of the slots, and prints one row for each run.
///
/// Exits with failure if a stream through a daemon was incomplete.
pub(crate) async fn run_failures(args: FailureArgs) -> Result<ExitCode> {
    if !args.json {
        println!(
            "{:>14} {:>14} {:>7} {:>8} {:>6} {:>10} {:>10} {:>10} {:>9} {:>9} {:>8} {:>8}",
            "fault",
            "policy",
            "streams",
            "affected",
            "whole",
            "resume p50",
            "p99 ms",
            "max ms",
            "+prefill",
            "+decode",
            "tokens %",
            "time %"
        );
    }
    let mut is_success = true;
    for streams in [1, LOADED_STREAMS] {
        for fault in FaultPlan::ALL {
            for policy in PolicyPlan::ALL {
                let row = run_fault(&args, fault, policy, streams).await?;
                is_success &= policy == PolicyPlan::Naive || row.whole == row.streams;
                print_row(&args, &row)?;
            }
        }
    }
    Ok(if is_success { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print_row(args: &FailureArgs, row: &FailureRow) -> Result<()> {
    if args.json {
        println!("{}", serde_json::to_string(row)?);
        return Ok(());
    }
    println!(
        "{:>14} {:>14} {:>7} {:>8} {:>6} {:>10.0} {:>10.0} {:>10.0} {:>9} {:>9} {:>8.2} {:>8.2}",
        format!("{:?}", row.fault),
        format!("{:?}", row.policy),
        row.streams,
        row.affected,
        row.whole,
        row.resume_p50_ms,
        row.resume_p99_ms,
        row.resume_max_ms,
        row.extra_prefill_tokens,
        row.extra_decode_tokens,
        row.extra_work_ratio * 100.0,
        row.extra_time_ratio * 100.0
    );
    Ok(())
}

async fn run_fault(args: &FailureArgs, fault: FaultPlan, policy: PolicyPlan, streams: usize) -> Result<FailureRow> {
    let lines = if policy == PolicyPlan::FavourWork { "policy = favour-work" } else { "" };
    let options = FleetOptions::new(ENGINES).step(STEP).zones(ZONES).capacity(SLOTS).service_lines(lines);
    let fleet = LocalFleet::start(&options).await?;
    let (half_sender, half_receiver) = async_channel::unbounded();
    let runs: Vec<_> = (0..streams)
        .map(|number| {
            let client = match policy {
                PolicyPlan::Naive => StreamClient::naive(&fleet, number),
                _ => StreamClient::daemon(&fleet, number),
            };
            let stream = FailureStream::new(number, args.prompt, args.tokens).notify_at_half(half_sender.clone());
            task::spawn(stream.run(client))
        })
        .collect();
    for _ in 0..streams {
        half_receiver.recv().await?;
    }
    let busy = fleet.busy_engine().unwrap_or_default();
    let failing = fault.engines(busy);
    let affected = failing.iter().map(|engine| fleet.engines[*engine].counts().running as usize).sum();
    let failed_at = Instant::now();
    if let Some(kind) = fault.kind() {
        for engine in failing {
            fleet.engines[engine].inject_fault(FaultOrder { kind, millis: 0, count: 0 });
        }
    }
    let outcomes = join_all(runs).await;
    Ok(failure_row(args, fault, policy, affected, failed_at, &outcomes, fleet.work()))
}

fn failure_row(
    args: &FailureArgs,
    fault: FaultPlan,
    policy: PolicyPlan,
    affected: usize,
    failed_at: Instant,
    outcomes: &[StreamOutcome],
    work: EngineWork,
) -> FailureRow {
    let mut waits: Vec<Duration> = outcomes.iter().filter_map(|outcome| outcome.longest_gap_after(failed_at)).collect();
    // The streams on failed engines are taken to be those that waited longest.
    waits.sort_unstable_by(|a, b| b.cmp(a));
    let mut resume = SampleSet::default();
    waits.iter().take(affected).for_each(|wait| resume.add(*wait));
    let streams = outcomes.len();
    let prompts = (streams * args.prompt) as u64;
    let tokens = streams as u64 * args.tokens;
    let read = work.prefill + work.cached;
    let undisturbed = prompts + tokens;
    let time = |read: u64, decoded: u64| READ_COST.as_secs_f64() * read as f64 + decode_cost() * decoded as f64;
    FailureRow {
        fault,
        policy,
        streams,
        affected,
        whole: outcomes.iter().filter(|outcome| outcome.is_complete).count(),
        resume_p50_ms: resume.millis(0.5),
        resume_p99_ms: resume.millis(0.99),
        resume_max_ms: resume.millis(1.0),
        extra_prefill_tokens: read.saturating_sub(prompts),
        extra_decode_tokens: work.decode.saturating_sub(tokens),
        extra_work_ratio: (read + work.decode) as f64 / undisturbed as f64 - 1.0,
        extra_time_ratio: time(read, work.decode) / time(prompts, tokens) - 1.0,
    }
}
