use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use futures::channel::oneshot;
use hollyhook_core::{
    EraTracker, EraVerdict, FeedLog, FeedPlan, FeedTopology, FeedUpdate, HostRecord, Name, SkipReason, StoreRevision,
    TimePoint, ZoneName, snapshot_limit,
};
use hollyhook_platform::{ObjectKind, StoreObject};

use crate::sync::{WakeList, lock};

/// What this host knows of the store and tells others, and who they are.
#[derive(Debug)]
pub(crate) struct FeedState {
    topology: Mutex<FeedTopology>,
    logs: Mutex<HashMap<ObjectKind, FeedLog<StoreObject>>>,
    /// Those who wait for news of any kind.
    waiters: WakeList,
    /// Whether the other hosts are being listed for the first time.
    is_listing: AtomicBool,
    eras: Mutex<EraTracker>,
    /// Objects up to which all of a kind are told at once.
    snapshot_limit: usize,
}

impl FeedState {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "feed";

    /// The board of a host whose link carries `link_mbps` Mbit/s.
    pub(crate) fn new(host: Name, zone: ZoneName, link_mbps: u32) -> Self {
        Self {
            topology: Mutex::new(FeedTopology::new(host, zone)),
            logs: Mutex::default(),
            waiters: WakeList::default(),
            is_listing: AtomicBool::new(false),
            eras: Mutex::default(),
            snapshot_limit: snapshot_limit(link_mbps),
        }
    }

    /// The newest era of the store that this host has heard of.
    pub(crate) fn era(&self) -> u64 {
        lock(&self.eras).era()
    }

    /// Judges an answer by the era of the store that it tells.
    pub(crate) fn observe_era(&self, era: Option<u64>) -> EraVerdict {
        lock(&self.eras).observe(era)
    }

    /// Notes that the other hosts will be listed soon.
    pub(crate) fn begin_listing(&self) {
        self.is_listing.store(true, Ordering::Relaxed);
    }

    /// Notes that from whom this host learns will not change soon.
    pub(crate) fn end_listing(&self) {
        self.is_listing.store(false, Ordering::Relaxed);
    }

    /// Whether the other hosts are being listed for the first time.
    pub(crate) fn is_listing(&self) -> bool {
        self.is_listing.load(Ordering::Relaxed)
    }

    /// The hosts that are registered; none before they are listed.
    pub(crate) fn host_count(&self) -> Option<usize> {
        Some(lock(&self.topology).host_count()).filter(|count| *count > 0)
    }

    /// From whom this host learns now.
    pub(crate) fn plan(&self, now: TimePoint) -> FeedPlan {
        lock(&self.topology).plan(now)
    }

    /// Whether the hosts of the zone are so many that some tell on what one reads.
    pub(crate) fn has_relays(&self) -> bool {
        lock(&self.topology).has_relays()
    }

    /// Whom to ask when the store gives no answer.
    pub(crate) fn helpers(&self, now: TimePoint) -> Vec<HostRecord> {
        lock(&self.topology).helpers(now)
    }

    /// Takes in all hosts that are registered.
    pub(crate) fn set_hosts(&self, records: Vec<HostRecord>) {
        lock(&self.topology).set_hosts(records);
    }

    /// Notes that a host to learn from was of no use.
    pub(crate) fn skip_source(&self, now: TimePoint, host: &Name, reason: SkipReason) {
        lock(&self.topology).skip_source(now, host, reason);
    }

    /// Notes that a host was of no use that was asked for help.
    pub(crate) fn skip_helper(&self, now: TimePoint, host: &Name, reason: SkipReason) {
        lock(&self.topology).skip_helper(now, host, reason);
    }

    /// Notes that the store gives this host no answer either.
    pub(crate) fn restore_stale_sources(&self) {
        lock(&self.topology).restore_stale_sources();
    }

    /// Takes news in.
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

    /// What changed after a revision; none if this host may not tell.
    pub(crate) fn update_after(
        &self,
        kind: ObjectKind,
        revision: Option<StoreRevision>,
    ) -> Option<FeedUpdate<StoreObject>> {
        lock(&self.logs).get(&kind)?.update_after(revision)
    }

    /// Whether this host has heard of any objects of that kind.
    pub(crate) fn has_updates(&self, kind: ObjectKind) -> bool {
        lock(&self.logs).contains_key(&kind)
    }

    /// Completes when news of any kind are there.
    pub(crate) fn update_signal(&self) -> oneshot::Receiver<()> {
        self.waiters.wait()
    }
}
