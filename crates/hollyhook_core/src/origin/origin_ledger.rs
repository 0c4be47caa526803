use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::{Name, TimePoint};

/// Maximum number of streams whose origins a host keeps: its own of a minute and the copies of others, at a few hundred
/// a second.
const MAX_ORIGINS: usize = 20_000;

/// The software versions at which streams began: those that this host served, and copies for other hosts.
///
/// ```
/// use hollyhook_core::{OriginLedger, TimePoint};
///
/// let mut ledger = OriginLedger::default();
/// ledger.record_own(TimePoint::ZERO, "a1".into(), "model".into(), "v1".into());
/// assert_eq!(ledger.version(TimePoint::ZERO, "a1").as_deref(), Some("v1"));
/// assert_eq!(&*ledger.take_unshared(TimePoint::ZERO, |_service| true)[0].first_attempt, "a1");
/// assert!(ledger.take_unshared(TimePoint::ZERO, |_service| true).is_empty());
/// assert_eq!(ledger.version(TimePoint::ZERO + OriginLedger::LIFETIME, "a1"), None);
/// ```
#[derive(Debug, Default)]
pub struct OriginLedger {
    origins: BTreeMap<Name, OriginRecord>,
    /// The origins in the order in which they were recorded; one that was recorded again occurs twice.
    order: VecDeque<(TimePoint, Name)>,
    /// The origins of this host that other hosts have no copy of, by service.
    unshared: BTreeMap<Name, BTreeSet<Name>>,
}

/// A copy of an origin for another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginCopy {
    /// The client attempt that brought the stream's first event.
    pub first_attempt: Name,
    /// The version at which the stream began.
    pub version: Name,
}

#[derive(Debug)]
struct OriginRecord {
    version: Name,
    at: TimePoint,
}

impl OriginLedger {
    /// How long an origin is kept after an event: callers have given up by then.
    pub const LIFETIME: Duration = Duration::from_mins(1);

    /// Records that a stream of this host began, or goes on, at a version of a service.
    pub fn record_own(&mut self, now: TimePoint, first_attempt: Name, service: Name, version: Name) {
        self.record_copy(now, Name::clone(&first_attempt), version);
        self.unshared.entry(service).or_default().insert(first_attempt);
    }

    /// Records the origin of a stream of another host.
    pub fn record_copy(&mut self, now: TimePoint, first_attempt: Name, version: Name) {
        self.expire(now);
        self.order.push_back((now, Name::clone(&first_attempt)));
        self.origins.insert(first_attempt, OriginRecord { version, at: now });
    }

    /// The version at which the stream of a client attempt began, if known.
    pub fn version(&mut self, now: TimePoint, first_attempt: &str) -> Option<Name> {
        self.expire(now);
        self.origins.get(first_attempt).map(|record| Name::clone(&record.version))
    }

    /// Whether other hosts need copies of origins of these services.
    pub fn has_unshared(&self, needs_copies: impl Fn(&Name) -> bool) -> bool {
        self.unshared.keys().any(needs_copies)
    }

    /// Takes the origins of services that need copies at other hosts, which are then taken for shared.
    pub fn take_unshared(&mut self, now: TimePoint, needs_copies: impl Fn(&Name) -> bool) -> Vec<OriginCopy> {
        self.expire(now);
        let taken = self.unshared.extract_if(.., |service, _| needs_copies(service)).flat_map(|(_, ids)| ids);
        let taken = taken.filter_map(|first_attempt| {
            let version = Name::clone(&self.origins.get(&first_attempt)?.version);
            Some(OriginCopy { first_attempt, version })
        });
        taken.collect()
    }

    /// Removes origins that are too old, and the oldest beyond the limit.
    fn expire(&mut self, now: TimePoint) {
        while let Some((at, _)) = self.order.front()
            && (now.since(*at) >= Self::LIFETIME || self.order.len() > MAX_ORIGINS)
        {
            let Some((at, id)) = self.order.pop_front() else {
                return;
            };
            if self.origins.get(&id).is_some_and(|record| record.at == at) {
                self.origins.remove(&id);
                self.unshared.retain(|_, ids| {
                    ids.remove(&id);
                    !ids.is_empty()
                });
            }
        }
    }
}
