//! `hollyhook load placement`: the simulation of placement policies.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hollyhook"));
    command.args(["load", "placement", "--engines", "8", "--zones", "2", "--loads", "30,60", "--seconds", "5"]);
    command.args(arguments).output().unwrap()
}

#[test]
fn placement_drawn() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("placement.svg");
    let output = run(&["--plot", path.to_str().unwrap(), "--json"]);
    assert!(output.status.success(), "{output:?}");
    // Two loads, each without and with zone crashes, and four policies.
    assert_eq!(String::from_utf8(output.stdout).unwrap().lines().count(), 16);
    let drawing = std::fs::read_to_string(path).unwrap();
    assert!(drawing.starts_with("<svg") && drawing.trim_end().ends_with("</svg>"));
    for label in ["ask-two", "round-robin", "calm", "in time, %"] {
        assert!(drawing.contains(label), "{label} is not drawn");
    }
}

#[test]
fn placement_not_drawn() {
    let output = run(&["--plot", "/no/such/folder/placement.svg"]);
    assert!(!output.status.success());
    assert!(String::from_utf8(output.stderr).unwrap().contains("can't draw `/no/such/folder/placement.svg`"));
}
