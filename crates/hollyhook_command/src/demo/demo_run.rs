use std::io::Write as _;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Args;
use eyre::{Result, bail};
use futures::future::pending;
use hollyhook_standin::{FaultKind, FaultOrder, TokenChain};
use hollyhook_wire::{ApiStyle, CallerItem, CallerStream, completion_body};
use serde::Serialize;

use crate::fixture::{FleetOptions, LocalFleet};

/// Engines that remain after all kills.
const SPARE_ENGINES: usize = 3;
/// Duration of an engine's decode step.
const STEP: Duration = Duration::from_millis(20);

/// Arguments of `hollyhook demo`.
#[derive(Debug, Args)]
pub(crate) struct DemoArgs {
    /// Number in the prompt, which selects the generated tokens.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Tokens to generate.
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(2..=20_000))]
    tokens: u64,
    /// Number of engines to kill, each while it generates.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(0..=8))]
    kills: u64,
    /// Print one JSON object as the last line.
    #[arg(long)]
    json: bool,
    /// Keep the fleet running until interrupted.
    #[arg(long)]
    hold: bool,
}

/// Outcome of the demo.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct DemoOutcome {
    /// Whether every token arrived exactly once, in order and from one generation.
    whole: bool,
    /// Number of tokens received.
    tokens: u64,
    /// Number of kills after which a token arrived.
    kills: u64,
    /// Longest time from a kill to the next token, in milliseconds.
    resume_latency_ms: f64,
    /// Engine work divided by that of an undisturbed run, minus one.
    extra_work_ratio: f64,
    /// Seed of the prompt.
    seed: u64,
}

/// Runs the demo; exits with success only if the answer was complete.
pub(crate) async fn run_demo(args: DemoArgs) -> Result<ExitCode> {
    let engines = args.kills as usize + SPARE_ENGINES;
    let fleet = LocalFleet::start(&FleetOptions::new(engines).step(STEP)).await?;
    println!("A fleet in this process: {engines} engines, a plain service, a platform, 2 daemons in 2 zones.");
    println!("A generation of {} tokens; {} engine(s) will be killed during the stream.\n", args.tokens, args.kills);
    let prompt = prompt(args.seed);
    let (received, latencies) = stream_with_kills(&fleet, &args, &prompt).await?;
    let outcome = demo_outcome(&fleet, &args, &prompt, &received, &latencies);
    println!("\n");
    print_summary(&outcome);
    if args.json {
        println!("{}", serde_json::to_string(&outcome)?);
    }
    if args.hold {
        print_instructions(&fleet, &prompt);
        return pending().await;
    }
    Ok(if outcome.whole { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn prompt(seed: u64) -> String {
    format!("Draft the progress report number {seed} for a parent, from the lessons of this term:")
}

async fn stream_with_kills(fleet: &LocalFleet, args: &DemoArgs, prompt: &str) -> Result<(Vec<String>, Vec<Duration>)> {
    let body = completion_body("tutor-7b", prompt, args.tokens, true);
    let opened = fleet.client(0).stream(ApiStyle::Completion, &body, &[]).await?;
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(refusal) => bail!("the request was refused: {}", refusal.error.message),
    };
    let mut received = Vec::new();
    let mut latencies = Vec::new();
    let mut killed_at = None;
    while let Some(text) = next_token(&mut stream).await? {
        latencies.extend(killed_at.take().map(|at: Instant| at.elapsed()));
        print!("{text}");
        std::io::stdout().flush()?;
        received.push(text);
        let kills = latencies.len() as u64;
        let kill_position = args.tokens * (kills + 1) / (args.kills + 1);
        if kills < args.kills && received.len() as u64 == kill_position {
            killed_at = kill_busy_engine(fleet);
        }
    }
    Ok((received, latencies))
}

fn kill_busy_engine(fleet: &LocalFleet) -> Option<Instant> {
    let number = fleet.busy_engine()?;
    fleet.engines[number].inject_fault(FaultOrder { kind: FaultKind::Die, millis: 0, count: 0 });
    print!("\n[engine-{number} killed]\n");
    Some(Instant::now())
}

/// The next token; `None` after the event that marks a complete answer.
async fn next_token(stream: &mut CallerStream) -> Result<Option<String>> {
    loop {
        match stream.next().await? {
            CallerItem::Token { text, .. } => return Ok(Some(text)),
            CallerItem::End(_) => {}
            CallerItem::Failed(body) => bail!("the generation failed: {}", body.error.message),
            CallerItem::Done => return Ok(None),
        }
    }
}

fn demo_outcome(
    fleet: &LocalFleet,
    args: &DemoArgs,
    prompt: &str,
    received: &[String],
    latencies: &[Duration],
) -> DemoOutcome {
    let chain = TokenChain::new(prompt, &LocalFleet::binding());
    let is_linked = chain.first_mismatch(received.iter().map(String::as_str)).is_none();
    let undisturbed = prompt.split_whitespace().count() as u64 + args.tokens;
    let longest = latencies.iter().max().copied().unwrap_or_default();
    DemoOutcome {
        whole: is_linked && received.len() as u64 == args.tokens,
        tokens: received.len() as u64,
        kills: latencies.len() as u64,
        resume_latency_ms: longest.as_secs_f64() * 1_000.0,
        extra_work_ratio: fleet.work().total() as f64 / undisturbed as f64 - 1.0,
        seed: args.seed,
    }
}

fn print_summary(outcome: &DemoOutcome) {
    let verdict = if outcome.whole { "complete: every token once, in order" } else { "NOT COMPLETE, OR NOT IN ORDER" };
    println!("{} tokens, {} kill(s): the answer is {verdict}.", outcome.tokens, outcome.kills);
    println!(
        "The longest wait after a kill was {:.0} ms; the engines did {:.1} % more work than without kills.",
        outcome.resume_latency_ms,
        outcome.extra_work_ratio * 100.0
    );
}

fn print_instructions(fleet: &LocalFleet, prompt: &str) {
    println!("base_url=http://{}/v1", fleet.daemons[0].address());
    println!("api_key={}", fleet.key);
    println!("other_host=http://{}/v1", fleet.daemons[1].address());
    for daemon in &fleet.daemons {
        println!("status: hollyhook status {}", daemon.peer_address());
    }
    for (number, engine) in fleet.engines.iter().enumerate() {
        println!("fault_url=http://{}/admin/fault (engine-{number})", engine.address());
    }
    println!("fault_url=http://{}/admin/fault (booking-0)", fleet.service.address());
    println!("fault_url=http://{}/admin/fault (platform)", fleet.platform.address());
    println!("\nTry, in another terminal:");
    println!(
        "  curl -N http://{}/v1/completions -H 'authorization: Bearer {}' \\\n    -d '{}'",
        fleet.daemons[0].address(),
        fleet.key,
        completion_body("tutor-7b", prompt, 500, true)
    );
    println!("and, while it streams, inject a fault into the engine that decodes:");
    println!("  curl -d '{{\"kind\":\"die\"}}' FAULT_URL      (also: pause, wake, silence, cut, leave, return)");
    println!("Press Ctrl-C to end.");
}
