use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_std::task;
use clap::Args;
use eyre::{OptionExt, Result, bail};
use futures::future::join_all;
use hollyhook_core::{AttemptNumber, GenerationId, ModelBinding};
use hollyhook_wire::{
    ApiStyle, CallerClient, CallerItem, EngineExtension, StatusReport, completion_body, connect_peer,
};
use serde::Serialize;
use serde_json::Value;

use super::sample_set::SampleSet;

/// Arguments of `hollyhook load overhead`.
#[derive(Debug, Args)]
pub(crate) struct OverheadArgs {
    /// Address at which the daemon serves callers.
    #[arg(long)]
    daemon: SocketAddr,
    /// Address at which the daemon serves the operator's command (`peer_listen` in its settings).
    #[arg(long)]
    peer: SocketAddr,
    /// Address of the daemon's only engine, a stand-in.
    #[arg(long)]
    engine: SocketAddr,
    /// API key of a client account.
    #[arg(long)]
    key: String,
    /// Name of the model.
    #[arg(long, default_value = "tutor-7b")]
    model: String,
    /// Version of the model's weights.
    #[arg(long, default_value = "1")]
    weights: String,
    /// Numbers of concurrent streams; one run for each.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 100, 1_000])]
    streams: Vec<usize>,
    /// Tokens of each stream.
    #[arg(long, default_value_t = 250)]
    tokens: u64,
    /// Print one JSON object per row.
    #[arg(long)]
    json: bool,
}

/// Results of one run, directly at the engine or through the daemon.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct OverheadRow {
    /// `direct` to the engine, or through the `daemon`.
    way: &'static str,
    streams: usize,
    tokens: u64,
    first_token_p50_ms: f64,
    first_token_p99_ms: f64,
    between_p50_ms: f64,
    between_p99_ms: f64,
    tokens_per_second: f64,
    /// Processor time of the daemon, in microseconds per token.
    daemon_cpu_us_per_token: Option<f64>,
    /// Tokens per second that the daemon could relay on one core, by its processor time per token.
    daemon_tokens_per_core: Option<f64>,
    /// Growth of the daemon's resident memory with all streams open, in KiB per stream.
    daemon_kib_per_stream: Option<f64>,
}

/// Runs each number of streams directly and through the daemon, and prints one row for each run.
pub(crate) async fn run_overhead(args: OverheadArgs) -> Result<ExitCode> {
    if !args.json {
        println!(
            "{:>8} {:>7} {:>10} {:>10} {:>10} {:>10} {:>10} {:>9} {:>10} {:>10}",
            "way",
            "streams",
            "first p50",
            "first p99",
            "gap p50",
            "gap p99",
            "tokens/s",
            "us/token",
            "tok/s/core",
            "KiB/stream"
        );
    }
    for streams in &args.streams {
        let direct = measure_run(&args, "direct", *streams).await?;
        let daemon = measure_run(&args, "daemon", *streams).await?;
        for row in [direct, daemon] {
            print_row(&args, &row)?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_row(args: &OverheadArgs, row: &OverheadRow) -> Result<()> {
    if args.json {
        println!("{}", serde_json::to_string(row)?);
        return Ok(());
    }
    let optional = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |value| format!("{value:.1}"));
    println!(
        "{:>8} {:>7} {:>10.2} {:>10.2} {:>10.2} {:>10.2} {:>10.0} {:>9} {:>10} {:>10}",
        row.way,
        row.streams,
        row.first_token_p50_ms,
        row.first_token_p99_ms,
        row.between_p50_ms,
        row.between_p99_ms,
        row.tokens_per_second,
        optional(row.daemon_cpu_us_per_token),
        optional(row.daemon_tokens_per_core),
        optional(row.daemon_kib_per_stream)
    );
    Ok(())
}

async fn measure_run(args: &OverheadArgs, way: &'static str, streams: usize) -> Result<OverheadRow> {
    let is_daemon = way == "daemon";
    let address = if is_daemon { args.daemon } else { args.engine };
    let client = CallerClient::new(address, args.key.as_str());
    let before = if is_daemon { Some(status(args.peer).await?) } else { None };
    let begin = Instant::now();
    let runs = (0..streams).map(|number| {
        let body = body(args, is_daemon, number);
        task::spawn(run_stream(client.clone(), body, args.tokens))
    });
    let runs: Vec<_> = runs.collect();
    let peak = if is_daemon { Some(peak_memory(args, streams).await?) } else { None };
    let (mut first, mut between) = (SampleSet::default(), SampleSet::default());
    for run in join_all(runs).await {
        let run = run?;
        first.add(run.0);
        between.merge(&run.1);
    }
    let seconds = begin.elapsed().as_secs_f64();
    let tokens = streams as u64 * args.tokens;
    let mut row = OverheadRow {
        way,
        streams,
        tokens,
        first_token_p50_ms: first.millis(0.5),
        first_token_p99_ms: first.millis(0.99),
        between_p50_ms: between.millis(0.5),
        between_p99_ms: between.millis(0.99),
        tokens_per_second: tokens as f64 / seconds,
        daemon_cpu_us_per_token: None,
        daemon_tokens_per_core: None,
        daemon_kib_per_stream: None,
    };
    if let Some(before) = before {
        let cpu_ms = status(args.peer).await?.cpu_ms - before.cpu_ms;
        row.daemon_cpu_us_per_token = Some(cpu_ms as f64 * 1_000.0 / tokens as f64);
        row.daemon_tokens_per_core = Some(tokens as f64 * 1_000.0 / cpu_ms.max(1) as f64);
        let growth = peak.unwrap_or_default().saturating_sub(before.memory_bytes);
        row.daemon_kib_per_stream = Some(growth as f64 / 1_024.0 / streams as f64);
    }
    Ok(row)
}

/// Largest resident memory of the daemon seen until 0.5 s after every stream is open, or over 400 polls 50 ms apart.
async fn peak_memory(args: &OverheadArgs, streams: usize) -> Result<u64> {
    const POLL: Duration = Duration::from_millis(50);
    const TRIES: u32 = 400;
    let mut peak = 0;
    for _ in 0..TRIES {
        let status = status(args.peer).await?;
        peak = peak.max(status.memory_bytes);
        if status.host.generations as usize >= streams {
            task::sleep(POLL * 10).await;
            return Ok(peak.max(self::status(args.peer).await?.memory_bytes));
        }
        task::sleep(POLL).await;
    }
    Ok(peak)
}

async fn status(peer: SocketAddr) -> Result<StatusReport> {
    let client = connect_peer(peer, Duration::from_secs(2)).await?;
    client.status(tarpc::context::current()).await?.ok_or_eyre("the daemon returned no status")
}

fn body(args: &OverheadArgs, is_daemon: bool, number: usize) -> Value {
    let prompt = format!("Report {number}");
    let mut body = completion_body(&args.model, &prompt, args.tokens, true);
    if !is_daemon {
        let extension = EngineExtension {
            generation: GenerationId::from_bits(rand::random()),
            attempt: AttemptNumber::FIRST,
            binding: ModelBinding::new(args.model.as_str(), args.weights.as_str()),
            priority: 1,
            resume_tokens: Vec::new(),
        };
        body["hollyhook"] = serde_json::to_value(extension).unwrap_or_default();
    }
    body
}

async fn run_stream(client: CallerClient, body: Value, tokens: u64) -> Result<(Duration, SampleSet)> {
    let begin = Instant::now();
    let mut stream = match client.stream(ApiStyle::Completion, &body, &[]).await? {
        Ok(stream) => stream,
        Err(refusal) => bail!("the request was refused: {}", refusal.error.message),
    };
    let mut first = None;
    let mut between = SampleSet::default();
    let mut last = begin;
    let mut count = 0;
    loop {
        match stream.next().await? {
            CallerItem::Token { .. } => {
                let now = Instant::now();
                if first.is_none() {
                    first = Some(now - begin);
                } else {
                    between.add(now - last);
                }
                last = now;
                count += 1;
            }
            CallerItem::End(_) => {}
            CallerItem::Failed(body) => bail!("the generation failed: {}", body.error.message),
            CallerItem::Done => break,
        }
    }
    if count != tokens {
        bail!("the stream had {count} tokens instead of {tokens}");
    }
    Ok((first.unwrap_or_default(), between))
}
