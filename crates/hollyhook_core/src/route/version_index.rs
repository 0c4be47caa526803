use std::collections::{BTreeMap, BTreeSet};

use super::EndpointRecord;
use crate::{Name, OriginLedger, TimePoint};

/// The software versions of each service's endpoints, including versions whose last endpoint has gone lately.
#[derive(Debug, Default)]
pub(super) struct VersionIndex {
    services: BTreeMap<Name, BTreeMap<Name, VersionCount>>,
}

#[derive(Debug, Default)]
struct VersionCount {
    endpoints: usize,
    /// When the version was first found to have no endpoint left.
    gone_at: Option<TimePoint>,
}

impl VersionIndex {
    pub(super) fn add(&mut self, record: &EndpointRecord) {
        let versions = self.services.entry(Name::clone(&record.service)).or_default();
        let count = versions.entry(Name::clone(&record.version)).or_default();
        count.endpoints += 1;
        count.gone_at = None;
    }

    pub(super) fn remove(&mut self, record: &EndpointRecord) {
        let versions = self.services.get_mut(&record.service);
        if let Some(count) = versions.and_then(|versions| versions.get_mut(&record.version)) {
            count.endpoints = count.endpoints.saturating_sub(1);
        }
    }

    /// The number of versions that have endpoints.
    pub(super) fn count(&self, service: &str) -> usize {
        let versions = self.services.get(service).into_iter().flat_map(BTreeMap::values);
        versions.filter(|count| count.endpoints > 0).count()
    }

    /// The versions that have endpoints, or had some while streams that are still running may have begun.
    pub(super) fn recent(&mut self, now: TimePoint, service: &str) -> BTreeSet<Name> {
        let Some(versions) = self.services.get_mut(service) else {
            return BTreeSet::new();
        };
        versions.retain(|_, count| {
            count.endpoints > 0 || now.since(*count.gone_at.get_or_insert(now)) < OriginLedger::LIFETIME
        });
        versions.keys().cloned().collect()
    }
}
