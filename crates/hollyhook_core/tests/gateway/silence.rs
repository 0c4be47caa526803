use hollyhook_core::{EngineReport, EngineRun, LivenessChecker, LivenessVerdict};

fn report(waiting: u32, runs: &[(&str, u64)]) -> EngineReport {
    let runs = runs.iter().map(|(id, events)| EngineRun { attempt_id: (*id).into(), events: *events });
    EngineReport { waiting, runs: runs.collect(), ..EngineReport::default() }
}

/// How many reports like this are waited for.
fn patience(report: Option<&EngineReport>, delivered: u64) -> u32 {
    let mut judge = LivenessChecker::default();
    (0..100).find(|_| judge.check(report, "r1", delivered) == LivenessVerdict::Abandon).unwrap()
}

#[test]
fn gone_engine_left_at_once() {
    assert_eq!(patience(None, 0), 0);
    assert_eq!(patience(None, 50), 0);
}

/// Behind other prompts: to go elsewhere would read the prompt there from the start.
#[test]
fn queued_request_waited_for() {
    assert!(patience(Some(&report(2, &[("other", 9)])), 0) > 20);
    let reading = EngineReport { reading: 1, ..report(0, &[("other", 9)]) };
    assert!(patience(Some(&reading), 0) > 20, "its prompt is being read");
}

#[test]
fn request_that_is_not_there_left() {
    assert_eq!(patience(Some(&report(0, &[("other", 9)])), 0), 1, "the first report may be older than the request");
    assert_eq!(patience(Some(&report(0, &[])), 50), 1);
}

/// The engine has made events that did not come: the connection lost its way.
#[test]
fn lost_connection_left_at_once() {
    assert_eq!(patience(Some(&report(0, &[("r1", 60)])), 50), 0);
    assert_eq!(patience(Some(&report(3, &[("r1", 9)])), 0), 0);
    assert!(patience(Some(&report(0, &[("r1", 52)])), 50) > 0, "the last ones may be under way");
}

#[test]
fn stalled_run_left_soon() {
    assert_eq!(patience(Some(&report(0, &[("r1", 50)])), 50), 2);
}
