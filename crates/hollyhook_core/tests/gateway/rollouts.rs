//! Roll-outs: how a version is judged by what all hosts see of it, and when it goes on.

use std::time::Duration;

use hollyhook_core::{
    EndpointId, Name, RolloutPlan, RolloutState, RolloutStep, TargetShare, TimePoint, TrialEvidence, VersionFault,
    VersionFilter, VersionVerdict, evaluate_version,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Looks in a trial of twelve seconds, two a second.
const LOOKS: u32 = 24;
/// Answers of the target, and of the others, between two looks; a pool of 61 requests a second.
const TARGET_EACH: u32 = 3;
const OTHERS_EACH: u32 = 28;
/// The spread of times, in their logarithms.
const SPREAD: f64 = 0.5;

/// What a version does.
#[derive(Clone, Copy)]
struct Conduct {
    failures: f64,
    slowness: f64,
    /// The look from which on.
    from: u32,
    /// Whether on one of the routes alone.
    is_on_one_route: bool,
    /// How many of the eight endpoints of the trial.
    endpoints: u32,
}

const GOOD: Conduct = Conduct { failures: 0.0, slowness: 1.0, from: 0, is_on_one_route: false, endpoints: 8 };

fn time(rng: &mut Pcg32, factor: f64) -> Duration {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    Duration::from_secs_f64(0.3 * factor * (SPREAD * normal).exp())
}

/// Plays a trial, and says what is held of the version at its end, and after how many looks that was known.
fn play(seed: u64, usual_failures: f64, conduct: Conduct) -> (VersionVerdict, u32) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let routes: [Name; 3] = ["draft".into(), "letter".into(), "summary".into()];
    let mut evidence = TrialEvidence::default();
    let mut verdict = VersionVerdict::Open;
    for look in 0..LOOKS {
        for _ in 0..OTHERS_EACH {
            let route = &routes[rng.random_range(0..3)];
            let is_failure = rng.random_bool(usual_failures);
            let took = time(&mut rng, 1.0);
            evidence.others_mut(route).record(is_failure, Some(took), None);
        }
        for _ in 0..TARGET_EACH {
            let (number, endpoint) = (rng.random_range(0..3), rng.random_range(0..8));
            let is_meant =
                look >= conduct.from && endpoint < conduct.endpoints && (!conduct.is_on_one_route || number == 0);
            let failures = usual_failures + if is_meant { conduct.failures } else { 0.0 };
            let is_failure = rng.random_bool(failures.min(1.0));
            let took = time(&mut rng, if is_meant { conduct.slowness } else { 1.0 });
            let endpoint: EndpointId = format!("i-{endpoint}").into();
            evidence.target_mut(&routes[number], &endpoint).record(is_failure, Some(took), None);
        }
        verdict = evaluate_version(&evidence);
        if matches!(verdict, VersionVerdict::Bad(_)) {
            return (verdict, look);
        }
    }
    (verdict, LOOKS)
}

fn count(runs: u64, usual_failures: f64, conduct: Conduct, is_counted: impl Fn(VersionVerdict) -> bool) -> usize {
    (0..runs).filter(|seed| is_counted(play(*seed, usual_failures, conduct).0)).count()
}

fn is_bad(verdict: VersionVerdict) -> bool {
    matches!(verdict, VersionVerdict::Bad(_))
}

#[test]
fn good_version_kept() {
    assert!(count(1_000, 0.004, GOOD, is_bad) < 10);
    assert!(count(1_000, 0.004, GOOD, |verdict| verdict == VersionVerdict::Good) > 980);
}

/// Where the endpoints fail one in seven requests whatever their version.
#[test]
fn good_version_kept_where_all_fail() {
    assert!(count(1_000, 0.14, GOOD, is_bad) < 10);
}

/// A fifth slower, as endpoints of one service differ.
#[test]
fn little_slower_version_kept() {
    assert!(count(1_000, 0.004, Conduct { slowness: 1.2, ..GOOD }, is_bad) < 10);
}

/// An endpoint that fails half of its requests is faulty by itself.
#[test]
fn faulty_endpoint_not_taken_for_version() {
    assert!(count(500, 0.004, Conduct { failures: 0.5, endpoints: 1, ..GOOD }, is_bad) < 5);
}

#[test]
fn failing_version_condemned() {
    let conduct = Conduct { failures: 0.3, ..GOOD };
    assert_eq!(count(1_000, 0.004, conduct, |verdict| verdict == VersionVerdict::Good), 0);
    assert!(count(1_000, 0.004, conduct, is_bad) > 990);
}

/// Before it has given 50 bad answers, by far.
#[test]
fn failing_version_condemned_soon() {
    let looks: u32 = (0..200).map(|seed| play(seed, 0.004, Conduct { failures: 0.4, ..GOOD }).1).sum();
    assert!(looks / 200 < 8, "{looks}");
}

#[test]
fn slow_version_condemned() {
    let conduct = Conduct { slowness: 4.0, ..GOOD };
    assert_eq!(count(1_000, 0.004, conduct, |verdict| verdict == VersionVerdict::Good), 0);
    assert!(count(200, 0.004, conduct, |verdict| verdict == VersionVerdict::Bad(VersionFault::SlowAnswers)) > 190);
}

/// A version that is good for four seconds.
#[test]
fn version_that_turns_bad_condemned() {
    let conduct = Conduct { failures: 0.5, from: 8, ..GOOD };
    assert!(count(500, 0.004, conduct, |verdict| verdict == VersionVerdict::Good) < 2);
}

#[test]
fn version_that_fails_on_one_route_condemned() {
    let conduct = Conduct { failures: 0.5, is_on_one_route: true, ..GOOD };
    assert!(count(500, 0.004, conduct, |verdict| verdict == VersionVerdict::Good) < 2);
}

#[test]
fn nothing_seen_is_open() {
    assert_eq!(evaluate_version(&TrialEvidence::default()), VersionVerdict::Open);
}

/// What several hosts saw counts as if one had seen it.
#[test]
fn evidence_joined() {
    let (mut whole, mut parts) = (TrialEvidence::default(), [TrialEvidence::default(), TrialEvidence::default()]);
    for number in 0..40_usize {
        let (route, endpoint): (Name, EndpointId) = ("draft".into(), format!("i-{}", number % 3).into());
        let took = Some(Duration::from_millis(100));
        for evidence in [&mut whole, &mut parts[number % 2]] {
            evidence.target_mut(&route, &endpoint).record(false, took, None);
            evidence.others_mut(&route).record(false, took, None);
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

/// However good it looks: it may turn bad before the deadline, and has then got more than its share.
#[test]
fn plan_waits_for_deadline() {
    let trial = Some(RolloutState::Trial);
    assert_eq!(step(trial, 1_100, 9_000, VersionVerdict::Good), RolloutStep::Wait);
    assert_eq!(step(trial, 1_100, 12_400, VersionVerdict::Good), RolloutStep::Write(RolloutState::Moving));
}

/// A deadline that comes closer makes nothing good.
#[test]
fn plan_not_judged_looser_at_deadline() {
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
fn plan_ends_with_decision() {
    for state in [RolloutState::Completed, RolloutState::RolledBack] {
        assert_eq!(step(Some(state), 2_000, 60_000, VersionVerdict::Good), RolloutStep::Wait);
    }
}

/// All hosts that know the same endpoints choose the same few, two at least.
#[test]
fn trial_endpoints_few_and_alike() {
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

/// Endpoints of the next version that come without an order, long after a roll-out, are endpoints like any other.
#[test]
fn share_long_after_completion() {
    let share = |now_ms| plan(Some(RolloutState::Completed), 20_000).share(TimePoint::from_millis(now_ms));
    assert_eq!(share(20_100), TargetShare::All);
    assert_eq!(share(60_000), TargetShare::Unrestricted);
}
