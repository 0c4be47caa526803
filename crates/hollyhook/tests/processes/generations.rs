use async_std::task::block_on;
use hollyhook_standin::FaultKind;
use hollyhook_wire::{ApiStyle, CallerClient, connect_peer};
use http_types::Method;
use nix::sys::signal::Signal;

use crate::fleet::{Fleet, FleetPlan, MODEL, OTHER_KEY, Reading, assert_whole, until};

const PROMPT: &str = "Draft the progress report of a long term for a parent";

async fn kill_midway(fleet: &mut Fleet, kills: usize) {
    let client = fleet.client(0);
    let tokens = 120;
    let mut reading = Reading::open(&client, PROMPT, tokens, &[]).await;
    for round in 1..=kills {
        reading.read_to(tokens as usize * round / (kills + 1)).await;
        let busy = fleet.busy_engine().await;
        fleet.engines[busy].kill();
    }
    reading.read_all().await;
    assert!(reading.is_done);
    assert_whole(PROMPT, &reading.tokens, tokens as usize);
}

/// A fleet whose engines take so long for a token that the rest of a generation lasts for seconds, also while the machine has
/// other work: who is to be killed midway must not have ended.
fn unhurried(engines: usize) -> Fleet {
    Fleet::start(&FleetPlan { engines, step_ms: 40, ..FleetPlan::default() })
}

#[test]
fn kill_engine_once() {
    let mut fleet = unhurried(3);
    block_on(kill_midway(&mut fleet, 1));
}

#[test]
fn kill_engine_twice_in_a_row() {
    let mut fleet = unhurried(4);
    block_on(kill_midway(&mut fleet, 2));
}

#[test]
fn kill_all_engines() {
    let mut fleet = Fleet::start(&FleetPlan { service: "resume_window = 300 ms", ..FleetPlan::default() });
    block_on(async {
        let mut reading = Reading::open(&fleet.client(0), PROMPT, 200, &[]).await;
        reading.read_to(20).await;
        fleet.engines.iter_mut().for_each(super::fleet::Process::kill);
        reading.read_all().await;
        assert_eq!(reading.failure.as_deref(), Some("generation_lost"));
        assert_whole(PROMPT, &reading.tokens, reading.tokens.len());
        // A new request is refused at once, truthfully, with when to come back.
        let body = hollyhook_wire::completion_body(MODEL, PROMPT, 5, false);
        let answer = fleet.client(0).call(Method::Post, "/v1/completions", Some(&body), &[]).await.unwrap();
        assert_eq!((answer.status, answer.value["error"]["code"].as_str()), (503, Some("no_endpoint")));
        assert_eq!(answer.value["error"]["run"].as_str(), Some("not_run"));
        assert!(answer.retry_after.is_some());
    });
}

#[test]
fn pause_engine_process() {
    let fleet = Fleet::start(&FleetPlan::default());
    block_on(async {
        let mut reading = Reading::open(&fleet.client(0), PROMPT, 120, &[]).await;
        reading.read_to(40).await;
        let busy = fleet.busy_engine().await;
        fleet.engines[busy].signal(Signal::SIGSTOP);
        reading.read_to(80).await;
        // The old engine wakes after another has taken over.
        fleet.engines[busy].signal(Signal::SIGCONT);
        reading.read_all().await;
        assert_whole(PROMPT, &reading.tokens, 120);
        let counts = until(|| fleet.engine_counts(busy), |counts| counts.running == 0).await;
        assert_eq!(counts.cancelled, 1, "the work that was left is cancelled, not orphaned");
    });
}

#[test]
fn silence_engine_connection() {
    let fleet = Fleet::start(&FleetPlan::default());
    block_on(async {
        let mut reading = Reading::open(&fleet.client(0), PROMPT, 120, &[]).await;
        reading.read_to(40).await;
        let busy = fleet.busy_engine().await;
        fleet.fault(&fleet.engines[busy], FaultKind::Silence, 0).await;
        reading.read_all().await;
        assert_whole(PROMPT, &reading.tokens, 120);
        let counts = fleet.engine_counts(busy).await;
        assert_eq!((counts.attached, counts.work.decode), (1, 120), "attached again at no cost");
    });
}

#[test]
fn cut_engine_connection() {
    let fleet = Fleet::start(&FleetPlan::default());
    block_on(async {
        let mut reading = Reading::open(&fleet.client(0), PROMPT, 120, &[]).await;
        reading.read_to(40).await;
        let busy = fleet.busy_engine().await;
        fleet.fault(&fleet.engines[busy], FaultKind::Cut, 0).await;
        reading.read_all().await;
        assert_whole(PROMPT, &reading.tokens, 120);
        let counts = fleet.engine_counts(busy).await;
        assert_eq!((counts.attached, counts.work.decode), (1, 120), "attached again at no cost");
    });
}

#[test]
fn hang_up_caller() {
    let fleet = Fleet::start(&FleetPlan::default());
    block_on(async {
        let mut reading = Reading::open(&fleet.client(0), PROMPT, 3_000, &[]).await;
        reading.read_to(20).await;
        let busy = fleet.busy_engine().await;
        drop(reading);
        let counts = until(|| fleet.engine_counts(busy), |counts| counts.running == 0).await;
        assert_eq!((counts.cancelled, counts.orphaned), (1, 0));
        // In the engine's own time: a second is 100 steps of 10 ms.
        assert!(counts.work.decode < 20 + 100, "{} tokens were decoded", counts.work.decode);
    });
}

#[test]
fn kill_entry_host_streaming() {
    let mut fleet = Fleet::start(&FleetPlan::default());
    block_on(async {
        let mut reading = Reading::open(&fleet.client(0), PROMPT, 120, &[]).await;
        reading.read_to(40).await;
        fleet.daemons[0].kill();
        let mut tokens = reading.tokens;
        let cursor = [("last-event-id", reading.cursor.as_str())];
        let mut rest = Reading::open(&fleet.client(1), PROMPT, 120, &cursor).await;
        rest.read_all().await;
        assert!(rest.is_done);
        tokens.extend(rest.tokens);
        assert_whole(PROMPT, &tokens, 120);
        let mut decoded = 0;
        for number in 0..fleet.engines.len() {
            decoded += fleet.engine_counts(number).await.work.decode;
        }
        assert_eq!(decoded, 120, "nothing was decoded twice");
    });
}

#[test]
fn kill_entry_host_and_engine() {
    let mut fleet = Fleet::start(&FleetPlan::default());
    block_on(async {
        let mut reading = Reading::open(&fleet.client(0), PROMPT, 120, &[]).await;
        reading.read_to(40).await;
        let busy = fleet.busy_engine().await;
        fleet.daemons[0].kill();
        fleet.engines[busy].kill();
        let cursor = [("last-event-id", reading.cursor.as_str())];
        let mut rest = Reading::open(&fleet.client(1), PROMPT, 120, &cursor).await;
        rest.read_all().await;
        // The engines sample differently, so a replay can't match, and nothing of another generation is delivered.
        assert_eq!((rest.failure.as_deref(), rest.tokens.len()), (Some("generation_diverged"), 0));
    });
}

#[test]
fn kill_entry_host_whole_answer() {
    let mut fleet = Fleet::start(&FleetPlan::default());
    block_on(async {
        let body = hollyhook_wire::completion_body(MODEL, PROMPT, 120, false);
        let key = [("idempotency-key", "report-17")];
        let client = fleet.client(0);
        let (first, first_body) = (client.clone(), body.clone());
        let first = async_std::task::spawn(async move {
            first.call(Method::Post, "/v1/completions", Some(&first_body), &[("idempotency-key", "report-17")]).await
        });
        let started = async |fleet: &Fleet| {
            let mut started = 0;
            for number in 0..fleet.engines.len() {
                started += fleet.engine_counts(number).await.work.decode;
            }
            started
        };
        until(|| started(&fleet), |decoded| *decoded > 30).await;
        fleet.daemons[0].kill();
        first.await.unwrap_err();
        let answer = fleet.client(1).call(Method::Post, "/v1/completions", Some(&body), &key).await.unwrap();
        let text = answer.value["choices"][0]["text"].as_str().unwrap();
        let tokens: Vec<String> = text.split_inclusive(' ').map(str::to_owned).collect();
        assert_whole(PROMPT, &tokens, 120);
        assert_eq!(started(&fleet).await, 120, "nothing was decoded twice");
    });
}

#[test]
fn cursor_refused() {
    let fleet = Fleet::start(&FleetPlan::default());
    block_on(async {
        let mut reading = Reading::open(&fleet.client(0), PROMPT, 40, &[]).await;
        reading.read_to(10).await;
        let refused = async |client: &CallerClient, prompt: &str, cursor: &str| {
            let body = hollyhook_wire::completion_body(MODEL, prompt, 40, true);
            let fields = [("last-event-id", cursor)];
            let answer = client.stream(ApiStyle::Completion, &body, &fields).await.unwrap();
            answer.err().map(|body| (body.error.code.to_string(), body.error.message.to_string()))
        };
        let own = fleet.client(1);
        let foreign = CallerClient::new(fleet.daemons[1].address, OTHER_KEY);
        let forged = refused(&own, PROMPT, "AAAA").await.unwrap();
        let mut altered = reading.cursor.clone();
        let last = if altered.pop() == Some('A') { 'B' } else { 'A' };
        altered.insert(60, last);
        assert_eq!(refused(&own, PROMPT, &altered).await.as_ref(), Some(&forged));
        assert_eq!(refused(&foreign, PROMPT, &reading.cursor).await.as_ref(), Some(&forged), "nothing leaks");
        assert_eq!(forged.0, "cursor_invalid");
        assert_eq!(refused(&own, "another prompt", &reading.cursor).await.unwrap().0, "cursor_invalid");
        assert_eq!(refused(&own, PROMPT, &reading.cursor).await, None);
    });
}

#[test]
fn peers_agree_on_configuration() {
    let fleet = Fleet::start(&FleetPlan::default());
    block_on(async {
        let mut digests = Vec::new();
        for daemon in &fleet.daemons {
            let limit = std::time::Duration::from_secs(5);
            let client = connect_peer(daemon.peer_address.unwrap(), limit).await.unwrap();
            digests.push(client.report(tarpc::context::current()).await.unwrap().config_digest);
        }
        assert_eq!(digests[0], digests[1]);
    });
}

#[test]
fn kill_zone_many_streams() {
    const STREAMS: usize = 40;
    let mut fleet = Fleet::start(&FleetPlan { engines: 4, limits: "resumes = 3", ..FleetPlan::default() });
    block_on(async {
        let mut readings = Vec::new();
        for number in 0..STREAMS {
            let prompt = format!("report {number}");
            readings.push((prompt.clone(), Reading::open(&fleet.client(number % 2), &prompt, 100, &[]).await));
        }
        for (_, reading) in &mut readings {
            reading.read_to(20).await;
        }
        // Engines 0 and 2 are zone-0.
        fleet.engines[0].kill();
        fleet.engines[2].kill();
        for (prompt, reading) in &mut readings {
            reading.read_all().await;
            assert_whole(prompt, &reading.tokens, 100);
        }
        let mut resumed = 0;
        for number in [1, 3] {
            resumed += fleet.engine_counts(number).await.resumed;
        }
        assert!(resumed > 0 && resumed <= STREAMS as u64, "{resumed} resumes");
    });
}
