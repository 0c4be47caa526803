use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use hollyhook_core::{HostRecord, Name, OriginAnswer, OriginCopy, OriginLedger, Result, origin_holders};
use hollyhook_kernel::{ServiceRegistry, TimerService};

use super::{SnapshotTracker, VersionTracker};
use crate::gateway::EndpointDirectory;
use crate::peer::FeedState;
use crate::sync::lock;

/// The software versions at which streams began, at this host and, as copies, at others.
#[derive(Debug)]
pub(crate) struct OriginTracker {
    timer: Arc<TimerService>,
    feed: Arc<FeedState>,
    endpoints: Arc<EndpointDirectory>,
    versions: Arc<VersionTracker>,
    snapshots: Arc<SnapshotTracker>,
    ledger: Mutex<OriginLedger>,
    /// Whether a task of this host sends copies to other hosts.
    is_sharing: AtomicBool,
}

impl OriginTracker {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "origins";

    /// A tracker without origins.
    ///
    /// # Errors
    ///
    /// `Internal` if a service that the tracker uses is not registered.
    pub(crate) fn new(registry: &ServiceRegistry) -> Result<Self> {
        Ok(Self {
            timer: registry.find(TimerService::NAME)?,
            feed: registry.find(FeedState::NAME)?,
            endpoints: registry.find(EndpointDirectory::NAME)?,
            versions: registry.find(VersionTracker::NAME)?,
            snapshots: registry.find(SnapshotTracker::NAME)?,
            ledger: Mutex::default(),
            is_sharing: AtomicBool::new(false),
        })
    }

    /// Records that a caller got events of a stream from a version of a service.
    pub(super) fn record_own(&self, first_attempt: Name, service: Name, version: Name) {
        self.snapshots.record_begun(&first_attempt, &service, &version);
        lock(&self.ledger).record_own(self.timer.now(), first_attempt, service, version);
    }

    /// Records the origin of a stream of another host.
    pub(super) fn record_copy(&self, first_attempt: Name, version: Name) {
        self.snapshots.record_copy(&first_attempt, &version);
        lock(&self.ledger).record_copy(self.timer.now(), first_attempt, version);
    }

    /// What this host knows of a stream's origin.
    pub(super) fn answer(&self, service: &Name, first_attempt: &str) -> OriginAnswer {
        let now = self.timer.now();
        let version = lock(&self.ledger).version(now, first_attempt);
        let versions = self.versions.possible(service);
        OriginAnswer { version, versions, is_complete: self.versions.is_complete(service) }
    }

    /// The other hosts that keep copies of an origin.
    pub(super) fn holders(&self, first_attempt: &Name) -> Vec<HostRecord> {
        self.feed.with_topology(|topology| {
            let holders = origin_holders(topology.hosts(), first_attempt);
            holders.into_iter().filter(|record| !topology.is_own(record)).cloned().collect()
        })
    }

    /// Takes the origins that other hosts need copies of: those of services with several versions.
    pub(super) fn take_unshared(&self) -> Vec<OriginCopy> {
        let now = self.timer.now();
        lock(&self.ledger).take_unshared(now, |service| self.has_versions(service))
    }

    /// Whether origins have to be sent to other hosts and no task does so yet; if so, the caller has to send them.
    pub(super) fn begin_sharing(&self) -> bool {
        let has_unshared = lock(&self.ledger).has_unshared(|service| self.has_versions(service));
        has_unshared && !self.is_sharing.swap(true, Ordering::AcqRel)
    }

    /// Records that the task that began the sharing has ended.
    pub(super) fn end_sharing(&self) {
        self.is_sharing.store(false, Ordering::Release);
    }

    fn has_versions(&self, service: &str) -> bool {
        self.endpoints.table().recent_versions(self.timer.now(), service).len() > 1
    }
}
