use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use eyre::{Result, WrapErr, ensure};
use serde_json::{Map, Value};

use super::print_text;

/// Lines about an endpoint that are shown before the request's first and after its last line.
const NEARBY: usize = 40;
/// Fields that every line has and that tell nothing here.
const COMMON: [&str; 5] = ["timestamp", "level", "message", "target", "request"];

/// Which request to look for, and in which logs.
#[derive(Debug, Args)]
pub(crate) struct TraceArgs {
    /// The request's id, as its caller sent it.
    request: String,
    /// Logs of hosts, one file a host, as they wrote them.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
}

/// One log of one host.
struct HostLog {
    name: String,
    lines: Vec<LogLine>,
    /// Lines that are no JSON objects.
    foreign: usize,
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

    /// Whether it tells what its host believes of one of those endpoints, or of the platform's store.
    fn is_context(&self, endpoints: &BTreeSet<String>) -> bool {
        let message = self.text("message").unwrap_or_default();
        let is_endpoint = self.text("endpoint").is_some_and(|endpoint| endpoints.contains(endpoint));
        (is_endpoint && message.starts_with("endpoint."))
            || message.starts_with("store.")
            || message.starts_with("gateway.")
    }

    fn describe(&self) -> String {
        let mut text = self.text("message").unwrap_or("?").to_owned();
        for (name, value) in self.fields.iter().filter(|(name, _)| !COMMON.contains(&name.as_str())) {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            // Writing to a string can't fail.
            let _written = write!(text, " {name}={value}");
        }
        text
    }
}

/// Tells what happened to one request from the logs of many hosts.
///
/// Lines of one host stand in the order in which it wrote them; hosts are not ordered among each other, since their
/// clocks may differ by seconds.
pub(crate) fn run_trace(args: &TraceArgs) -> Result<ExitCode> {
    let logs = args.logs.iter().map(|path| read_log(path)).collect::<Result<Vec<HostLog>>>()?;
    let about = logs.iter().flat_map(|log| &log.lines).filter(|line| line.is_about(&args.request));
    let endpoints: BTreeSet<String> = about.filter_map(|line| line.text("endpoint")).map(str::to_owned).collect();
    let mut text = String::new();
    let mut is_found = false;
    for log in &logs {
        is_found |= tell_host(log, &args.request, &endpoints, &mut text);
    }
    ensure!(is_found, "none of the logs names the request `{}`; give the logs of all hosts of that time", args.request);
    print_text(&text)?;
    Ok(ExitCode::SUCCESS)
}

fn read_log(path: &Path) -> Result<HostLog> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
    let mut log = HostLog { name: path.display().to_string(), lines: Vec::new(), foreign: 0 };
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(fields) => log.lines.push(LogLine { fields }),
            Err(_error) => log.foreign += 1,
        }
    }
    Ok(log)
}

/// Tells what one host knows; whether it carried the request.
fn tell_host(log: &HostLog, request: &str, endpoints: &BTreeSet<String>, text: &mut String) -> bool {
    let first = log.lines.iter().position(|line| line.is_about(request));
    let last = log.lines.iter().rposition(|line| line.is_about(request));
    let _written = writeln!(text, "{}:", log.name);
    if log.foreign > 0 {
        let _written = writeln!(text, "  ({} lines are not log lines)", log.foreign);
    }
    let (Some(first), Some(last)) = (first, last) else {
        tell_others(log, endpoints, text);
        return false;
    };
    let from = first.saturating_sub(NEARBY);
    let to = (last + NEARBY).min(log.lines.len() - 1);
    for line in &log.lines[from..=to] {
        let mark = if line.is_about(request) {
            "->"
        } else if line.is_context(endpoints) {
            "  "
        } else {
            continue;
        };
        let _written = writeln!(text, "  {mark} {} {}", line.text("timestamp").unwrap_or("?"), line.describe());
    }
    true
}

/// What a host that did not carry the request says of the endpoints that did.
fn tell_others(log: &HostLog, endpoints: &BTreeSet<String>, text: &mut String) {
    for endpoint in endpoints {
        let of_endpoint = |line: &&LogLine| line.text("endpoint") == Some(endpoint);
        let failed = log.lines.iter().filter(of_endpoint).filter(|line| line.text("message") == Some("attempt.failed"));
        let _written = writeln!(text, "  {endpoint}: {} failed attempts in this log", failed.count());
    }
}
