use std::process::Command;

use serde_json::Value;

#[test]
fn demo_two_kills() {
    let args = ["demo", "--json", "--tokens", "60", "--kills", "2", "--seed", "9"];
    let output = Command::new(env!("CARGO_BIN_EXE_hollyhook")).args(args).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    let outcome: Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    assert_eq!((&outcome["whole"], &outcome["tokens"], &outcome["kills"]), (&true.into(), &60.into(), &2.into()));
    assert!(outcome["resume_latency_ms"].as_f64() > Some(0.0));
    assert!(outcome["extra_work_ratio"].as_f64() > Some(0.0), "after a kill the prompt is read again");
}
