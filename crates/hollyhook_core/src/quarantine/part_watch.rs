use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::part_evidence::SuspectParts;
use crate::Name;

/// How long this host waits after it has found a part suspect before it refuses requests with it, in milliseconds: the
/// word of hosts where requests with the part run well may still arrive.
const SETTLE_MS: u64 = 1_000;
/// How long after its last crash a part is refused. By then its endpoints may run another version.
const LIFETIME: Duration = Duration::from_mins(10);

/// The parts of prompts that are refused, and those that run well at this host.
#[derive(Debug, Default)]
pub(super) struct PartWatch {
    /// Number of attempts of this host that have run for a number of seconds, by part and seconds.
    runs: BTreeMap<(u64, u64), u32>,
    suspects: Vec<WatchedParts>,
}

#[derive(Debug)]
struct WatchedParts {
    suspect: SuspectParts,
    /// When this host found the parts suspect, in Unix milliseconds.
    since: u64,
}

/// The sets of parts that an update found suspect, and those that are suspect no longer.
#[derive(Debug, Default)]
pub(super) struct PartChange {
    pub(super) began: Vec<BTreeSet<u64>>,
    pub(super) ended: Vec<BTreeSet<u64>>,
}

impl WatchedParts {
    fn is_settled(&self, now: u64) -> bool {
        now.saturating_sub(self.since) >= SETTLE_MS
    }
}

impl PartWatch {
    /// Counts an attempt that has run for `seconds`.
    pub(super) fn begin_run(&mut self, parts: &BTreeSet<u64>, seconds: u64) {
        for part in parts {
            *self.runs.entry((*part, seconds)).or_default() += 1;
        }
    }

    /// Counts an attempt that had run for `seconds` as ended, or as counted for longer.
    pub(super) fn end_run(&mut self, parts: &BTreeSet<u64>, seconds: u64) {
        for part in parts {
            if let Some(count) = self.runs.get_mut(&(*part, seconds)) {
                *count -= 1;
                if *count == 0 {
                    self.runs.remove(&(*part, seconds));
                }
            }
        }
    }

    /// For how many seconds the longest of the requests with a part has run at this host; zero if none runs now.
    pub(super) fn longest_run(&self, part: u64) -> u64 {
        self.runs.range((part, 0)..=(part, u64::MAX)).next_back().map_or(0, |((_, seconds), _)| *seconds)
    }

    /// Replaces the suspect parts.
    pub(super) fn update(&mut self, now: u64, suspects: Vec<SuspectParts>) -> PartChange {
        let since: BTreeMap<BTreeSet<u64>, u64> =
            self.suspects.drain(..).map(|watched| (watched.suspect.parts, watched.since)).collect();
        let began = suspects.iter().filter(|suspect| !since.contains_key(&suspect.parts));
        let ended = since.keys().filter(|parts| suspects.iter().all(|suspect| suspect.parts != **parts));
        let change =
            PartChange { began: began.map(|suspect| suspect.parts.clone()).collect(), ended: ended.cloned().collect() };
        // Parts that are left after others turned out to be harmless were watched before, together with these.
        let known_since =
            |parts: &BTreeSet<u64>| since.iter().filter(|(known, _)| known.is_superset(parts)).map(|(_, at)| *at).min();
        let watched = suspects.into_iter().map(|suspect| {
            let since = known_since(&suspect.parts).unwrap_or(now);
            WatchedParts { suspect, since }
        });
        self.suspects = watched.collect();
        change
    }

    /// How long ago the last crash under parts was that a request has and for which it is refused; `None` if it is not.
    pub(super) fn refusal_age(&self, now: u64, parts: &BTreeSet<u64>) -> Option<Duration> {
        let mut refused = self.suspects.iter().filter(|watched| watched.is_settled(now));
        let found = refused.find(|watched| watched.suspect.parts.is_subset(parts))?;
        let age = Duration::from_millis(now.saturating_sub(found.suspect.crashed_at));
        (age < LIFETIME).then_some(age)
    }

    /// The time until it is decided whether a request with these parts is refused; `None` if it is decided.
    pub(super) fn verdict_due(&self, now: u64, parts: &BTreeSet<u64>) -> Option<Duration> {
        let pending = self.suspects.iter().filter(|watched| watched.suspect.parts.is_subset(parts));
        let left = pending.map(|watched| (watched.since + SETTLE_MS).saturating_sub(now)).max();
        left.filter(|left| *left > 0).map(|left| Duration::from_millis(left.min(SETTLE_MS)))
    }

    /// The time until a refusal of parts whose last crash was `age` ago ends.
    pub(super) fn time_left(age: Duration) -> Duration {
        LIFETIME.saturating_sub(age)
    }

    /// The crashes that refused parts explain.
    pub(super) fn explained(&self, now: u64) -> BTreeSet<&Name> {
        self.suspects
            .iter()
            .filter(|watched| watched.is_settled(now))
            .flat_map(|watched| &watched.suspect.crashes)
            .collect()
    }
}
