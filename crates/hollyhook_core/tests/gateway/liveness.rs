use hollyhook_core::{EngineReport, EngineRun, LivenessChecker, LivenessVerdict, SilenceWatch, TimePoint};

fn report(waiting: u32, runs: &[(&str, u64)]) -> EngineReport {
    let runs = runs.iter().map(|(id, events)| EngineRun {
        attempt_id: (*id).into(),
        tokens: 0,
        events: *events,
        priority: None,
    });
    EngineReport { waiting, runs: runs.collect(), ..EngineReport::default() }
}

/// The number of successive equal reports after which a checker still waits for the attempt `r1`, and its next verdict.
fn first_verdict(report: Option<&EngineReport>, delivered: u64) -> (u32, LivenessVerdict) {
    let mut checker = LivenessChecker::default();
    let mut verdicts = (0..100).map(|waited| (waited, checker.check(report, "r1", delivered)));
    verdicts.find(|(_, verdict)| *verdict != LivenessVerdict::Wait).unwrap()
}

/// The number of successive equal reports after which a checker still waits for the attempt `r1`, which it then
/// suspects.
fn reports_waited(report: Option<&EngineReport>, delivered: u64) -> u32 {
    let (waited, verdict) = first_verdict(report, delivered);
    assert_eq!(verdict, LivenessVerdict::Suspect);
    waited
}

#[test]
fn check_no_report() {
    assert_eq!(reports_waited(None, 0), 0);
    assert_eq!(reports_waited(None, 50), 0);
}

/// A request that is queued behind other prompts is waited for, since another engine would have to process its prompt
/// from the start.
#[test]
fn check_queued_request() {
    assert!(reports_waited(Some(&report(2, &[("other", 9)])), 0) > 20);
    let reading = EngineReport { reading: 1, ..report(0, &[("other", 9)]) };
    assert!(reports_waited(Some(&reading), 0) > 20, "abandoned while the engine processes its prompt");
}

#[test]
fn check_absent_request() {
    assert_eq!(
        first_verdict(Some(&report(0, &[("other", 9)])), 0),
        (1, LivenessVerdict::Lost),
        "the first report may be older than the request"
    );
    assert_eq!(first_verdict(Some(&report(0, &[])), 50), (1, LivenessVerdict::Lost));
}

/// A connection is broken if the engine has produced events that were not received.
#[test]
fn check_undelivered_events() {
    assert_eq!(reports_waited(Some(&report(0, &[("r1", 60)])), 50), 0);
    assert_eq!(reports_waited(Some(&report(3, &[("r1", 9)])), 0), 0);
    assert!(reports_waited(Some(&report(0, &[("r1", 52)])), 50) > 0, "the last two events may be in flight");
}

#[test]
fn check_stalled_run() {
    assert_eq!(reports_waited(Some(&report(0, &[("r1", 50)])), 50), 1, "nothing delays the run");
    assert_eq!(reports_waited(Some(&report(1, &[("r1", 50)])), 50), 2, "the engine reads another prompt");
}

/// Guards against a suspicion that outlives the silence: only one that the engine's silence caused ends when the engine
/// is heard.
#[test]
fn record_heard_ends_suspicion_of_silence() {
    let (begun, probed) = (TimePoint::ZERO, TimePoint::from_millis(500));
    for (report, is_ended) in [(None, true), (Some(report(0, &[("r1", 9)])), false)] {
        let mut watch = SilenceWatch::before_first(begun, 0);
        assert_eq!(watch.record_report(probed, report.as_ref(), "r1", 1), LivenessVerdict::Suspect);
        assert_eq!(watch.is_unanswered(), is_ended);
        assert_eq!(watch.record_heard(probed), is_ended);
        assert!(!watch.is_unanswered());
    }
}
