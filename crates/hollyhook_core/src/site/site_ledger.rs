use std::sync::Arc;
use std::time::Duration;

use super::{SiteIndex, SitePlan};
use crate::TimePoint;

/// What became of a version that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanAdoption {
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
pub struct SiteLedger {
    site: Option<Arc<SiteIndex>>,
    confirmed: Option<TimePoint>,
}

impl SiteLedger {
    /// Takes in a version that was the newest at `read_at`.
    pub fn adopt(&mut self, plan: SitePlan, read_at: TimePoint) -> PlanAdoption {
        let current = self.site.as_ref().map(|site| site.version());
        let adoption = match current {
            Some(version) if plan.version < version => PlanAdoption::Older,
            Some(version) if plan.version == version => PlanAdoption::Same,
            _ => PlanAdoption::Adopted,
        };
        if adoption == PlanAdoption::Adopted {
            self.site = Some(Arc::new(SiteIndex::from(plan)));
        }
        if adoption != PlanAdoption::Older {
            self.confirm(read_at);
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
    pub fn confirmed(&self) -> Option<TimePoint> {
        self.confirmed
    }

    /// Whether the version in force was known to be the newest within the last `bound`.
    pub fn is_current(&self, now: TimePoint, bound: Duration) -> bool {
        self.confirmed.is_some_and(|at| now.since(at) < bound)
    }
}
