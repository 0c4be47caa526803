use std::collections::{BTreeMap, BTreeSet};

use crate::Name;

/// The endpoints that crashed while running one request, and when an endpoint last ran the request without crashing.
///
/// All times are Unix milliseconds. Merging is commutative and idempotent: updates that arrive late, twice or in
/// another order give the same record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// The time of the crash of each endpoint, by the endpoint's incarnation.
    pub crashes: BTreeMap<Name, u64>,
    /// When an endpoint last ran the request without crashing; zero if none has.
    pub survived_at: u64,
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
        self.survived_at = self.survived_at.max(other.survived_at);
        self.parts.extend(&other.parts);
    }

    /// The endpoints that crashed since an endpoint last ran the request without crashing.
    pub(super) fn recent_crashes(&self) -> impl Iterator<Item = &Name> {
        self.crashes.iter().filter(|(_, at)| **at > self.survived_at).map(|(endpoint, _)| endpoint)
    }

    /// The time of the latest crash or survival.
    pub(super) fn updated_at(&self) -> u64 {
        self.crashes.values().copied().fold(self.survived_at, u64::max)
    }
}
