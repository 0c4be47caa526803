use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use eyre::{OptionExt, Result, WrapErr};
use hollyhook_core::{GenerationId, OpenMode, RelayAction, RelayTrace, TimePoint, TraceReplay};
use hollyhook_wire::connect_peer;

/// Which generation to explain.
#[derive(Debug, Args)]
pub(crate) struct ExplainArgs {
    /// The request's id, as the answer's `x-request-id` field gave it.
    request: GenerationId,
    /// Where the daemon that relayed it serves other daemons (`peer_listen` in its settings).
    #[arg(long)]
    daemon: SocketAddr,
    /// Print the trace itself, for `hollyhook replay`.
    #[arg(long)]
    raw: bool,
}

/// Which traces to replay.
#[derive(Debug, Args)]
pub(crate) struct ReplayArgs {
    /// Files as `hollyhook explain --raw` prints them.
    #[arg(required = true)]
    traces: Vec<PathBuf>,
}

/// Tells what happened to one generation, step by step.
pub(crate) async fn run_explain(args: ExplainArgs) -> Result<ExitCode> {
    const LIMIT: Duration = Duration::from_secs(2);
    let client = connect_peer(args.daemon, LIMIT).await?;
    let text = client.trace(tarpc::context::current(), args.request).await.wrap_err("the daemon did not answer")?;
    let text = text.ok_or_eyre("the daemon has no trace of it: not its request, too old, or `[log] traces` is off")?;
    if args.raw {
        print!("{text}");
        return Ok(ExitCode::SUCCESS);
    }
    let run = text.parse::<RelayTrace>()?.replay()?;
    print_steps(&run);
    Ok(ExitCode::SUCCESS)
}

/// Replays traces and compares what comes of them with what they state.
pub(crate) fn run_replay(args: &ReplayArgs) -> Result<ExitCode> {
    let mut is_equal = true;
    for path in &args.traces {
        let text = std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
        let trace: RelayTrace = text.parse()?;
        let run = trace.replay()?;
        let fits = trace.expected_outcome() == Some(&run.outcome);
        is_equal &= fits;
        println!("{}: {}", path.display(), if fits { "as stated" } else { "NOT as stated" });
        if !fits {
            println!("  stated: {}", serde_json::to_string(&trace.expected_outcome())?);
            println!("  now:    {}", serde_json::to_string(&run.outcome)?);
        }
    }
    Ok(if is_equal { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print_steps(run: &TraceReplay) {
    let start = run.actions.first().map_or(TimePoint::ZERO, |(at, _)| *at);
    let mut tokens = 0;
    for (at, action) in &run.actions {
        if let RelayAction::Deliver { .. } = action {
            tokens += 1;
            continue;
        }
        let Some(step) = describe(action) else {
            continue;
        };
        if tokens > 0 {
            println!("{:>12}  {tokens} tokens delivered", "");
            tokens = 0;
        }
        println!("{:>9} ms  {step}", at.since(start).as_millis());
    }
    println!("{:>12}  {} tokens in all; {:?}", "", run.outcome.delivered, run.outcome.end);
}

/// An action in words; none where it says nothing to a person.
fn describe(action: &RelayAction) -> Option<String> {
    Some(match action {
        RelayAction::Assign { attempt, avoid, is_resume } => {
            let why = if *is_resume { "to go on after a loss" } else { "to begin" };
            let without = if avoid.is_empty() { String::new() } else { format!(", other than {}", avoid.join(", ")) };
            format!("attempt {attempt}: an endpoint is searched {why}{without}")
        }
        RelayAction::Open { attempt, endpoint, mode } => match mode {
            OpenMode::Fresh => format!("attempt {attempt}: sent to {endpoint}, from the prompt"),
            OpenMode::Resume => format!("attempt {attempt}: sent to {endpoint}, from the prompt and the tokens so far"),
            OpenMode::Attach { position } => {
                format!("attempt {attempt}: attached to what {endpoint} already produces, from token {position}")
            }
        },
        RelayAction::Probe { attempt, endpoint } => {
            format!("attempt {attempt}: {endpoint} is asked on a new connection whether it lives")
        }
        RelayAction::Cancel { attempt, endpoint } => {
            format!("attempt {attempt}: {endpoint} is told to stop its work for it")
        }
        RelayAction::Complete { reason, .. } => format!("whole; the model ended with `{reason}`"),
        RelayAction::Fail { kind, delivered } => format!("ended with `{kind}` after {delivered} tokens"),
        RelayAction::Count(note) => format!("noted: {}", note.label()),
        RelayAction::Deliver { .. } | RelayAction::SetTimer { .. } | RelayAction::Close { .. } => return None,
    })
}
