use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn log(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn trace(request: &str, logs: &[PathBuf]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hollyhook")).arg("trace").arg(request).args(logs).output().unwrap()
}

const HOST_A: &str = r#"{"timestamp":"T9","level":"INFO","message":"endpoint.ejected","endpoint":"i-1","failure":"broken"}
{"timestamp":"T8","level":"INFO","message":"attempt.failed","request":"r1","endpoint":"i-1","failure":"broken","age_ms":7}
{"timestamp":"T8","level":"INFO","message":"request.ended","request":"r1","kind":"outcome_unknown","attempts":1}
{"timestamp":"T7","level":"INFO","message":"request.answered","request":"r2","status":200}
{"timestamp":"T6","level":"WARN","message":"store.lost","kind":"configuration"}
not a log line
"#;
const HOST_B: &str = r#"{"timestamp":"T1","level":"INFO","message":"attempt.failed","request":"r3","endpoint":"i-1","failure":"broken"}
{"timestamp":"T2","level":"INFO","message":"attempt.failed","request":"r4","endpoint":"i-2","failure":"failed"}
"#;

/// The lines of a host are printed in the order of its log whatever their timestamps are, with related lines on the
/// endpoints and the store.
#[test]
fn trace_from_many_logs() {
    let folder = tempfile::tempdir().unwrap();
    let logs = [log(folder.path(), "a.log", HOST_A), log(folder.path(), "b.log", HOST_B)];
    let output = trace("r1", &logs);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).unwrap();
    let positions: Vec<usize> = [
        "a.log:",
        "(1 lines are not JSON objects)",
        "T9 endpoint.ejected endpoint=i-1 failure=broken",
        "-> T8 attempt.failed age_ms=7 endpoint=i-1 failure=broken",
        "-> T8 request.ended attempts=1 kind=outcome_unknown",
        "T6 store.lost kind=configuration",
        "b.log:",
        "i-1: 1 failed attempts in this log",
    ]
    .iter()
    .map(|part| text.find(part).unwrap_or_else(|| panic!("{part} is not in:\n{text}")))
    .collect();
    assert!(positions.is_sorted(), "{text}");
    assert!(!text.contains("r2"), "{text}");
}

#[test]
fn trace_of_unknown_request() {
    let folder = tempfile::tempdir().unwrap();
    let output = trace("r9", &[log(folder.path(), "a.log", HOST_A)]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("none of the logs names the request `r9`"));
}
