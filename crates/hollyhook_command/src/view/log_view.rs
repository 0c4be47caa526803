use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use eyre::{Result, WrapErr, ensure};
use serde_json::{Map, Value};

use super::print_text;

/// Log lines before a request's first line and after its last one that are searched for related events.
const CONTEXT_LINES: usize = 40;
/// Fields that are not printed as `name=value`: the timestamp and the message precede the other fields, and the rest
/// does not help to follow a request.
const OMITTED_FIELDS: [&str; 5] = ["timestamp", "level", "message", "target", "request"];

/// Arguments of `hollyhook trace`.
#[derive(Debug, Args)]
pub(crate) struct TraceArgs {
    /// Id of the request, as its caller sent it.
    request: String,
    /// Log files of the hosts, one file per host, as written.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
}

/// Log of one host.
struct HostLog {
    name: String,
    lines: Vec<LogLine>,
    /// Number of lines that are not JSON objects.
    invalid_lines: usize,
}

struct LogLine {
    fields: Map<String, Value>,
}

impl LogLine {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    fn is_about(&self, request: &str) -> bool {
        self.text("request") == Some(request)
    }

    /// Whether the line reports the state of one of `endpoints`, of the platform's store or of the gateway process.
    fn is_context(&self, endpoints: &BTreeSet<String>) -> bool {
        let message = self.text("message").unwrap_or_default();
        let is_endpoint = self.text("endpoint").is_some_and(|endpoint| endpoints.contains(endpoint));
        (is_endpoint && message.starts_with("endpoint."))
            || message.starts_with("store.")
            || message.starts_with("gateway.")
    }

    fn describe(&self) -> String {
        let mut text = self.text("message").unwrap_or("?").to_owned();
        for (name, value) in self.fields.iter().filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str())) {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            // Writing to a string can't fail.
            let _written = write!(text, " {name}={value}");
        }
        text
    }
}

/// Prints what happened to a request, from the logs of many hosts.
///
/// The lines of a host are printed in the order in which the host wrote them. Lines of different hosts are not merged
/// by time, since the hosts' clocks may differ by seconds.
pub(crate) fn run_trace(args: &TraceArgs) -> Result<ExitCode> {
    let logs = args.logs.iter().map(|path| read_log(path)).collect::<Result<Vec<HostLog>>>()?;
    let about = logs.iter().flat_map(|log| &log.lines).filter(|line| line.is_about(&args.request));
    let endpoints: BTreeSet<String> = about.filter_map(|line| line.text("endpoint")).map(str::to_owned).collect();
    let mut text = String::new();
    let mut is_found = false;
    for log in &logs {
        is_found |= write_host(log, &args.request, &endpoints, &mut text);
    }
    ensure!(
        is_found,
        "none of the logs names the request `{}`; pass the logs that all hosts wrote at the time of the request",
        args.request
    );
    print_text(&text)?;
    Ok(ExitCode::SUCCESS)
}

fn read_log(path: &Path) -> Result<HostLog> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
    let mut log = HostLog { name: path.display().to_string(), lines: Vec::new(), invalid_lines: 0 };
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(fields) => log.lines.push(LogLine { fields }),
            Err(_error) => log.invalid_lines += 1,
        }
    }
    Ok(log)
}

/// Writes a host's log lines about the request, and related ones near them; returns whether there are any about it.
fn write_host(log: &HostLog, request: &str, endpoints: &BTreeSet<String>, text: &mut String) -> bool {
    let first = log.lines.iter().position(|line| line.is_about(request));
    let last = log.lines.iter().rposition(|line| line.is_about(request));
    let _written = writeln!(text, "{}:", log.name);
    if log.invalid_lines > 0 {
        let _written = writeln!(text, "  ({} lines are not JSON objects)", log.invalid_lines);
    }
    let (Some(first), Some(last)) = (first, last) else {
        write_failed_attempts(log, endpoints, text);
        return false;
    };
    let from = first.saturating_sub(CONTEXT_LINES);
    let to = (last + CONTEXT_LINES).min(log.lines.len() - 1);
    for line in &log.lines[from..=to] {
        let marker = if line.is_about(request) {
            "->"
        } else if line.is_context(endpoints) {
            "  "
        } else {
            continue;
        };
        let _written = writeln!(text, "  {marker} {} {}", line.text("timestamp").unwrap_or("?"), line.describe());
    }
    true
}

/// For a host without log lines about the request, writes how many attempts failed there at each of `endpoints`, to
/// which the request was sent.
fn write_failed_attempts(log: &HostLog, endpoints: &BTreeSet<String>, text: &mut String) {
    for endpoint in endpoints {
        let is_of_endpoint = |line: &&LogLine| line.text("endpoint") == Some(endpoint);
        let failed =
            log.lines.iter().filter(is_of_endpoint).filter(|line| line.text("message") == Some("attempt.failed"));
        let _written = writeln!(text, "  {endpoint}: {} failed attempts in this log", failed.count());
    }
}
