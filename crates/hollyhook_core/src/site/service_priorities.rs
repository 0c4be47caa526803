use std::collections::BTreeMap;
use std::time::Duration;

use super::{AccountConfig, RouteConfig};

/// The priorities that requests of one service may have, each with the shortest latency objective of its routes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServicePriorities {
    objectives: BTreeMap<u8, Duration>,
}

impl ServicePriorities {
    /// Adds the requests of a route that leads to the service.
    ///
    /// `accounts` are the priorities that accounts of the site give their requests, see [`AccountPriorities`].
    pub fn add_route(&mut self, route: &RouteConfig, accounts: &AccountPriorities) {
        if route.is_public || accounts.has_default {
            self.add(route.priority, route.latency_objective);
        }
        if !route.is_public {
            accounts.own.iter().for_each(|priority| self.add(*priority, route.latency_objective));
        }
    }

    fn add(&mut self, priority: u8, objective: Duration) {
        let known = self.objectives.entry(priority).or_insert(objective);
        *known = objective.min(*known);
    }

    /// Whether requests of the service have different priorities.
    pub fn is_mixed(&self) -> bool {
        self.objectives.len() > 1
    }

    /// The priorities above `priority`, each with its latency objective, highest first.
    pub fn above(&self, priority: u8) -> impl Iterator<Item = (u8, Duration)> {
        self.objectives.range(..priority).map(|(higher, objective)| (*higher, *objective))
    }
}

impl FromIterator<(u8, Duration)> for ServicePriorities {
    fn from_iter<I: IntoIterator<Item = (u8, Duration)>>(iter: I) -> Self {
        let mut priorities = Self::default();
        iter.into_iter().for_each(|(priority, objective)| priorities.add(priority, objective));
        priorities
    }
}

/// The priorities that client accounts give their requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountPriorities {
    /// The accounts' own priorities, without repetitions.
    own: Vec<u8>,
    /// Whether there are requests to which the priority of their route applies.
    has_default: bool,
}

impl AccountPriorities {
    /// The priorities of all accounts of a site; `None` if the site has no accounts.
    pub fn new(accounts: Option<&[AccountConfig]>) -> Self {
        let mut own: Vec<u8> = accounts.into_iter().flatten().filter_map(|account| account.priority).collect();
        own.sort_unstable();
        own.dedup();
        let has_default = accounts.is_none_or(|accounts| accounts.iter().any(|account| account.priority.is_none()));
        Self { own, has_default }
    }
}
