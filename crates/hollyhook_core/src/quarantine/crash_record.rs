use std::collections::{BTreeMap, BTreeSet};

use crate::Name;

/// Shortest run, in seconds, that is taken as evidence that a request does not crash endpoints as it begins to run.
const MIN_RUN_SECONDS: u64 = 1;
/// How many times as long as before a crash a request must run elsewhere for the crash to be no evidence against it. The
/// time that the same request takes to crash endpoints differs with their load.
const RUN_FACTOR: u64 = 2;

/// How much of a request an endpoint ran without crashing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunLength {
    Whole,
    Seconds(u64),
}

/// The endpoints that crashed while running one request, and the runs of the request without a crash.
///
/// All times are Unix milliseconds. Merging is commutative and idempotent: updates that arrive late, twice or in
/// another order give the same record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// The time of the crash of each endpoint, by the endpoint's incarnation.
    pub crashes: BTreeMap<Name, u64>,
    /// How long each endpoint had sent events when it crashed, in milliseconds; none for those that had sent none.
    pub run_times: BTreeMap<Name, u64>,
    /// When an endpoint last ran the request to its end; zero if none has.
    pub survived_at: u64,
    /// When an endpoint last ran the request for a number of seconds, a power of two, without having crashed yet.
    pub long_runs: BTreeMap<u64, u64>,
    /// The parts of the request's prompt that other requests may share.
    pub parts: BTreeSet<u64>,
}

impl CrashRecord {
    /// Merges another record of the same request: the latest time of each endpoint, the latest survival, all parts.
    pub fn merge(&mut self, other: &Self) {
        for (endpoint, at) in &other.crashes {
            let known = self.crashes.entry(Name::clone(endpoint)).or_default();
            *known = (*known).max(*at);
        }
        for (endpoint, run_time) in &other.run_times {
            let known = self.run_times.entry(Name::clone(endpoint)).or_default();
            *known = (*known).max(*run_time);
        }
        self.survived_at = self.survived_at.max(other.survived_at);
        for (seconds, at) in &other.long_runs {
            self.add_long_run(*seconds, *at);
        }
        self.parts.extend(&other.parts);
    }

    /// Records that an endpoint crashed after it had sent events for `run_time` milliseconds.
    pub(super) fn add_crash(&mut self, endpoint: Name, at: u64, run_time: u64) {
        if run_time > 0 {
            self.run_times.insert(Name::clone(&endpoint), run_time);
        }
        self.crashes.insert(endpoint, at);
    }

    /// Records a run without a crash.
    pub(super) fn add_run(&mut self, at: u64, length: RunLength) {
        match length {
            RunLength::Whole => self.survived_at = self.survived_at.max(at),
            RunLength::Seconds(seconds) => self.add_long_run(seconds, at),
        }
    }

    /// Records that an endpoint had run the request for some seconds at a time, rounded down to a power of two.
    fn add_long_run(&mut self, seconds: u64, at: u64) {
        let Some(exponent) = seconds.checked_ilog2() else {
            return;
        };
        let known = self.long_runs.entry(1 << exponent).or_default();
        *known = (*known).max(at);
    }

    /// The endpoints whose crashes no later run without a crash explains.
    pub(super) fn recent_crashes(&self) -> impl Iterator<Item = &Name> {
        self.crashes.iter().filter(|(endpoint, at)| !self.excuses(self, endpoint, **at)).map(|(endpoint, _)| endpoint)
    }

    /// Whether the runs in this record show that a crash in `record` had another cause than what ran here.
    ///
    /// They do if the request ran to its end later, or for much longer than before the crash. A run that was about as long
    /// shows nothing: some requests crash endpoints only after seconds of events.
    pub(super) fn excuses(&self, record: &Self, endpoint: &Name, at: u64) -> bool {
        let run_time = record.run_time(endpoint);
        let is_longer = |seconds: u64| seconds >= MIN_RUN_SECONDS && seconds * 1_000 >= run_time * RUN_FACTOR;
        at <= self.survived_at || self.long_runs.iter().any(|(seconds, ran_at)| *ran_at >= at && is_longer(*seconds))
    }

    /// For how many milliseconds an endpoint had sent events when it crashed.
    pub(super) fn run_time(&self, endpoint: &str) -> u64 {
        self.run_times.get(endpoint).copied().unwrap_or_default()
    }

    /// The time of the latest crash or run.
    pub(super) fn updated_at(&self) -> u64 {
        let times = self.crashes.values().chain(self.long_runs.values());
        times.copied().fold(self.survived_at, u64::max)
    }
}
