use std::sync::Arc;
use std::time::Duration;

use super::{SiteConfig, SiteIndex};
use crate::TimePoint;

/// What became of a version that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigAdoption {
    /// It is in force now.
    Adopted,
    /// It is in force already.
    Same,
    /// A newer one is in force; a late or stale read.
    Older,
}

/// The version of the configuration that is in force here, and until when it was known to be the newest.
///
/// Versions only go forward. A host that can't reach the platform can't know whether a key was taken away, so it
/// honours keys only for a bounded time after the platform last confirmed the version.
#[derive(Debug, Default)]
pub struct SiteState {
    site: Option<Arc<SiteIndex>>,
    confirmed: Option<TimePoint>,
    /// The era of the store in which it was read.
    era: u64,
}

impl SiteState {
    /// Takes in a version that was the newest in the store at `read_at`, in an era of the store.
    ///
    /// An older one in a later era is what the copy holds from which the store came back: the operator will write the newer one
    /// again, and until then nothing is newer than what is in force.
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

    /// Notes that the version in force was still the newest at that time.
    pub fn confirm(&mut self, at: TimePoint) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// The configuration in force.
    pub fn site(&self) -> Option<Arc<SiteIndex>> {
        self.site.clone()
    }

    /// When the version in force was last known to be the newest.
    pub fn confirmed_at(&self) -> Option<TimePoint> {
        self.confirmed
    }

    /// Whether the version in force was known to be the newest within the last `bound`.
    pub fn is_current(&self, now: TimePoint, bound: Duration) -> bool {
        self.confirmed.is_some_and(|at| now.since(at) < bound)
    }
}
