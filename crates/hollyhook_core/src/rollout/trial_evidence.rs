use std::collections::{BTreeMap, BTreeSet};

use super::VersionTally;
use crate::{EndpointId, Name};

/// What hosts saw of the target of a roll-out, and of the other versions at the same time.
///
/// The target by route and endpoint, so that one faulty endpoint is not taken for a faulty version; the others by route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrialEvidence {
    /// Of the target.
    pub target: BTreeMap<(Name, EndpointId), VersionTally>,
    /// Of the other versions.
    pub others: BTreeMap<Name, VersionTally>,
}

impl TrialEvidence {
    /// The tally that an answer of the target on a route belongs to.
    pub fn target_mut(&mut self, route: &Name, endpoint: &EndpointId) -> &mut VersionTally {
        self.target.entry((Name::clone(route), EndpointId::clone(endpoint))).or_default()
    }

    /// The tally that an answer of another version on a route belongs to.
    pub fn others_mut(&mut self, route: &Name) -> &mut VersionTally {
        self.others.entry(Name::clone(route)).or_default()
    }

    /// Adds what another host saw.
    pub fn merge(&mut self, other: &Self) {
        for (key, tally) in &other.target {
            *self.target.entry(key.clone()).or_default() += *tally;
        }
        for (route, tally) in &other.others {
            *self.others.entry(Name::clone(route)).or_default() += *tally;
        }
    }

    /// How many answers of the target were seen.
    pub fn target_answers(&self) -> u32 {
        self.target.values().map(|tally| tally.answers).sum()
    }

    /// The routes on which anything was seen.
    pub(super) fn routes(&self) -> BTreeSet<&Name> {
        self.target.keys().map(|(route, _)| route).chain(self.others.keys()).collect()
    }

    /// The part that is about those routes.
    pub(super) fn on_routes(&self, is_meant: impl Fn(&Name) -> bool) -> Self {
        let target = self.target.iter().filter(|((route, _), _)| is_meant(route));
        let others = self.others.iter().filter(|(route, _)| is_meant(route));
        Self {
            target: target.map(|(key, tally)| (key.clone(), *tally)).collect(),
            others: others.map(|(route, tally)| (Name::clone(route), *tally)).collect(),
        }
    }

    /// What was seen of the target, by endpoint.
    pub(super) fn target_by_endpoint(&self) -> BTreeMap<&EndpointId, VersionTally> {
        let mut endpoints: BTreeMap<&EndpointId, VersionTally> = BTreeMap::new();
        for ((_, endpoint), tally) in &self.target {
            *endpoints.entry(endpoint).or_default() += *tally;
        }
        endpoints
    }
}
