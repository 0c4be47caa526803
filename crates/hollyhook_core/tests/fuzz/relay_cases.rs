use std::time::Duration;

use hollyhook_core::{
    AttemptNumber, EndReason, EndpointId, ErrorKind, GenerationRelay, OpenMode, PrefixDigest, ProbeReport, RelayAction,
    RelayEvent, RelayPhase, RelayPolicy, StreamTimeouts, TimePoint,
};

const TIMEOUTS: StreamTimeouts =
    StreamTimeouts { first_token: Duration::from_millis(800), between_tokens: Duration::from_millis(250) };

/// Drives a relay whose endpoints refuse every connection until `recovers_at`, apart from the first one if `has_token`.
///
/// Returns the final action, its time and the number of connections tried.
fn run_outage(recovers_at: TimePoint, has_token: bool) -> (RelayAction, TimePoint, usize) {
    let mut relay = GenerationRelay::new(RelayPolicy::favour_latency());
    let mut now = TimePoint::from_millis(1);
    let mut queue = vec![RelayEvent::Started];
    let mut timer_at = None;
    let mut open_count = 0;
    let mut is_first = has_token;
    loop {
        while let Some(event) = queue.pop() {
            for action in relay.on(now, event) {
                match action {
                    RelayAction::Assign { attempt, .. } => {
                        queue.push(RelayEvent::Assigned { attempt, endpoint: EndpointId::from("e") });
                    }
                    RelayAction::Open { attempt, .. } => {
                        open_count += 1;
                        queue.extend(open_result(attempt, now >= recovers_at, std::mem::take(&mut is_first)));
                    }
                    RelayAction::Probe { attempt, .. } => {
                        queue.push(RelayEvent::Probed { attempt, report: ProbeReport::Dead });
                    }
                    RelayAction::SetTimer { at } => timer_at = Some(at),
                    RelayAction::Complete { .. } | RelayAction::Fail { .. } => return (action, now, open_count),
                    _ => {}
                }
            }
        }
        now = timer_at.take().expect("a relay that waits has set a timer");
        queue.push(RelayEvent::TimerFired { timeouts: TIMEOUTS });
    }
}

/// The events that follow when the relay opens a connection, the last one first.
fn open_result(attempt: AttemptNumber, is_recovered: bool, is_first: bool) -> Vec<RelayEvent> {
    if is_first {
        let token = RelayEvent::TokenArrived { attempt, position: 0, text: "a".to_owned() };
        return vec![RelayEvent::ConnectionLost { attempt }, token];
    }
    if is_recovered {
        let end = RelayEvent::EndArrived { attempt, position: 1, reason: EndReason::Stop };
        return vec![end];
    }
    vec![RelayEvent::Unreachable { attempt }]
}

#[test]
fn outage_shorter_than_window() {
    let (end, at, open_count) = run_outage(TimePoint::from_millis(1_500), true);
    assert!(matches!(end, RelayAction::Complete { tokens: 1, .. }), "{end:?}");
    assert!(at < TimePoint::from_millis(2_200), "completed only at {at:?}, though the endpoints recovered at 1.5 s");
    assert!(open_count <= 40, "{open_count} connections were tried; the limit is 40");
}

#[test]
fn outage_longer_than_window() {
    let (end, at, _) = run_outage(TimePoint::from_millis(60_000), true);
    assert_eq!(end, RelayAction::Fail { kind: ErrorKind::GenerationLost, delivered: 1 });
    let window = RelayPolicy::favour_latency().resume_window;
    assert!(at.since(TimePoint::from_millis(1)) >= window, "failed before the end of the resume window");
    assert!(
        at.since(TimePoint::from_millis(1)) <= window + Duration::from_millis(500),
        "failed too late after the end of the resume window"
    );
}

#[test]
fn outage_before_first_token() {
    let (end, at, open_count) = run_outage(TimePoint::from_millis(60_000), false);
    assert_eq!(end, RelayAction::Fail { kind: ErrorKind::NoEndpoint, delivered: 0 });
    assert_eq!(at, TimePoint::from_millis(1), "the error was delayed");
    assert!(open_count <= 8);
}

/// However long its endpoints refuse, a host uses no attempt number of the host that takes the generation over.
#[test]
fn attempts_below_successor() {
    let policy = RelayPolicy {
        search_interval: Duration::ZERO,
        ..RelayPolicy::favour_latency().resume_window(Duration::from_hours(1))
    };
    let mut relay = GenerationRelay::new(policy);
    let now = TimePoint::from_millis(1);
    let successor = AttemptNumber::FIRST.takeover();
    let mut queue = vec![RelayEvent::Started];
    let mut is_first = true;
    while let Some(event) = queue.pop() {
        for action in relay.on(now, event) {
            match action {
                RelayAction::Assign { attempt, .. } => {
                    assert!(attempt < successor, "{attempt} is the number of a successor, {successor} its first");
                    queue.push(RelayEvent::Assigned { attempt, endpoint: EndpointId::from("e") });
                }
                RelayAction::Open { attempt, .. } => {
                    queue.extend(open_result(attempt, false, std::mem::take(&mut is_first)));
                }
                RelayAction::Probe { attempt, .. } => {
                    queue.push(RelayEvent::Probed { attempt, report: ProbeReport::Dead });
                }
                RelayAction::SetTimer { .. } if relay.phase() == RelayPhase::BackingOff => {
                    queue.push(RelayEvent::TimerFired { timeouts: TIMEOUTS });
                }
                RelayAction::Fail { kind, delivered } => {
                    return assert_eq!((kind, delivered), (ErrorKind::GenerationLost, 1));
                }
                _ => {}
            }
        }
    }
    panic!("the relay waits for nothing");
}

/// A relay that attaches to an endpoint until its open timeout passes; returns it with the time and its actions then.
fn run_slow_attach() -> (GenerationRelay, TimePoint, Vec<RelayAction>) {
    let policy = RelayPolicy::favour_latency();
    let (endpoint, attempt) = (EndpointId::from("e"), AttemptNumber::new(70));
    let mut relay =
        GenerationRelay::new(policy.clone()).taken_over(Some(endpoint), attempt, 3, PrefixDigest::default());
    let start = TimePoint::from_millis(1);
    relay.on(start, RelayEvent::Started);
    let now = start + policy.open_timeout;
    let actions = relay.on(now, RelayEvent::TimerFired { timeouts: TIMEOUTS });
    (relay, now, actions)
}

/// An endpoint that holds the work, but is slow to accept the connection that attaches to it, is probed before the work
/// is given up.
#[test]
fn slow_attach_probed() {
    let (mut relay, now, actions) = run_slow_attach();
    let attempt = relay.attempt();
    assert!(actions.iter().any(|action| matches!(action, RelayAction::Probe { .. })), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, RelayAction::Cancel { .. })), "{actions:?}");
    let report = ProbeReport::Holds { produced: 3, is_finished: false };
    let actions = relay.on(now, RelayEvent::Probed { attempt, report });
    let attaches = |action: &RelayAction| matches!(action, RelayAction::Open { mode: OpenMode::Attach { position: 3 }, attempt: next, .. } if *next > attempt);
    assert!(actions.iter().any(attaches), "{actions:?}");
}

/// An endpoint that is slow to accept an attach, and no longer holds the work, is left.
#[test]
fn slow_attach_without_work_left() {
    let (mut relay, now, _) = run_slow_attach();
    let attempt = relay.attempt();
    let actions = relay.on(now, RelayEvent::Probed { attempt, report: ProbeReport::Lives });
    assert!(actions.iter().any(|action| matches!(action, RelayAction::Cancel { .. })), "{actions:?}");
    assert!(actions.iter().any(|action| matches!(action, RelayAction::Assign { .. })), "{actions:?}");
}
