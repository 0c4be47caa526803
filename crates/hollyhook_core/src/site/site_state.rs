use std::sync::Arc;
use std::time::Duration;

use super::{SiteConfig, SiteIndex};
use crate::TimePoint;

/// The outcome of reading a configuration version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigAdoption {
    /// The version is newer than any version in force before, and is now in force.
    Adopted,
    /// The version was already in force.
    Same,
    /// A newer version is in force, so the read was late or stale.
    Older,
}

/// The configuration version in force at this host, and when it was last confirmed to be the newest.
///
/// A version is replaced only by a newer one. A host that can't reach the platform can't know whether an API key was
/// revoked, so it accepts keys only for a bounded time after the platform last confirmed the version.
#[derive(Debug, Default)]
pub struct SiteState {
    site: Option<Arc<SiteIndex>>,
    confirmed_at: Option<TimePoint>,
    /// The era of the store in which the version in force was read.
    era: u64,
}

impl SiteState {
    /// Applies a version that was the newest in the store at `read_at`, in the given era of the store.
    ///
    /// An older version in a later era comes from the older copy that the store was restored from. It confirms the
    /// version in force: until the operator writes the newer version again, the store holds nothing newer.
    pub fn adopt(&mut self, config: SiteConfig, read_at: TimePoint, era: u64) -> ConfigAdoption {
        let current = self.site.as_ref().map(|site| site.version());
        let adoption = match current {
            Some(version) if config.version < version => ConfigAdoption::Older,
            Some(version) if config.version == version => ConfigAdoption::Same,
            _ => ConfigAdoption::Adopted,
        };
        if adoption != ConfigAdoption::Older || era > self.era {
            self.confirm(read_at);
        }
        if adoption == ConfigAdoption::Adopted {
            self.era = era;
            self.site = Some(Arc::new(SiteIndex::from(config)));
        }
        adoption
    }

    /// Records that the version in force was still the newest at `at`; an earlier time than the last one has no effect.
    pub fn confirm(&mut self, at: TimePoint) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// The configuration in force.
    pub fn site(&self) -> Option<Arc<SiteIndex>> {
        self.site.clone()
    }

    /// When the version in force was last confirmed to be the newest.
    pub fn confirmed_at(&self) -> Option<TimePoint> {
        self.confirmed_at
    }

    /// Whether the version in force was confirmed to be the newest within the last `bound`.
    pub fn is_current(&self, now: TimePoint, bound: Duration) -> bool {
        self.confirmed_at.is_some_and(|at| now.since(at) < bound)
    }
}
