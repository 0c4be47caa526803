use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use eyre::{OptionExt, Result, WrapErr};
use hollyhook_core::{GenerationId, OpenMode, RelayAction, RelayTrace, TimePoint, TraceReplay};
use hollyhook_wire::connect_peer;

/// Arguments of `hollyhook explain`.
#[derive(Debug, Args)]
pub(crate) struct ExplainArgs {
    /// Id of the request, from the `x-request-id` header of its answer.
    request: GenerationId,
    /// Address at which the daemon that relayed the request serves other daemons (`peer_listen` in its settings).
    #[arg(long)]
    daemon: SocketAddr,
    /// Print the trace itself, as input of `hollyhook replay`.
    #[arg(long)]
    raw: bool,
}

/// Arguments of `hollyhook replay`.
#[derive(Debug, Args)]
pub(crate) struct ReplayArgs {
    /// Trace files, as printed by `hollyhook explain --raw`.
    #[arg(required = true)]
    traces: Vec<PathBuf>,
}

/// Fetches the trace of a generation from a daemon and prints what happened, step by step.
pub(crate) async fn run_explain(args: ExplainArgs) -> Result<ExitCode> {
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
    let client = connect_peer(args.daemon, CONNECT_TIMEOUT).await?;
    let text = client
        .trace(tarpc::context::current(), args.request)
        .await
        .wrap_err("the daemon did not answer the trace request")?;
    let text = text.ok_or_eyre(
        "the daemon has no trace of this request: it did not relay the request, the request is too old, or `[log] \
         traces` is off",
    )?;
    if args.raw {
        print!("{text}");
        return Ok(ExitCode::SUCCESS);
    }
    let replay = text.parse::<RelayTrace>()?.replay()?;
    print_steps(&replay);
    Ok(ExitCode::SUCCESS)
}

/// Replays traces and compares their outcomes with those that the trace files expect.
pub(crate) fn run_replay(args: &ReplayArgs) -> Result<ExitCode> {
    let mut is_success = true;
    for path in &args.traces {
        let text = std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
        let trace: RelayTrace = text.parse()?;
        let replay = trace.replay()?;
        let is_expected = trace.expected_outcome() == Some(&replay.outcome);
        is_success &= is_expected;
        println!("{}: {}", path.display(), if is_expected { "as expected" } else { "NOT as expected" });
        if !is_expected {
            println!("  expected: {}", serde_json::to_string(&trace.expected_outcome())?);
            println!("  replayed: {}", serde_json::to_string(&replay.outcome)?);
        }
    }
    Ok(if is_success { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print_steps(replay: &TraceReplay) {
    let start = replay.actions.first().map_or(TimePoint::ZERO, |(at, _)| *at);
    let mut tokens = 0;
    for (at, action) in &replay.actions {
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
    println!("{:>12}  {} tokens in all; {:?}", "", replay.outcome.delivered, replay.outcome.end);
}

/// Describes an action for the operator; `None` for actions that are not shown as steps.
fn describe(action: &RelayAction) -> Option<String> {
    Some(match action {
        RelayAction::Assign { attempt, avoid, is_resume } => {
            let purpose = if *is_resume { "to resume after a failure" } else { "to start the generation" };
            let exclusion = if avoid.is_empty() { String::new() } else { format!(", avoiding {}", avoid.join(", ")) };
            format!("attempt {attempt}: searching for an endpoint {purpose}{exclusion}")
        }
        RelayAction::Open { attempt, endpoint, mode } => match mode {
            OpenMode::Fresh => format!("attempt {attempt}: sent to {endpoint}, starting from the prompt"),
            OpenMode::Resume => format!("attempt {attempt}: sent to {endpoint}, from the prompt and the tokens so far"),
            OpenMode::Attach { position } => {
                format!("attempt {attempt}: attached to the running generation at {endpoint}, from token {position}")
            }
        },
        RelayAction::Probe { attempt, endpoint } => {
            format!("attempt {attempt}: probing {endpoint} on a new connection")
        }
        RelayAction::Cancel { attempt, endpoint } => {
            format!("attempt {attempt}: cancelling its work at {endpoint}")
        }
        RelayAction::Complete { reason, .. } => format!("complete; the model finished with `{reason}`"),
        RelayAction::Fail { kind, delivered } => format!("failed with `{kind}` after {delivered} tokens"),
        RelayAction::Count(counter) => format!("counted: {}", counter.label()),
        RelayAction::Deliver { .. } | RelayAction::SetTimer { .. } | RelayAction::Close { .. } => return None,
    })
}
