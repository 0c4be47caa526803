use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::channel::oneshot;
use hollyhook_core::{
    EraTracker, EraVerdict, FeedLog, FeedPlan, FeedTopology, FeedUpdate, HostRecord, Name, SkipReason, StoreLatency,
    StoreRevision, TimePoint, ZoneName, snapshot_limit,
};
use hollyhook_platform::{ObjectKind, StoreObject};

use crate::sync::{WakeList, lock};

/// This host's copy of the store's contents, from which it updates other hosts, and the topology of these hosts.
#[derive(Debug)]
pub(crate) struct FeedState {
    topology: Mutex<FeedTopology>,
    logs: Mutex<HashMap<ObjectKind, FeedLog<StoreObject>>>,
    /// Requests of other hosts that wait for an update of any kind.
    waiters: WakeList,
    /// Whether the other hosts are being listed for the first time.
    is_listing: AtomicBool,
    /// Whether the hosts of all zones have been listed.
    has_all_zones: AtomicBool,
    eras: Mutex<EraTracker>,
    latency: Mutex<StoreLatency>,
    /// Most objects that are sent in one snapshot.
    snapshot_limit: usize,
}

impl FeedState {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "feed";

    /// The state of a host with a link of `link_mbps` Mbit/s that has read nothing yet.
    pub(crate) fn new(host: Name, zone: ZoneName, link_mbps: u32) -> Self {
        Self {
            topology: Mutex::new(FeedTopology::new(host, zone)),
            logs: Mutex::default(),
            waiters: WakeList::default(),
            is_listing: AtomicBool::new(false),
            has_all_zones: AtomicBool::new(false),
            eras: Mutex::default(),
            latency: Mutex::default(),
            snapshot_limit: snapshot_limit(link_mbps),
        }
    }

    /// The newest era of the store that this host has seen in any answer.
    pub(crate) fn era(&self) -> u64 {
        lock(&self.eras).era()
    }

    /// Compares the era that an answer states with the newest one, and records a newer one.
    pub(crate) fn observe_era(&self, era: Option<u64>) -> EraVerdict {
        lock(&self.eras).observe(era)
    }

    /// How long the store takes to answer this host.
    pub(crate) fn latency(&self) -> StoreLatency {
        *lock(&self.latency)
    }

    /// Records how long an answer of the store took, beyond the time for which the call asked it to wait.
    pub(crate) fn observe_latency(&self, latency: Duration) {
        lock(&self.latency).observe(latency);
    }

    /// Records that the other hosts will be listed soon.
    pub(crate) fn begin_listing(&self) {
        self.is_listing.store(true, Ordering::Relaxed);
    }

    /// Records that the other hosts were listed, so that this host's sources will not change soon.
    pub(crate) fn end_listing(&self) {
        self.is_listing.store(false, Ordering::Relaxed);
    }

    /// Whether the other hosts are being listed for the first time.
    pub(crate) fn is_listing(&self) -> bool {
        self.is_listing.load(Ordering::Relaxed)
    }

    /// Records whether the hosts of all zones have been listed.
    pub(crate) fn record_all_zones(&self, is_listed: bool) {
        self.has_all_zones.store(is_listed, Ordering::Relaxed);
    }

    /// The names of the hosts of all zones; `None` before those of all zones have been listed.
    pub(crate) fn all_hosts(&self) -> Option<BTreeSet<Name>> {
        let hosts = || lock(&self.topology).hosts().map(|record| Name::clone(&record.host)).collect();
        self.has_all_zones.load(Ordering::Relaxed).then(hosts)
    }

    /// The number of registered hosts; `None` before they have been listed.
    pub(crate) fn host_count(&self) -> Option<usize> {
        Some(lock(&self.topology).host_count()).filter(|count| *count > 0)
    }

    /// Where this host gets the contents of the store now.
    pub(crate) fn plan(&self, now: TimePoint) -> FeedPlan {
        lock(&self.topology).plan(now)
    }

    /// Whether the zone is so large that the leaders update relays, and these the other hosts.
    pub(crate) fn has_relays(&self) -> bool {
        lock(&self.topology).has_relays()
    }

    /// The hosts to ask when the store does not answer, best first.
    pub(crate) fn helpers(&self, now: TimePoint) -> Vec<HostRecord> {
        lock(&self.topology).helpers(now)
    }

    /// Reads the registered hosts.
    pub(crate) fn with_topology<T>(&self, read: impl FnOnce(&FeedTopology) -> T) -> T {
        read(&lock(&self.topology))
    }

    /// The record of another host, if it is registered at this address.
    pub(crate) fn host_at(&self, host: &Name, address: IpAddr) -> Option<HostRecord> {
        let topology = lock(&self.topology);
        topology.other_hosts().find(|record| record.host == *host && record.address.ip() == address).cloned()
    }

    /// Replaces the registered hosts of all zones.
    pub(crate) fn set_hosts(&self, records: Vec<HostRecord>) {
        lock(&self.topology).set_hosts(records);
    }

    /// Skips a source for a while because its answer was of no use.
    pub(crate) fn skip_source(&self, now: TimePoint, host: &Name, reason: SkipReason) {
        lock(&self.topology).skip_source(now, host, reason);
    }

    /// Skips a helper for a while because its answer was of no use.
    pub(crate) fn skip_helper(&self, now: TimePoint, host: &Name, reason: SkipReason) {
        lock(&self.topology).skip_helper(now, host, reason);
    }

    /// Stops skipping sources that were only stale, because the store does not answer this host either.
    pub(crate) fn restore_stale_sources(&self) {
        lock(&self.topology).restore_stale_sources();
    }

    /// Applies an update, and wakes the waiting requests unless the update is empty.
    pub(crate) fn apply(&self, kind: ObjectKind, update: &FeedUpdate<StoreObject>) {
        lock(&self.logs)
            .entry(kind)
            .or_insert_with(|| FeedLog::default().snapshot_limit(self.snapshot_limit))
            .apply(update);
        if update.is_empty() {
            return;
        }
        self.waiters.wake();
    }

    /// The changes after a revision, or a snapshot; `None` if this host must not pass its copy on.
    pub(crate) fn update_after(
        &self,
        kind: ObjectKind,
        revision: Option<StoreRevision>,
    ) -> Option<FeedUpdate<StoreObject>> {
        lock(&self.logs).get(&kind)?.update_after(revision)
    }

    /// Whether this host has received an update of this kind.
    pub(crate) fn has_updates(&self, kind: ObjectKind) -> bool {
        lock(&self.logs).contains_key(&kind)
    }

    /// A receiver that completes when a non-empty update of any kind is applied.
    pub(crate) fn update_signal(&self) -> oneshot::Receiver<()> {
        self.waiters.wait()
    }
}
