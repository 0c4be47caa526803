use std::time::Duration;

use hollyhook_core::{
    AttemptNumber, EndReason, EndpointId, ErrorKind, GenerationRelay, ProbeReport, RelayAction, RelayEvent,
    RelayPolicy, StreamTimeouts, TimePoint,
};

const PATIENCE: StreamTimeouts =
    StreamTimeouts { first_token: Duration::from_millis(800), between_tokens: Duration::from_millis(250) };

/// Drives a relay whose endpoints refuse every connection until `back_at`; returns the final action and its time.
fn run_outage(back_at: TimePoint, has_token: bool) -> (RelayAction, TimePoint, usize) {
    let mut relay = GenerationRelay::new(RelayPolicy::favour_latency());
    let mut now = TimePoint::from_millis(1);
    let mut queue = vec![RelayEvent::Started];
    let mut wake_at = None;
    let mut opens = 0;
    let mut is_first = has_token;
    loop {
        while let Some(event) = queue.pop() {
            for action in relay.on(now, event) {
                match action {
                    RelayAction::Assign { attempt, .. } => {
                        queue.push(RelayEvent::Assigned { attempt, endpoint: EndpointId::from("e") });
                    }
                    RelayAction::Open { attempt, .. } => {
                        opens += 1;
                        queue.extend(opened(attempt, now >= back_at, std::mem::take(&mut is_first)));
                    }
                    RelayAction::Probe { attempt, .. } => {
                        queue.push(RelayEvent::Probed { attempt, report: ProbeReport::Dead });
                    }
                    RelayAction::SetTimer { at } => wake_at = Some(at),
                    RelayAction::Complete { .. } | RelayAction::Fail { .. } => return (action, now, opens),
                    _ => {}
                }
            }
        }
        now = wake_at.take().expect("a relay that waits has a timer");
        queue.push(RelayEvent::TimerFired { timeouts: PATIENCE });
    }
}

/// What follows an open, last first.
fn opened(attempt: AttemptNumber, is_back: bool, is_first: bool) -> Vec<RelayEvent> {
    if is_first {
        let token = RelayEvent::TokenArrived { attempt, position: 0, text: "a".to_owned() };
        return vec![RelayEvent::ConnectionLost { attempt }, token];
    }
    if is_back {
        let end = RelayEvent::EndArrived { attempt, position: 1, reason: EndReason::Stop };
        return vec![end];
    }
    vec![RelayEvent::Unreachable { attempt }]
}

#[test]
fn outage_shorter_than_window() {
    let (end, at, opens) = run_outage(TimePoint::from_millis(1_500), true);
    assert!(matches!(end, RelayAction::Complete { tokens: 1, .. }), "{end:?}");
    assert!(at < TimePoint::from_millis(2_200), "found {at:?} after the endpoints were back");
    assert!(opens <= 40, "{opens} connections were tried");
}

#[test]
fn outage_longer_than_window() {
    let (end, at, _) = run_outage(TimePoint::from_millis(60_000), true);
    assert_eq!(end, RelayAction::Fail { kind: ErrorKind::GenerationLost, delivered: 1 });
    let window = RelayPolicy::favour_latency().resume_window;
    assert!(at.since(TimePoint::from_millis(1)) >= window, "given up before the window was over");
    assert!(at.since(TimePoint::from_millis(1)) <= window + Duration::from_millis(500), "held back");
}

#[test]
fn outage_before_first_token() {
    let (end, at, opens) = run_outage(TimePoint::from_millis(60_000), false);
    assert_eq!(end, RelayAction::Fail { kind: ErrorKind::NoEndpoint, delivered: 0 });
    assert_eq!(at, TimePoint::from_millis(1), "refused at once");
    assert!(opens <= 8);
}
