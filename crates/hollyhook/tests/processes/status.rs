use std::process::Command;

use async_std::task::block_on;
use serde_json::Value;

use crate::fleet::{Fleet, FleetPlan, Reading};

#[test]
fn status_shown_for_a_running_daemon() {
    let fleet = Fleet::start(&FleetPlan::default());
    block_on(async {
        let mut reading = Reading::open(&fleet.client(0), "a report", 50, &[]).await;
        reading.read_all().await;
    });
    let peer = fleet.daemons[0].peer_address.unwrap().to_string();
    let run = |more: &[&str]| {
        let output =
            Command::new(env!("CARGO_BIN_EXE_hollyhook")).arg("status").arg(&peer).args(more).output().unwrap();
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
