use std::collections::BTreeMap;

use crate::Name;

/// The endpoints that ended under one request, with when, and when it last did no harm. Times are Unix milliseconds.
///
/// Two records of the same request join to the same whichever comes first, so that what a host missed, or hears twice or late,
/// makes no difference.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// When each endpoint ended, by its incarnation.
    pub crashes: BTreeMap<Name, u64>,
    /// When an endpoint last ran it without ending; zero if none did.
    pub survived_at: u64,
}

impl CrashRecord {
    /// Takes in what another record of the same request says.
    pub fn merge(&mut self, other: &Self) {
        for (endpoint, at) in &other.crashes {
            let known = self.crashes.entry(Name::clone(endpoint)).or_default();
            *known = (*known).max(*at);
        }
        self.survived_at = self.survived_at.max(other.survived_at);
    }

    /// The endpoints that ended since the request last did no harm.
    pub(super) fn suspected(&self) -> impl Iterator<Item = &Name> {
        self.crashes.iter().filter(|(_, at)| **at > self.survived_at).map(|(endpoint, _)| endpoint)
    }

    /// When anything about it was last noted.
    pub(super) fn noted_at(&self) -> u64 {
        self.crashes.values().copied().fold(self.survived_at, u64::max)
    }
}
