use async_std::task::block_on;
use hollyhook_standin::FaultKind;
use hollyhook_wire::{ApiStyle, CallerClient, connect_peer};
use http_types::Method;
use nix::sys::signal::Signal;

use crate::fleet::{Fleet, FleetConfig, MODEL, OTHER_KEY, StreamReader, assert_complete, poll_until};

const PROMPT: &str = "Draft the progress report of a long term for a parent";

async fn kill_midway(fleet: &mut Fleet, kills: usize) {
    let client = fleet.client(0);
    let tokens = 120;
    let mut reader = StreamReader::open(&client, PROMPT, tokens, &[]).await;
    for round in 1..=kills {
        reader.read_to(tokens as usize * round / (kills + 1)).await;
        let busy = fleet.busy_engine().await;
        fleet.engines[busy].kill();
    }
    reader.read_all().await;
    assert!(reader.is_done);
    assert_complete(PROMPT, &reader.tokens, tokens as usize);
}

/// Starts a fleet whose engines take 40 ms per token. The rest of a generation then lasts for seconds, so that the
/// generation is still running when its engine is killed, even on a busy machine.
fn start_slow_fleet(engines: usize) -> Fleet {
    Fleet::start(&FleetConfig { engines, step_ms: 40, ..FleetConfig::default() })
}

#[test]
fn kill_engine_once() {
    let mut fleet = start_slow_fleet(3);
    block_on(kill_midway(&mut fleet, 1));
}

#[test]
fn kill_engine_twice_in_a_row() {
    let mut fleet = start_slow_fleet(4);
    block_on(kill_midway(&mut fleet, 2));
}

#[test]
fn kill_all_engines() {
    let mut fleet = Fleet::start(&FleetConfig { service_lines: "resume_window = 300 ms", ..FleetConfig::default() });
    block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), PROMPT, 200, &[]).await;
        reader.read_to(20).await;
        fleet.engines.iter_mut().for_each(super::fleet::Process::kill);
        reader.read_all().await;
        assert_eq!(reader.failure.as_deref(), Some("generation_lost"));
        assert_complete(PROMPT, &reader.tokens, reader.tokens.len());
        // A new request is refused at once, as not run, and with a retry delay.
        let body = hollyhook_wire::completion_body(MODEL, PROMPT, 5, false);
        let answer = fleet.client(0).call(Method::Post, "/v1/completions", Some(&body), &[]).await.unwrap();
        assert_eq!((answer.status, answer.value["error"]["code"].as_str()), (503, Some("no_endpoint")));
        assert_eq!(answer.value["error"]["run"].as_str(), Some("not_run"));
        assert!(answer.retry_after.is_some());
    });
}

#[test]
fn pause_engine_process() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), PROMPT, 120, &[]).await;
        reader.read_to(40).await;
        let busy = fleet.busy_engine().await;
        fleet.engines[busy].signal(Signal::SIGSTOP);
        reader.read_to(80).await;
        // The stopped engine continues after another engine has taken over the generation.
        fleet.engines[busy].signal(Signal::SIGCONT);
        reader.read_all().await;
        assert_complete(PROMPT, &reader.tokens, 120);
        let counts = poll_until(|| fleet.engine_counts(busy), |counts| counts.running == 0).await;
        assert_eq!(counts.cancelled, 1, "the work of the earlier attempt is cancelled, not orphaned");
    });
}

#[test]
fn silence_engine_connection() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), PROMPT, 120, &[]).await;
        reader.read_to(40).await;
        let busy = fleet.busy_engine().await;
        fleet.fault(&fleet.engines[busy], FaultKind::Silence, 0).await;
        reader.read_all().await;
        assert_complete(PROMPT, &reader.tokens, 120);
        let counts = fleet.engine_counts(busy).await;
        assert_eq!(
            (counts.attached, counts.work.decode),
            (1, 120),
            "the attempt is attached again and no token is decoded twice"
        );
    });
}

#[test]
fn cut_engine_connection() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), PROMPT, 120, &[]).await;
        reader.read_to(40).await;
        let busy = fleet.busy_engine().await;
        fleet.fault(&fleet.engines[busy], FaultKind::Cut, 0).await;
        reader.read_all().await;
        assert_complete(PROMPT, &reader.tokens, 120);
        let counts = fleet.engine_counts(busy).await;
        assert_eq!(
            (counts.attached, counts.work.decode),
            (1, 120),
            "the attempt is attached again and no token is decoded twice"
        );
    });
}

#[test]
fn disconnect_caller() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), PROMPT, 3_000, &[]).await;
        reader.read_to(20).await;
        let busy = fleet.busy_engine().await;
        drop(reader);
        let counts = poll_until(|| fleet.engine_counts(busy), |counts| counts.running == 0).await;
        assert_eq!((counts.cancelled, counts.orphaned), (1, 0));
        // Counted in decode steps, not in the machine's time: 100 steps of 10 ms are one second.
        assert!(counts.work.decode < 20 + 100, "{} tokens were decoded", counts.work.decode);
    });
}

#[test]
fn kill_entry_host_streaming() {
    let mut fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), PROMPT, 120, &[]).await;
        reader.read_to(40).await;
        fleet.daemons[0].kill();
        let mut tokens = reader.tokens;
        let cursor = [("last-event-id", reader.cursor.as_str())];
        let mut rest = StreamReader::open(&fleet.client(1), PROMPT, 120, &cursor).await;
        rest.read_all().await;
        assert!(rest.is_done);
        tokens.extend(rest.tokens);
        assert_complete(PROMPT, &tokens, 120);
        let mut decoded = 0;
        for number in 0..fleet.engines.len() {
            decoded += fleet.engine_counts(number).await.work.decode;
        }
        assert_eq!(decoded, 120, "nothing was decoded twice");
    });
}

#[test]
fn kill_entry_host_and_engine() {
    let mut fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), PROMPT, 120, &[]).await;
        reader.read_to(40).await;
        let busy = fleet.busy_engine().await;
        fleet.daemons[0].kill();
        fleet.engines[busy].kill();
        let cursor = [("last-event-id", reader.cursor.as_str())];
        let mut rest = StreamReader::open(&fleet.client(1), PROMPT, 120, &cursor).await;
        rest.read_all().await;
        // The engines sample differently, so a replayed generation diverges, and none of its tokens may be delivered.
        assert_eq!((rest.failure.as_deref(), rest.tokens.len()), (Some("generation_diverged"), 0));
    });
}

#[test]
fn kill_entry_host_whole_answer() {
    let mut fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let body = hollyhook_wire::completion_body(MODEL, PROMPT, 120, false);
        let key = [("idempotency-key", "report-17")];
        let client = fleet.client(0);
        let (first, first_body) = (client.clone(), body.clone());
        let first = async_std::task::spawn(async move {
            first.call(Method::Post, "/v1/completions", Some(&first_body), &[("idempotency-key", "report-17")]).await
        });
        let decoded_tokens = async |fleet: &Fleet| {
            let mut decoded = 0;
            for number in 0..fleet.engines.len() {
                decoded += fleet.engine_counts(number).await.work.decode;
            }
            decoded
        };
        poll_until(|| decoded_tokens(&fleet), |decoded| *decoded > 30).await;
        fleet.daemons[0].kill();
        first.await.unwrap_err();
        let answer = fleet.client(1).call(Method::Post, "/v1/completions", Some(&body), &key).await.unwrap();
        let text = answer.value["choices"][0]["text"].as_str().unwrap();
        let tokens: Vec<String> = text.split_inclusive(' ').map(str::to_owned).collect();
        assert_complete(PROMPT, &tokens, 120);
        assert_eq!(decoded_tokens(&fleet).await, 120, "nothing was decoded twice");
    });
}

#[test]
fn cursor_refused() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), PROMPT, 40, &[]).await;
        reader.read_to(10).await;
        let refused = async |client: &CallerClient, prompt: &str, cursor: &str| {
            let body = hollyhook_wire::completion_body(MODEL, prompt, 40, true);
            let fields = [("last-event-id", cursor)];
            let answer = client.stream(ApiStyle::Completion, &body, &fields).await.unwrap();
            answer.err().map(|body| (body.error.code.to_string(), body.error.message.to_string()))
        };
        let own = fleet.client(1);
        let foreign = CallerClient::new(fleet.daemons[1].address, OTHER_KEY);
        let forged = refused(&own, PROMPT, "AAAA").await.unwrap();
        let mut altered = reader.cursor.clone();
        let last = if altered.pop() == Some('A') { 'B' } else { 'A' };
        altered.insert(60, last);
        assert_eq!(refused(&own, PROMPT, &altered).await.as_ref(), Some(&forged));
        assert_eq!(
            refused(&foreign, PROMPT, &reader.cursor).await.as_ref(),
            Some(&forged),
            "the refusal does not reveal that the cursor belongs to another account"
        );
        assert_eq!(forged.0, "cursor_invalid");
        assert_eq!(refused(&own, "another prompt", &reader.cursor).await.unwrap().0, "cursor_invalid");
        assert_eq!(refused(&own, PROMPT, &reader.cursor).await, None);
    });
}

#[test]
fn peers_agree_on_configuration() {
    let fleet = Fleet::start(&FleetConfig::default());
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
    let mut fleet = Fleet::start(&FleetConfig { engines: 4, limit_lines: "resumes = 3", ..FleetConfig::default() });
    block_on(async {
        let mut readers = Vec::new();
        for number in 0..STREAMS {
            let prompt = format!("report {number}");
            readers.push((prompt.clone(), StreamReader::open(&fleet.client(number % 2), &prompt, 100, &[]).await));
        }
        for (_, reader) in &mut readers {
            reader.read_to(20).await;
        }
        // Engines 0 and 2 are all engines of zone-0.
        fleet.engines[0].kill();
        fleet.engines[2].kill();
        for (prompt, reader) in &mut readers {
            reader.read_all().await;
            assert_complete(prompt, &reader.tokens, 100);
        }
        let mut resumed = 0;
        for number in [1, 3] {
            resumed += fleet.engine_counts(number).await.resumed;
        }
        assert!(resumed > 0 && resumed <= STREAMS as u64, "{resumed} resumes");
    });
}
