use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::route::weight;
use crate::{EndpointId, Name};

/// Which versions of a service a request may go to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionFilter {
    /// The only version, if it may go to one alone.
    pub only: Option<Name>,
    /// The only endpoints of it, if it may not go to all of them.
    pub endpoints: Option<BTreeSet<EndpointId>>,
    /// Versions that it may not go to.
    pub except: BTreeSet<Name>,
}

impl VersionFilter {
    /// Any version.
    pub fn any() -> Self {
        Self::default()
    }

    /// One version alone.
    pub fn only(version: &Name) -> Self {
        Self { only: Some(Name::clone(version)), ..Self::default() }
    }

    /// Any version but one.
    pub fn except(version: &Name) -> Self {
        Self { except: BTreeSet::from([Name::clone(version)]), ..Self::default() }
    }

    /// The same rule for those endpoints alone.
    #[must_use]
    pub fn endpoints(mut self, endpoints: BTreeSet<EndpointId>) -> Self {
        self.endpoints = Some(endpoints);
        self
    }

    /// Whether an endpoint of a version may get the request.
    pub fn allows(&self, id: &EndpointId, version: &Name) -> bool {
        let is_only = self.only.as_ref().is_none_or(|only| only == version);
        let is_chosen = self.endpoints.as_ref().is_none_or(|endpoints| endpoints.contains(id));
        is_only && is_chosen && !self.except.contains(version)
    }

    /// The endpoints of the target that take part in its trial, the same at all hosts that know the same ones.
    ///
    /// As large a part of them as the share of requests that they get, so that each carries what an endpoint usually does and a
    /// fault that shows under load shows; two at least, since one may be faulty by itself.
    pub fn trial_endpoints(
        target: &str,
        live: impl IntoIterator<Item = EndpointId>,
        share: f64,
    ) -> BTreeSet<EndpointId> {
        let mut live: Vec<EndpointId> = live.into_iter().collect();
        live.sort_by_cached_key(|id| Reverse(weight(target.as_bytes(), id)));
        let part = (live.len() as f64 * share).ceil() as usize;
        live.truncate(part.max(Self::LEAST_ENDPOINTS));
        live.into_iter().collect()
    }

    const LEAST_ENDPOINTS: usize = 2;
}
