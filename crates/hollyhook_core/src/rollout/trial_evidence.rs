use std::collections::{BTreeMap, BTreeSet};

use super::VersionTally;
use crate::{EndpointId, Name};

/// Statistics of the answers of a roll-out's target, and of the other versions over the same time.
///
/// The target's are kept by route and endpoint, so that one faulty endpoint is not mistaken for a faulty version; those
/// of the other versions by route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrialEvidence {
    /// The target's answers, by route and endpoint.
    pub target: BTreeMap<(Name, EndpointId), VersionTally>,
    /// The other versions' answers, by route.
    pub others: BTreeMap<Name, VersionTally>,
}

impl TrialEvidence {
    /// The tally of an endpoint of the target on a route.
    pub fn target_mut(&mut self, route: &Name, endpoint: &EndpointId) -> &mut VersionTally {
        self.target.entry((Name::clone(route), EndpointId::clone(endpoint))).or_default()
    }

    /// The tally of the other versions on a route.
    pub fn others_mut(&mut self, route: &Name) -> &mut VersionTally {
        self.others.entry(Name::clone(route)).or_default()
    }

    /// Adds the answers that another host counted.
    pub fn merge(&mut self, other: &Self) {
        for (key, tally) in &other.target {
            *self.target.entry(key.clone()).or_default() += *tally;
        }
        for (route, tally) in &other.others {
            *self.others.entry(Name::clone(route)).or_default() += *tally;
        }
    }

    /// The number of answers of the target.
    pub fn target_answers(&self) -> u32 {
        self.target.values().map(|tally| tally.answers).sum()
    }

    /// The routes with answers of any version.
    pub(super) fn routes(&self) -> BTreeSet<&Name> {
        self.target.keys().map(|(route, _)| route).chain(self.others.keys()).collect()
    }

    /// The answers on the routes that a predicate selects.
    pub(super) fn on_routes(&self, is_selected: impl Fn(&Name) -> bool) -> Self {
        let target = self.target.iter().filter(|((route, _), _)| is_selected(route));
        let others = self.others.iter().filter(|(route, _)| is_selected(route));
        Self {
            target: target.map(|(key, tally)| (key.clone(), *tally)).collect(),
            others: others.map(|(route, tally)| (Name::clone(route), *tally)).collect(),
        }
    }

    /// The target's answers by endpoint, over all routes.
    pub(super) fn target_by_endpoint(&self) -> BTreeMap<&EndpointId, VersionTally> {
        let mut endpoints: BTreeMap<&EndpointId, VersionTally> = BTreeMap::new();
        for ((_, endpoint), tally) in &self.target {
            *endpoints.entry(endpoint).or_default() += *tally;
        }
        endpoints
    }
}
