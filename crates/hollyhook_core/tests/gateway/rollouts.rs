//! Roll-outs: the verdict on a version from the answers that all hosts counted, and when a roll-out changes its state.

use std::time::Duration;

use hollyhook_core::{
    EndpointId, Name, RolloutPlan, RolloutState, RolloutStep, TargetShare, TimePoint, TrialEvidence, VersionFault,
    VersionFilter, VersionOutcome, VersionVerdict, evaluate_version,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Evaluations in a trial of twelve seconds, two per second.
const EVALUATIONS: u32 = 24;
/// Answers of the target between two evaluations, out of about 61 requests per second.
const TARGET_ANSWERS: u32 = 3;
/// Answers of the other versions between two evaluations.
const OTHERS_ANSWERS: u32 = 28;
/// Standard deviation of the logarithms of the durations.
const DEVIATION: f64 = 0.5;

/// How a version on trial differs from the other versions.
#[derive(Clone, Copy)]
struct Behavior {
    /// Additional failure rate.
    failures: f64,
    /// Factor on all durations.
    slowness: f64,
    /// The evaluation from which the difference shows.
    from: u32,
    /// Whether the difference shows on one of the routes only.
    is_on_one_route: bool,
    /// At how many of the trial's eight endpoints the difference shows.
    endpoints: u32,
}

const GOOD: Behavior = Behavior { failures: 0.0, slowness: 1.0, from: 0, is_on_one_route: false, endpoints: 8 };

fn outcome(is_failure: bool) -> VersionOutcome {
    if is_failure { VersionOutcome::Failed } else { VersionOutcome::Good }
}

/// A random duration with a log-normal distribution.
fn duration(rng: &mut Pcg32, factor: f64) -> Duration {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    Duration::from_secs_f64(0.3 * factor * (DEVIATION * normal).exp())
}

/// Simulates a trial; returns the final verdict, and the number of evaluations before a bad verdict, else all of them.
fn simulate(seed: u64, failure_rate: f64, behavior: Behavior) -> (VersionVerdict, u32) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let routes: [Name; 3] = ["draft".into(), "letter".into(), "summary".into()];
    let mut evidence = TrialEvidence::default();
    let mut verdict = VersionVerdict::Open;
    for evaluation in 0..EVALUATIONS {
        for _ in 0..OTHERS_ANSWERS {
            let route = &routes[rng.random_range(0..3)];
            let is_failure = rng.random_bool(failure_rate);
            let took = duration(&mut rng, 1.0);
            evidence.others_mut(route).record(outcome(is_failure), Some(took), None);
        }
        for _ in 0..TARGET_ANSWERS {
            let (number, endpoint) = (rng.random_range(0..3), rng.random_range(0..8));
            let is_affected = evaluation >= behavior.from
                && endpoint < behavior.endpoints
                && (!behavior.is_on_one_route || number == 0);
            let failures = failure_rate + if is_affected { behavior.failures } else { 0.0 };
            let is_failure = rng.random_bool(failures.min(1.0));
            let took = duration(&mut rng, if is_affected { behavior.slowness } else { 1.0 });
            let endpoint: EndpointId = format!("i-{endpoint}").into();
            evidence.target_mut(&routes[number], &endpoint).record(outcome(is_failure), Some(took), None);
        }
        verdict = evaluate_version(&evidence);
        if matches!(verdict, VersionVerdict::Bad(_)) {
            return (verdict, evaluation);
        }
    }
    (verdict, EVALUATIONS)
}

fn count(runs: u64, failure_rate: f64, behavior: Behavior, is_counted: impl Fn(VersionVerdict) -> bool) -> usize {
    (0..runs).filter(|seed| is_counted(simulate(*seed, failure_rate, behavior).0)).count()
}

fn is_bad(verdict: VersionVerdict) -> bool {
    matches!(verdict, VersionVerdict::Bad(_))
}

#[test]
fn good_version_accepted() {
    assert!(count(1_000, 0.004, GOOD, is_bad) < 10);
    assert!(count(1_000, 0.004, GOOD, |verdict| verdict == VersionVerdict::Good) > 980);
}

/// The endpoints of all versions fail one request in seven.
#[test]
fn good_version_accepted_where_all_fail() {
    assert!(count(1_000, 0.14, GOOD, is_bad) < 10);
}

/// A version that is a fifth slower, which is within the usual difference between endpoints of one service.
#[test]
fn slightly_slower_version_accepted() {
    assert!(count(1_000, 0.004, Behavior { slowness: 1.2, ..GOOD }, is_bad) < 10);
}

/// One endpoint that fails half of its requests is a faulty endpoint, not a faulty version.
#[test]
fn faulty_endpoint_not_taken_for_version() {
    assert!(count(500, 0.004, Behavior { failures: 0.5, endpoints: 1, ..GOOD }, is_bad) < 5);
}

#[test]
fn failing_version_rejected() {
    let behavior = Behavior { failures: 0.3, ..GOOD };
    assert_eq!(count(1_000, 0.004, behavior, |verdict| verdict == VersionVerdict::Good), 0);
    assert!(count(1_000, 0.004, behavior, is_bad) > 990);
}

/// A version that answers valid requests with a client error is as useless to callers as one that fails them.
#[test]
fn version_with_client_errors_rejected() {
    let mut evidence = TrialEvidence::default();
    for number in 0..40_usize {
        let (route, endpoint): (Name, EndpointId) = ("book".into(), format!("i-{}", number % 3).into());
        let outcome = VersionOutcome::of_answer(if number % 4 == 0 { 404 } else { 200 });
        evidence.target_mut(&route, &endpoint).record(outcome, None, None);
        evidence.others_mut(&route).record(VersionOutcome::Good, None, None);
    }
    assert_eq!(evaluate_version(&evidence), VersionVerdict::Bad(VersionFault::ClientErrors));
}

/// An endpoint that lost all its answers counted as one that shows no failures, and so cleared the other one.
#[test]
fn failing_version_rejected_beside_endpoint_without_answers() {
    let mut evidence = TrialEvidence::default();
    let (route, lost): (Name, EndpointId) = ("book".into(), "i-0".into());
    for number in 0..20 {
        evidence.target_mut(&route, &lost).record(VersionOutcome::Broken, None, None);
        evidence.target_mut(&route, &"i-1".into()).record(outcome(number % 2 == 0), None, None);
        evidence.others_mut(&route).record(VersionOutcome::Good, None, None);
    }
    assert_eq!(evaluate_version(&evidence), VersionVerdict::Bad(VersionFault::Failures));
}

/// The times of one slow endpoint condemned the version where all versions fail often.
#[test]
fn slow_endpoint_not_taken_for_version_where_all_fail() {
    let mut evidence = TrialEvidence::default();
    for number in 0..80_usize {
        let (route, endpoint): (Name, EndpointId) = ("book".into(), format!("i-{}", number % 2).into());
        let failing = outcome(number % 3 == 0);
        let slow = Duration::from_millis(if number % 2 == 0 { 4_000 } else { 100 });
        evidence.target_mut(&route, &endpoint).record(failing, Some(slow), None);
        evidence.others_mut(&route).record(failing, Some(Duration::from_millis(100)), None);
    }
    assert_eq!(evaluate_version(&evidence), VersionVerdict::Good);
}

/// A failing version is found bad long before it has given 50 failed answers.
#[test]
fn failing_version_rejected_soon() {
    let evaluations: u32 = (0..200).map(|seed| simulate(seed, 0.004, Behavior { failures: 0.4, ..GOOD }).1).sum();
    assert!(evaluations / 200 < 8, "{evaluations}");
}

#[test]
fn slow_version_rejected() {
    let behavior = Behavior { slowness: 4.0, ..GOOD };
    assert_eq!(count(1_000, 0.004, behavior, |verdict| verdict == VersionVerdict::Good), 0);
    assert!(count(200, 0.004, behavior, |verdict| verdict == VersionVerdict::Bad(VersionFault::SlowAnswers)) > 190);
}

/// A version that is good for the first four seconds, then fails.
#[test]
fn version_that_turns_bad_rejected() {
    let behavior = Behavior { failures: 0.5, from: 8, ..GOOD };
    assert!(count(500, 0.004, behavior, |verdict| verdict == VersionVerdict::Good) < 2);
}

#[test]
fn version_that_fails_on_one_route_rejected() {
    let behavior = Behavior { failures: 0.5, is_on_one_route: true, ..GOOD };
    assert!(count(500, 0.004, behavior, |verdict| verdict == VersionVerdict::Good) < 2);
}

#[test]
fn no_answers_is_open() {
    assert_eq!(evaluate_version(&TrialEvidence::default()), VersionVerdict::Open);
}

/// The answers that several hosts counted give the same verdict as if one host had counted them.
#[test]
fn evidence_merged() {
    let (mut whole, mut parts) = (TrialEvidence::default(), [TrialEvidence::default(), TrialEvidence::default()]);
    for number in 0..40_usize {
        let (route, endpoint): (Name, EndpointId) = ("draft".into(), format!("i-{}", number % 3).into());
        let took = Some(Duration::from_millis(100));
        for evidence in [&mut whole, &mut parts[number % 2]] {
            evidence.target_mut(&route, &endpoint).record(VersionOutcome::Good, took, None);
            evidence.others_mut(&route).record(VersionOutcome::Good, took, None);
        }
    }
    let [mut first, second] = parts;
    assert_eq!(evaluate_version(&first), VersionVerdict::Open);
    first.merge(&second);
    assert_eq!(first.target_answers(), whole.target_answers());
    assert_eq!(evaluate_version(&first), VersionVerdict::Good);
}

fn plan(state: Option<RolloutState>, since_ms: u64) -> RolloutPlan {
    RolloutPlan {
        ordered_at: TimePoint::from_millis(1_000),
        duration: Duration::from_secs(12),
        state,
        state_since: TimePoint::from_millis(since_ms),
    }
}

fn step(state: Option<RolloutState>, since_ms: u64, now_ms: u64, verdict: VersionVerdict) -> RolloutStep {
    plan(state, since_ms).step(TimePoint::from_millis(now_ms), verdict)
}

#[test]
fn plan_begins_with_trial() {
    assert_eq!(step(None, 1_000, 1_010, VersionVerdict::Open), RolloutStep::Write(RolloutState::Trial));
}

/// A good version stays on trial until shortly before the deadline: if it turned bad, it would have got more than its
/// share.
#[test]
fn plan_waits_for_deadline() {
    let trial = Some(RolloutState::Trial);
    assert_eq!(step(trial, 1_100, 9_000, VersionVerdict::Good), RolloutStep::Wait);
    assert_eq!(step(trial, 1_100, 12_400, VersionVerdict::Good), RolloutStep::Write(RolloutState::Moving));
}

/// Without a verdict the roll-out stays on trial, also at and after the deadline.
#[test]
fn plan_waits_for_verdict_past_deadline() {
    let trial = Some(RolloutState::Trial);
    assert_eq!(step(trial, 1_100, 12_900, VersionVerdict::Open), RolloutStep::Wait);
    assert_eq!(step(trial, 1_100, 20_000, VersionVerdict::Open), RolloutStep::Wait);
}

#[test]
fn plan_completes_within_deadline() {
    let moving = Some(RolloutState::Moving);
    assert_eq!(step(moving, 12_400, 12_500, VersionVerdict::Good), RolloutStep::Wait);
    assert_eq!(step(moving, 12_400, 12_900, VersionVerdict::Good), RolloutStep::Write(RolloutState::Completed));
}

#[test]
fn plan_rolls_back_while_moving() {
    let bad = VersionVerdict::Bad(VersionFault::Failures);
    let moving = Some(RolloutState::Moving);
    assert_eq!(step(moving, 12_400, 12_900, bad), RolloutStep::Write(RolloutState::RolledBack));
}

#[test]
fn plan_waits_once_final() {
    for state in [RolloutState::Completed, RolloutState::RolledBack] {
        assert_eq!(step(Some(state), 2_000, 60_000, VersionVerdict::Good), RolloutStep::Wait);
    }
}

/// All hosts that know the same endpoints choose the same part of them, at least two.
#[test]
fn trial_endpoints_same_at_all_hosts() {
    let live = |count: u32| (0..count).map(|number| EndpointId::from(format!("i-{number}")));
    assert_eq!(VersionFilter::trial_endpoints("v2", live(280), 0.08).len(), 23);
    assert_eq!(VersionFilter::trial_endpoints("v2", live(6), 0.08).len(), 2);
    assert_eq!(VersionFilter::trial_endpoints("v2", live(1), 0.08).len(), 1);
    let backwards: Vec<EndpointId> = live(280).collect();
    let backwards = VersionFilter::trial_endpoints("v2", backwards.into_iter().rev(), 0.08);
    assert_eq!(VersionFilter::trial_endpoints("v2", live(280), 0.08), backwards);
}

#[test]
fn share_by_state() {
    let share = |state, now_ms| plan(state, 20_000).share(TimePoint::from_millis(now_ms));
    assert_eq!(share(None, 20_000), TargetShare::None);
    assert_eq!(share(Some(RolloutState::Trial), 20_000), TargetShare::Trial);
    assert_eq!(share(Some(RolloutState::Moving), 20_000), TargetShare::All);
    assert_eq!(share(Some(RolloutState::RolledBack), 90_000), TargetShare::None);
}

/// Endpoints of a further version that register without an order, long after the roll-out, get requests like all
/// others.
#[test]
fn share_long_after_completion() {
    let share = |now_ms| plan(Some(RolloutState::Completed), 20_000).share(TimePoint::from_millis(now_ms));
    assert_eq!(share(20_100), TargetShare::All);
    assert_eq!(share(60_000), TargetShare::Unrestricted);
}

/// A request whose filter was made before an endpoint of a new version was added does not reach that version.
#[test]
fn filter_version_added_later_not_allowed() {
    let [checked, added] = ["v1", "v2"].map(Name::from);
    let filter = VersionFilter { checked: Some([Name::clone(&checked)].into()), ..VersionFilter::any() };
    let id = EndpointId::from("i-1");
    assert!(filter.allows(&id, &checked));
    assert!(!filter.allows(&id, &added));
    assert!(VersionFilter::any().allows(&id, &added));
}
