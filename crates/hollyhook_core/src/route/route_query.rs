use super::{EndpointRecord, EndpointState};
use crate::rollout::VersionFilter;
use crate::{EndpointId, ModelBinding, TimePoint, ZoneName};

/// The requirements and preferences of a request for its endpoint.
#[derive(Debug, Clone)]
pub struct RouteQuery<'a> {
    pub(super) service: &'a str,
    binding: Option<&'a ModelBinding>,
    pub(super) avoid: &'a [EndpointId],
    avoid_zone: Option<&'a ZoneName>,
    pub(super) affinity: Option<u128>,
    pub(super) slots: Option<u32>,
    pub(super) preferred: &'a [EndpointId],
    versions: Option<&'a VersionFilter>,
    is_repeatable: bool,
    responsive_at: Option<TimePoint>,
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
            slots: None,
            preferred: &[],
            versions: None,
            is_repeatable: false,
            responsive_at: None,
        }
    }

    /// Requires endpoints that serve exactly these model weights.
    #[must_use]
    pub fn binding(mut self, binding: &'a ModelBinding) -> Self {
        self.binding = Some(binding);
        self
    }

    /// Excludes endpoints, such as those that the request has already been sent to.
    #[must_use]
    pub fn avoid(mut self, avoid: &'a [EndpointId]) -> Self {
        self.avoid = avoid;
        self
    }

    /// Excludes the endpoints of a zone.
    #[must_use]
    pub fn avoid_zone(mut self, zone: &'a ZoneName) -> Self {
        self.avoid_zone = Some(zone);
        self
    }

    /// Prefers these endpoints among those of about the same cost.
    #[must_use]
    pub fn prefer(mut self, preferred: &'a [EndpointId]) -> Self {
        self.preferred = preferred;
        self
    }

    /// Requires endpoints that a version filter allows.
    #[must_use]
    pub fn versions(mut self, filter: &'a VersionFilter) -> Self {
        self.versions = Some(filter);
        self
    }

    /// Sets whether the request can be retried at another endpoint if its first attempt fails.
    #[must_use]
    pub fn repeatable(mut self, is_repeatable: bool) -> Self {
        self.is_repeatable = is_repeatable;
        self
    }

    /// Excludes endpoints that have recently been found silent or stalled and not been heard since.
    #[must_use]
    pub fn responsive(mut self, now: TimePoint) -> Self {
        self.responsive_at = Some(now);
        self
    }

    /// Restricts the choice to the few endpoints that all hosts rank first for an affinity key.
    #[must_use]
    pub fn affinity(mut self, key: u128) -> Self {
        self.affinity = Some(key);
        self
    }

    /// Sets how many requests of this size an endpoint can process at a time.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = Some(slots);
        self
    }

    /// The service that the request is for.
    pub fn service_name(&self) -> &str {
        self.service
    }

    /// How many requests of this size an endpoint can process at a time; `None` if that is its reported capacity.
    pub fn slot_count(&self) -> Option<u32> {
        self.slots
    }

    /// Whether the request may be sent as a trial to an endpoint that failed: only a first attempt that can be retried
    /// may.
    pub(super) fn may_be_trial(&self) -> bool {
        self.is_repeatable && self.avoid.is_empty()
    }

    pub(super) fn is_met_by(&self, record: &EndpointRecord) -> bool {
        let is_served = &*record.service == self.service;
        let is_bound = self.binding.is_none_or(|binding| record.binding.as_ref() == Some(binding));
        let is_zone_allowed = self.avoid_zone.is_none_or(|zone| record.zone != *zone);
        let is_version_allowed = self.versions.is_none_or(|filter| filter.allows(&record.id, &record.version));
        let is_heard = self.responsive_at.is_none_or(|now| !record.silence.is_recently_silent(now));
        is_served
            && is_heard
            && is_bound
            && is_zone_allowed
            && is_version_allowed
            && record.state == EndpointState::Live
            && !self.avoid.contains(&record.id)
    }
}

/// How many endpoints to query for a held prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderLimits {
    /// The maximum number of endpoints in the host's own zone.
    pub own_zone: usize,
    /// The maximum number of endpoints in each other zone.
    pub other_zone: usize,
}
