use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::route::rendezvous_weight;
use crate::{EndpointId, Name};

/// Restricts the versions and endpoints of a service that a request may be routed to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionFilter {
    /// The only allowed version; `None` allows all versions.
    pub only: Option<Name>,
    /// The versions that have been looked up among the roll-out orders; `None` allows others too.
    pub checked: Option<BTreeSet<Name>>,
    /// The versions that the durable record of the service names, so that a stream that begins there is not continued at
    /// another version after the loss of all hosts; `None` allows others too.
    pub recorded: Option<BTreeSet<Name>>,
    /// The only allowed endpoints; `None` allows all endpoints of the allowed versions.
    pub endpoints: Option<BTreeSet<EndpointId>>,
    /// Versions that are not allowed.
    pub except: BTreeSet<Name>,
}

impl VersionFilter {
    /// Allows all versions.
    pub fn any() -> Self {
        Self::default()
    }

    /// Allows a single version.
    pub fn only(version: &Name) -> Self {
        Self { only: Some(Name::clone(version)), ..Self::default() }
    }

    /// Allows all versions but one.
    pub fn except(version: &Name) -> Self {
        Self { except: BTreeSet::from([Name::clone(version)]), ..Self::default() }
    }

    /// Restricts the filter to a set of endpoints.
    #[must_use]
    pub fn endpoints(mut self, endpoints: BTreeSet<EndpointId>) -> Self {
        self.endpoints = Some(endpoints);
        self
    }

    /// Restricts the filter to recorded versions; `None` allows all.
    #[must_use]
    pub fn recorded(mut self, versions: Option<BTreeSet<Name>>) -> Self {
        self.recorded = versions;
        self
    }

    /// Whether the request may be routed to an endpoint of a version.
    pub fn allows(&self, id: &EndpointId, version: &Name) -> bool {
        let is_only = self.only.as_ref().is_none_or(|only| only == version);
        let is_recorded = self.recorded.as_ref().is_none_or(|recorded| recorded.contains(version));
        let is_chosen = self.endpoints.as_ref().is_none_or(|endpoints| endpoints.contains(id));
        let is_checked = self.checked.as_ref().is_none_or(|checked| checked.contains(version));
        is_only && is_checked && is_recorded && is_chosen && !self.except.contains(version)
    }

    /// Chooses the endpoints of the target that take part in its trial, the same at all hosts that know the same
    /// endpoints.
    ///
    /// The part of the endpoints is as large as the share of the requests, so that each endpoint carries its usual load
    /// and faults that show only under load are found. At least two take part, since one endpoint may be faulty by
    /// itself.
    pub fn trial_endpoints(
        target: &str,
        live: impl IntoIterator<Item = EndpointId>,
        share: f64,
    ) -> BTreeSet<EndpointId> {
        let mut live: Vec<EndpointId> = live.into_iter().collect();
        live.sort_by_cached_key(|id| Reverse(rendezvous_weight(target.as_bytes(), id)));
        let count = (live.len() as f64 * share).ceil() as usize;
        live.truncate(count.max(Self::MIN_ENDPOINTS));
        live.into_iter().collect()
    }

    const MIN_ENDPOINTS: usize = 2;
}
