use super::{EndpointRecord, EndpointState};
use crate::rollout::VersionFilter;
use crate::{EndpointId, ModelBinding, ZoneName};

/// What a request needs of an endpoint.
#[derive(Debug, Clone)]
pub struct RouteQuery<'a> {
    pub(super) service: &'a str,
    binding: Option<&'a ModelBinding>,
    pub(super) avoid: &'a [EndpointId],
    avoid_zone: Option<&'a ZoneName>,
    pub(super) affinity: Option<u128>,
    pub(super) places: Option<u32>,
    pub(super) preferred: &'a [EndpointId],
    versions: Option<&'a VersionFilter>,
    is_repeatable: bool,
}

impl<'a> RouteQuery<'a> {
    /// A query for any endpoint of a service.
    pub fn new(service: &'a str) -> Self {
        Self {
            service,
            binding: None,
            avoid: &[],
            avoid_zone: None,
            affinity: None,
            places: None,
            preferred: &[],
            versions: None,
            is_repeatable: false,
        }
    }

    /// The same query for exactly those weights.
    #[must_use]
    pub fn binding(mut self, binding: &'a ModelBinding) -> Self {
        self.binding = Some(binding);
        self
    }

    /// The same query without those endpoints.
    #[must_use]
    pub fn avoid(mut self, avoid: &'a [EndpointId]) -> Self {
        self.avoid = avoid;
        self
    }

    /// The same query without the endpoints of that zone.
    #[must_use]
    pub fn avoid_zone(mut self, zone: &'a ZoneName) -> Self {
        self.avoid_zone = Some(zone);
        self
    }

    /// The same query for which these go first among endpoints that cost about the same.
    #[must_use]
    pub fn prefer(mut self, preferred: &'a [EndpointId]) -> Self {
        self.preferred = preferred;
        self
    }

    /// The same query for endpoints of the versions that a rule allows.
    #[must_use]
    pub fn versions(mut self, rule: &'a VersionFilter) -> Self {
        self.versions = Some(rule);
        self
    }

    /// The same query for a request that can be tried again elsewhere if its first attempt fails.
    #[must_use]
    pub fn repeatable(mut self, is_repeatable: bool) -> Self {
        self.is_repeatable = is_repeatable;
        self
    }

    /// The same query that prefers the few endpoints which every host ranks first for this number.
    #[must_use]
    pub fn affinity(mut self, number: u128) -> Self {
        self.affinity = Some(number);
        self
    }

    /// The same query for a request of which an endpoint holds that many at a time.
    #[must_use]
    pub fn places(mut self, places: u32) -> Self {
        self.places = Some(places);
        self
    }

    /// Whether its request may find out if an endpoint is well again: a first attempt that another one may follow.
    pub(super) fn may_be_trial(&self) -> bool {
        self.is_repeatable && self.avoid.is_empty()
    }

    pub(super) fn is_met_by(&self, record: &EndpointRecord) -> bool {
        let is_served = &*record.service == self.service;
        let is_bound = self.binding.is_none_or(|binding| record.binding.as_ref() == Some(binding));
        let is_far = self.avoid_zone.is_none_or(|zone| record.zone != *zone);
        let is_allowed = self.versions.is_none_or(|rule| rule.allows(&record.id, &record.version));
        is_served
            && is_bound
            && is_far
            && is_allowed
            && record.state == EndpointState::Live
            && !self.avoid.contains(&record.id)
    }
}

/// How many endpoints are worth asking whether they hold a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeCounts {
    /// Of the own zone, at most.
    pub own: usize,
    /// Of each other zone, at most.
    pub far: usize,
}
