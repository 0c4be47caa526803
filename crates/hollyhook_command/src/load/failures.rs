use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_std::task;
use clap::Args;
use eyre::Result;
use futures::future::join_all;
use hollyhook_standin::{FaultKind, FaultOrder};
use hollyhook_wire::EngineWork;
use serde::Serialize;

use super::failure_stream::{FailureStream, StreamOutcome, StreamWay};
use super::sample_set::SampleSet;
use crate::fixture::{FleetOptions, LocalFleet};

const ZONES: usize = 4;
const ENGINES: usize = 8;
const PLACES: u32 = 16;
const STEP: Duration = Duration::from_millis(20);
/// The engine's time to read a token.
const READ_COST: Duration = Duration::from_micros(100);
/// Streams at 80 in 100 of all places.
const LOADED: usize = ENGINES * PLACES as usize * 8 / 10;

/// The engine's time for a decoded token, in seconds, with all places taken.
fn decode_cost() -> f64 {
    STEP.as_secs_f64() / f64::from(PLACES)
}

/// How the experiment runs.
#[derive(Debug, Args)]
pub(crate) struct FailureArgs {
    /// Tokens of each stream; the fault comes when every stream has half of them.
    #[arg(long, default_value_t = 150)]
    tokens: u64,
    /// Words of each prompt.
    #[arg(long, default_value_t = 200)]
    prompt: usize,
    /// Print one JSON object a row.
    #[arg(long)]
    json: bool,
}

/// What fails, midway.
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

    /// Engines that suffer it, with one that is busy among them. An engine's zone is its number's remainder.
    fn engines(self, busy: usize) -> Vec<usize> {
        match self {
            Self::None => Vec::new(),
            Self::KillEngine | Self::PauseEngine | Self::SilenceEngine => vec![busy],
            Self::KillZone | Self::PauseZone => (0..ENGINES).filter(|engine| engine % ZONES == busy % ZONES).collect(),
        }
    }
}

/// Who serves the streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum PolicyPlan {
    FavourLatency,
    FavourWork,
    /// Straight to the engines: restart from nothing on a reset or after 5 s without a token.
    Naive,
}

impl PolicyPlan {
    const ALL: [Self; 3] = [Self::FavourLatency, Self::FavourWork, Self::Naive];
}

/// One run.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct FailureRow {
    fault: FaultPlan,
    policy: PolicyPlan,
    streams: usize,
    /// Streams that ran on what failed.
    affected: usize,
    /// Answers that were whole, with every token compared.
    whole: usize,
    resume_p50_ms: f64,
    resume_p99_ms: f64,
    resume_max_ms: f64,
    extra_prefill_tokens: u64,
    extra_decode_tokens: u64,
    /// Engine work in tokens over that of an undisturbed run, less one.
    extra_work_ratio: f64,
    /// Engine time over that of an undisturbed run, less one: a read token takes 0.1 ms, a decoded one its place's
    /// share of a step.
    extra_time_ratio: f64,
}

/// Runs every fault with every policy, for one stream and at 80 in 100 of the places, and prints a row each.
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
    let mut is_whole = true;
    for streams in [1, LOADED] {
        for fault in FaultPlan::ALL {
            for policy in PolicyPlan::ALL {
                let row = run_plan(&args, fault, policy, streams).await?;
                is_whole &= policy == PolicyPlan::Naive || row.whole == row.streams;
                print_row(&args, &row)?;
            }
        }
    }
    Ok(if is_whole { ExitCode::SUCCESS } else { ExitCode::FAILURE })
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

async fn run_plan(args: &FailureArgs, fault: FaultPlan, policy: PolicyPlan, streams: usize) -> Result<FailureRow> {
    let lines = if policy == PolicyPlan::FavourWork { "policy = favour-work" } else { "" };
    let options = FleetOptions::new(ENGINES).step(STEP).zones(ZONES).capacity(PLACES).service_lines(lines);
    let fleet = LocalFleet::start(&options).await?;
    let (half, halves) = async_channel::unbounded();
    let runs: Vec<_> = (0..streams)
        .map(|number| {
            let way = match policy {
                PolicyPlan::Naive => StreamWay::naive(&fleet, number),
                _ => StreamWay::daemon(&fleet, number),
            };
            let stream = FailureStream::new(number, args.prompt, args.tokens).half(half.clone());
            task::spawn(stream.run(way))
        })
        .collect();
    for _ in 0..streams {
        halves.recv().await?;
    }
    let busy = fleet.busy_engine().unwrap_or_default();
    let suffering = fault.engines(busy);
    let affected = suffering.iter().map(|engine| fleet.engines[*engine].counts().running as usize).sum();
    let failed_at = Instant::now();
    if let Some(kind) = fault.kind() {
        for engine in suffering {
            fleet.engines[engine].inject_fault(FaultOrder { kind, millis: 0, count: 0 });
        }
    }
    let outcomes = join_all(runs).await;
    Ok(judge(args, fault, policy, affected, failed_at, &outcomes, fleet.work()))
}

fn judge(
    args: &FailureArgs,
    fault: FaultPlan,
    policy: PolicyPlan,
    affected: usize,
    failed_at: Instant,
    outcomes: &[StreamOutcome],
    work: EngineWork,
) -> FailureRow {
    let mut waits: Vec<Duration> = outcomes.iter().filter_map(|outcome| outcome.wait_after(failed_at)).collect();
    // Those that ran on what failed waited longest.
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
        whole: outcomes.iter().filter(|outcome| outcome.is_whole).count(),
        resume_p50_ms: resume.millis(0.5),
        resume_p99_ms: resume.millis(0.99),
        resume_max_ms: resume.millis(1.0),
        extra_prefill_tokens: read.saturating_sub(prompts),
        extra_decode_tokens: work.decode.saturating_sub(tokens),
        extra_work_ratio: (read + work.decode) as f64 / undisturbed as f64 - 1.0,
        extra_time_ratio: time(read, work.decode) / time(prompts, tokens) - 1.0,
    }
}
