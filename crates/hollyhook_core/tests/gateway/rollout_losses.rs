//! Lost answers as evidence about a version on trial: trials in virtual time, with faults that hit all versions alike.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyhook_core::{
    AttemptEnd, EndpointId, LossMatcher, Name, TimePoint, TrialEvidence, VersionOutcome, VersionVerdict, ZoneName,
    evaluate_version,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const ZONES: usize = 3;
const HOSTS: usize = 6;
const OLD_ENDPOINTS: usize = 9;
const ALL_ENDPOINTS: usize = 12;
/// Share of the requests that the version on trial gets.
const SHARE: f64 = 0.08;
/// Part of a host's requests that endpoints of its own zone get.
const LOCAL_PART: f64 = 0.7;
const STEP_MS: u64 = 10;
const TRIAL_MS: u64 = 30_000;
const EVALUATION_MS: u64 = 500;
/// Time after which a request at an endpoint that fell silent is given up.
const TIMEOUT_MS: u64 = 1_500;

/// What happens during a trial.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// Loss rate of all versions.
    loss: f64,
    /// Additional loss rate of the version on trial.
    target_loss: f64,
    /// How often a zone is cut off, for one to three seconds.
    cuts: u32,
    /// Whether connections hang during a cut, rather than being reset.
    are_cuts_silent: bool,
    /// How often an endpoint crashes; another one starts in its place.
    crashes: u32,
    /// How often a host is killed; it returns with no evidence, and what it reported stays.
    kills: u32,
    /// How often all connections of a host are reset, while new ones can be made.
    resets: u32,
}

struct Attempt {
    host: usize,
    endpoint: usize,
    ends_at: u64,
    is_lost: bool,
}

#[derive(Default)]
struct Host {
    matcher: LossMatcher,
    evidence: TrialEvidence,
    heard: BTreeMap<EndpointId, TimePoint>,
}

struct Trial {
    rng: Pcg32,
    faults: Faults,
    /// How long an attempt takes at most.
    work_ms: u64,
    hosts: Vec<Host>,
    /// What killed hosts had reported.
    reported: TrialEvidence,
    /// How often each endpoint has started.
    starts: [u32; ALL_ENDPOINTS],
    attempts: Vec<Attempt>,
    cut: Option<(usize, u64)>,
    route: Name,
}

fn zone_of(number: usize) -> usize {
    number % ZONES
}

impl Trial {
    fn new(seed: u64, work_ms: u64, faults: Faults) -> Self {
        Self {
            rng: Pcg32::seed_from_u64(seed),
            faults,
            work_ms,
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            reported: TrialEvidence::default(),
            starts: [0; ALL_ENDPOINTS],
            attempts: Vec::new(),
            cut: None,
            route: "book".into(),
        }
    }

    /// Runs the trial; returns the final verdict, and when it was reached.
    fn run(mut self) -> (VersionVerdict, u64) {
        let mut verdict = VersionVerdict::Open;
        for now in (0..TRIAL_MS).step_by(STEP_MS as usize) {
            self.begin_faults(now);
            if self.rng.random_bool(0.9) {
                self.send(now);
            }
            self.end_attempts(now);
            if now % EVALUATION_MS == 0 {
                verdict = self.evaluate(now);
                if matches!(verdict, VersionVerdict::Bad(_)) {
                    return (verdict, now);
                }
            }
        }
        (verdict, TRIAL_MS)
    }

    fn begin_faults(&mut self, now: u64) {
        let steps = f64::from(TRIAL_MS as u32 / STEP_MS as u32);
        let mut is_due = |count: u32| count > 0 && self.rng.random_bool(f64::from(count) / steps);
        let Faults { cuts, crashes, kills, resets, .. } = self.faults;
        let (cut, crash, kill, reset) = (is_due(cuts), is_due(crashes), is_due(kills), is_due(resets));
        if self.cut.is_some_and(|(_, until)| until <= now) {
            self.cut = None;
        }
        if cut {
            let (zone, until) = (self.rng.random_range(0..ZONES), now + self.rng.random_range(1_000..3_000));
            self.cut = Some((zone, until));
            let is_silent = self.faults.are_cuts_silent;
            let crosses = |attempt: &Attempt| (zone_of(attempt.host) == zone) != (zone_of(attempt.endpoint) == zone);
            self.lose(now + if is_silent { TIMEOUT_MS } else { 0 }, crosses);
        }
        if crash {
            let endpoint = self.rng.random_range(0..ALL_ENDPOINTS);
            self.lose(now, |attempt| attempt.endpoint == endpoint);
            self.end_attempts(now);
            self.starts[endpoint] += 1;
        }
        let host = self.rng.random_range(0..HOSTS);
        if reset {
            self.lose(now, |attempt| attempt.host == host);
        }
        if kill {
            self.attempts.retain(|attempt| attempt.host != host);
            let killed = std::mem::take(&mut self.hosts[host]);
            self.reported.merge(&killed.evidence);
        }
    }

    /// Makes the open attempts that a predicate selects end without an answer.
    fn lose(&mut self, at: u64, is_hit: impl Fn(&Attempt) -> bool) {
        for attempt in self.attempts.iter_mut().filter(|attempt| is_hit(attempt)) {
            attempt.ends_at = at;
            attempt.is_lost = true;
        }
    }

    fn send(&mut self, now: u64) {
        let host = self.rng.random_range(0..HOSTS);
        let is_target = self.rng.random_bool(SHARE);
        let range = if is_target { OLD_ENDPOINTS..ALL_ENDPOINTS } else { 0..OLD_ENDPOINTS };
        let is_local = !is_target && self.rng.random_bool(LOCAL_PART);
        let endpoint = loop {
            let endpoint = self.rng.random_range(range.clone());
            if !is_local || zone_of(endpoint) == zone_of(host) {
                break endpoint;
            }
        };
        let is_cut = |zone| self.cut.is_some_and(|(cut, _)| cut == zone);
        if is_cut(zone_of(host)) != is_cut(zone_of(endpoint)) {
            return;
        }
        let loss = self.faults.loss + if is_target { self.faults.target_loss } else { 0.0 };
        let is_lost = self.rng.random_bool(loss);
        let ends_at = now + self.rng.random_range(STEP_MS..=self.work_ms);
        self.attempts.push(Attempt { host, endpoint, ends_at, is_lost });
    }

    fn end_attempts(&mut self, now: u64) {
        let at = TimePoint::from_millis(now);
        for Attempt { host, endpoint, is_lost, .. } in self.attempts.extract_if(.., |attempt| attempt.ends_at <= now) {
            let host = &mut self.hosts[host];
            let id = EndpointId::from(format!("i-{endpoint}-{}", self.starts[endpoint]));
            let zone = ZoneName::from(format!("zone-{}", zone_of(endpoint)));
            let is_target = endpoint >= OLD_ENDPOINTS;
            host.matcher.record(at, &AttemptEnd { endpoint: &id, zone: &zone, route: &self.route, is_target, is_lost });
            let outcome = if is_lost { VersionOutcome::Broken } else { VersionOutcome::Good };
            let tally = if is_target {
                host.evidence.target_mut(&self.route, &id)
            } else {
                host.evidence.others_mut(&self.route)
            };
            tally.record(outcome, Some(Duration::from_millis(30)), None);
            if !is_lost {
                host.heard.insert(id, at);
            }
        }
    }

    fn evaluate(&mut self, now: u64) -> VersionVerdict {
        let mut evidence = self.reported.clone();
        for Host { matcher, evidence: own, heard } in &mut self.hosts {
            matcher.evaluate(TimePoint::from_millis(now), own, |id| heard.get(id).copied());
            evidence.merge(own);
        }
        evaluate_version(&evidence)
    }
}

fn is_bad(verdict: VersionVerdict) -> bool {
    matches!(verdict, VersionVerdict::Bad(_))
}

/// The number of trials out of 400, half of them with long attempts, in which a version is condemned.
fn condemned(faults: Faults) -> usize {
    let trials = (0..400).map(|seed| Trial::new(seed, if seed % 2 == 0 { 60 } else { 3_000 }, faults));
    trials.map(Trial::run).filter(|(verdict, _)| is_bad(*verdict)).count()
}

#[test]
fn losses_of_all_versions_accepted() {
    assert!(condemned(Faults { loss: 0.02, ..Faults::default() }) < 4);
    assert!(condemned(Faults { loss: 0.2, ..Faults::default() }) < 4);
}

/// A cut breaks the connections of a whole zone, whatever the version.
#[test]
fn losses_in_cut_zones_accepted() {
    assert!(condemned(Faults { cuts: 3, ..Faults::default() }) < 4);
    assert!(condemned(Faults { cuts: 3, are_cuts_silent: true, ..Faults::default() }) < 4);
}

#[test]
fn losses_at_crashed_endpoints_accepted() {
    assert!(condemned(Faults { crashes: 6, ..Faults::default() }) < 4);
}

#[test]
fn losses_at_killed_hosts_accepted() {
    assert!(condemned(Faults { kills: 3, resets: 6, ..Faults::default() }) < 4);
}

#[test]
fn losses_beside_many_faults_accepted() {
    let faults = Faults { loss: 0.02, cuts: 2, crashes: 3, kills: 2, resets: 3, ..Faults::default() };
    assert!(condemned(faults) < 4);
}

/// A version that closes connections without an answer was completed, since broken connections were no evidence.
#[test]
fn version_that_loses_answers_rejected() {
    for (target_loss, faults) in [(0.4, Faults::default()), (0.4, Faults { loss: 0.02, cuts: 1, ..Faults::default() })]
    {
        let outcomes: Vec<_> =
            (0..200).map(|seed| Trial::new(seed, 60, Faults { target_loss, ..faults }).run()).collect();
        assert!(outcomes.iter().all(|(verdict, _)| is_bad(*verdict)));
        // It loses three answers a second, and the roll-back is due 5 s after the 50th.
        let slowest = outcomes.iter().map(|(_, at)| *at).max().unwrap_or_default();
        assert!(slowest < 21_000, "{slowest}");
    }
}

/// What was lost at an endpoint that is not heard again says nothing about its version.
#[test]
fn losses_without_later_answer_left_out() {
    let (zone, route) = (ZoneName::from("zone-a"), Name::from("book"));
    let (old, new) = (EndpointId::from("i-old"), EndpointId::from("i-new"));
    for (heard_ms, lost) in [(50, 0), (150, 0), (400, 1)] {
        let (mut matcher, mut evidence) = (LossMatcher::default(), TrialEvidence::default());
        for (endpoint, is_target, is_lost) in [(&old, false, false), (&new, true, true)] {
            let end = AttemptEnd { endpoint, zone: &zone, route: &route, is_target, is_lost };
            matcher.record(TimePoint::from_millis(100), &end);
        }
        let heard_at = TimePoint::from_millis(heard_ms);
        matcher.evaluate(TimePoint::from_millis(9_000), &mut evidence, |_| Some(heard_at));
        assert_eq!(evidence.target_mut(&route, &new).lost, lost, "{heard_ms}");
    }
}
