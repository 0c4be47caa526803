use std::process::{Command, Stdio};

use async_std::task::block_on;
use serde_json::Value;

use crate::fleet::{Fleet, FleetConfig, StreamReader};

#[test]
fn status_shown_for_a_running_daemon() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), "a report", 50, &[]).await;
        reader.read_all().await;
    });
    let peer = fleet.daemons[0].peer_address.unwrap().to_string();
    let run = |extra_args: &[&str]| {
        let output =
            Command::new(env!("CARGO_BIN_EXE_hollyhook")).arg("status").arg(&peer).args(extra_args).output().unwrap();
        assert!(output.status.success());
        String::from_utf8(output.stdout).unwrap()
    };
    let status: Value = serde_json::from_str(&run(&["--json"])).unwrap();
    let rows = status["histograms"].as_array().unwrap();
    let count = |measure: &str, scope: &str, name: &str| {
        let row = rows.iter().find(|row| row["measure"] == measure && row["scope"] == scope && row["name"] == name);
        row.map(|row| row["count"].as_u64().unwrap())
    };
    assert_eq!(count("first_token", "account", "head-office"), Some(1));
    assert_eq!(count("between_tokens", "class", "long"), Some(49));
    assert_eq!(count("queue_wait", "class", "long"), Some(1));
    assert_eq!(status["endpoints"].as_array().unwrap().len(), 4);
    assert!(run(&[]).contains("between_tokens"));
}

#[test]
fn explain_and_replay_a_kill() {
    let mut fleet = Fleet::start(&FleetConfig::default());
    let request = block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), "a report", 50, &[]).await;
        reader.read_to(10).await;
        let busy = fleet.busy_engine().await;
        fleet.engines[busy].kill();
        reader.read_all().await;
        reader.stream.request_id().unwrap().to_owned()
    });
    let peer = fleet.daemons[0].peer_address.unwrap().to_string();
    let run = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_hollyhook")).args(args).output().unwrap();
        (output.status.success(), String::from_utf8(output.stdout).unwrap())
    };
    let (_, steps) = run(&["explain", &request, "--daemon", &peer]);
    assert!(
        steps.contains("from the prompt and the tokens so far") && steps.contains("50 tokens in all; Whole"),
        "{steps}"
    );

    let (_, trace) = run(&["explain", &request, "--daemon", &peer, "--raw"]);
    let folder = tempfile::tempdir().unwrap();
    let (right, wrong) = (folder.path().join("right"), folder.path().join("wrong"));
    std::fs::write(&right, &trace).unwrap();
    std::fs::write(&wrong, trace.replace("\"delivered\":50", "\"delivered\":51")).unwrap();
    assert!(run(&["replay", right.to_str().unwrap()]).0);
    assert!(!run(&["replay", wrong.to_str().unwrap()]).0);
    assert!(!run(&["explain", &"0".repeat(32), "--daemon", &peer]).0);
}

#[test]
fn status_output_closed_early() {
    let fleet = Fleet::start(&FleetConfig::default());
    let peer = fleet.daemons[0].peer_address.unwrap().to_string();
    for extra_args in [&[][..], &["--json"]] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hollyhook"));
        let command = command.arg("status").arg(&peer).args(extra_args).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().unwrap();
        drop(child.stdout.take());
        assert!(child.wait().unwrap().success());
    }
}
