use async_std::task::{block_on, spawn};
use hollyhook_standin::FaultKind;
use hollyhook_wire::CallerResponse;
use http_types::Method;
use nix::sys::signal::Signal;
use serde_json::json;

use crate::fleet::{Fleet, FleetConfig, poll_until};

async fn book_lesson(fleet: &Fleet, daemon: usize, key: &str, lesson: u32) -> CallerResponse {
    let fields = [("idempotency-key", key)];
    let body = json!({"lesson": lesson});
    fleet.client(daemon).call(Method::Post, "/booking/confirm", Some(&body), &fields).await.unwrap()
}

fn error_of(answer: &CallerResponse) -> (u16, &str, &str) {
    let error = &answer.value["error"];
    (answer.status, error["code"].as_str().unwrap_or_default(), error["run"].as_str().unwrap_or_default())
}

async fn executions(fleet: &Fleet, key: &str) -> u64 {
    let mut executions = 0;
    for number in 0..fleet.services.len() {
        executions += fleet.service_counts(number).await.by_key.get(key).copied().unwrap_or_default();
    }
    executions
}

#[test]
fn plain_call_passed_through() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let body = json!({"lesson": 4});
        let answer = fleet.client(0).call(Method::Put, "/booking/lessons/4", Some(&body), &[]).await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.value["method"], "PUT");
        assert_eq!(answer.value["path"], "/booking/lessons/4");
        assert_eq!(answer.value["body"], body.to_string());
    });
}

#[test]
fn booking_repeated_at_another_host() {
    let fleet = Fleet::start(&FleetConfig { services: 2, ..FleetConfig::default() });
    block_on(async {
        let first = book_lesson(&fleet, 0, "lesson-1", 1).await;
        assert_eq!(first.status, 200);
        let again = poll_until(
            || book_lesson(&fleet, 1, "lesson-1", 1),
            // The answer is stored shortly after the caller received it; until then the key is in progress (409).
            |answer| answer.status != 409,
        )
        .await;
        assert_eq!((again.status, &again.value), (200, &first.value));
        assert_eq!(executions(&fleet, "lesson-1").await, 1);
        let reused = book_lesson(&fleet, 1, "lesson-1", 2).await;
        assert_eq!(error_of(&reused), (422, "idempotency_key_reused", "not_run"));
    });
}

#[test]
fn booking_reply_lost() {
    let fleet = Fleet::start(&FleetConfig { services: 2, ..FleetConfig::default() });
    block_on(async {
        for service in &fleet.services {
            fleet.fault(service, FaultKind::LoseReply, 1).await;
        }
        let answer = book_lesson(&fleet, 0, "lesson-2", 2).await;
        assert_eq!(error_of(&answer), (502, "outcome_unknown", "unknown"));
        let again = book_lesson(&fleet, 1, "lesson-2", 2).await;
        assert_ne!(again.status, 200);
        assert_eq!(executions(&fleet, "lesson-2").await, 1, "a call with an unknown outcome is not sent again");
    });
}

#[test]
fn booking_no_endpoint() {
    let mut fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        fleet.services[0].kill();
        let answer = book_lesson(&fleet, 0, "lesson-3", 3).await;
        assert_eq!(error_of(&answer), (503, "not_run", "not_run"));
        assert!(answer.retry_after.is_some());
    });
}

#[test]
fn booking_platform_down() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        fleet.fault(&fleet.platform, FaultKind::Outage, 0).await;
        let refused = book_lesson(&fleet, 0, "lesson-4", 4).await;
        assert_eq!(error_of(&refused), (503, "platform_down", "not_run"));
        assert!(refused.retry_after.is_some());
        assert_eq!(executions(&fleet, "lesson-4").await, 0);
        // Calls that need no claim are still served.
        let read = fleet.client(0).call(Method::Get, "/booking/lessons", None, &[]).await.unwrap();
        assert_eq!(read.status, 200);
        fleet.fault(&fleet.platform, FaultKind::Recover, 0).await;
        assert_eq!(book_lesson(&fleet, 1, "lesson-4", 4).await.status, 200);
        assert_eq!(executions(&fleet, "lesson-4").await, 1);
    });
}

#[test]
fn booking_claim_reply_lost() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        fleet.fault(&fleet.platform, FaultKind::LoseReply, 1).await;
        assert_eq!(
            book_lesson(&fleet, 0, "lesson-5", 5).await.status,
            200,
            "the host finds its own claim in the store"
        );
        assert_eq!(executions(&fleet, "lesson-5").await, 1);
        assert!(fleet.platform_counts().await.writes >= 1);
    });
}

#[test]
fn read_retried_elsewhere() {
    let mut fleet = Fleet::start(&FleetConfig { services: 2, ..FleetConfig::default() });
    block_on(async {
        fleet.services[0].kill();
        for _ in 0..10 {
            let answer = fleet.client(0).call(Method::Get, "/booking/lessons", None, &[]).await.unwrap();
            assert_eq!(answer.status, 200);
        }
    });
}

#[test]
fn booking_host_paused() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        // The service accepts the call and does not answer; meanwhile the host that sent the call is stopped.
        fleet.fault(&fleet.services[0], FaultKind::Pause, 0).await;
        let client = fleet.client(0);
        let first = spawn(async move {
            let fields = [("idempotency-key", "lesson-6")];
            client.call(Method::Post, "/booking/confirm", Some(&json!({"lesson": 6})), &fields).await
        });
        poll_until(|| fleet.platform_counts(), |counts| counts.writes > 0).await;
        let repeated = poll_until(|| book_lesson(&fleet, 1, "lesson-6", 6), |answer| answer.status != 503).await;
        fleet.daemons[0].signal(Signal::SIGSTOP);
        assert!(matches!(error_of(&repeated), (409, "idempotency_key_in_progress", "unknown")), "{repeated:?}");
        fleet.fault(&fleet.services[0], FaultKind::Wake, 0).await;
        let repeated = book_lesson(&fleet, 1, "lesson-6", 6).await;
        assert_ne!(repeated.status, 200, "only the stopped host can have received the answer");
        fleet.daemons[0].signal(Signal::SIGCONT);
        assert!(matches!(first.await.unwrap().status, 200 | 502));
        assert!(executions(&fleet, "lesson-6").await <= 1);
    });
}

#[test]
fn booking_platform_paused() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        fleet.platform.signal(Signal::SIGSTOP);
        let refused = book_lesson(&fleet, 0, "lesson-7", 7).await;
        assert_eq!(error_of(&refused), (503, "platform_down", "not_run"));
        assert_eq!(executions(&fleet, "lesson-7").await, 0);
        // The write that was not answered takes effect late. The claim is released, so a repeat of the call runs.
        fleet.platform.signal(Signal::SIGCONT);
        let answer = poll_until(|| book_lesson(&fleet, 1, "lesson-7", 7), |answer| answer.status == 200).await;
        assert_eq!(answer.status, 200);
        assert_eq!(executions(&fleet, "lesson-7").await, 1);
    });
}
