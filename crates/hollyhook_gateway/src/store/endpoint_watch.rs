use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use hollyhook_core::{
    EndpointMembership, EndpointRecord, EndpointState, FeedPlan, FeedUpdate, Name, StoreRevision, TimePoint,
};
use hollyhook_platform::{ObjectKind, StoreObject};

use super::partial_list::PartialList;
use super::{FeedReader, QuarantineWriter, StoreError};
use crate::gateway::GatewayContext;
use crate::origin::OriginSharer;
use crate::sync::lock;

/// Longest time that a watch waits for changes. A longer wait costs fewer calls; the reader shortens it where a dead
/// connection would be detected too late.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// Delay before the next watch after changes, per known endpoint, so that one call returns many changes. The endpoints
/// of a large site change all the time, and each watch that returns is a call. With few endpoints the delay is short,
/// because an outdated table costs callers more than the additional calls cost the store.
const BATCH_DELAY_PER_ENDPOINT: Duration = Duration::from_millis(10);
/// Lower bound of the delay that results from [`BATCH_DELAY_PER_ENDPOINT`].
const MIN_BATCH_DELAY: Duration = Duration::from_millis(400);
/// The delay at a follower, which calls another host and costs the store nothing. Engines that crash together return
/// after about a second under new names; until a follower learns the new names, each engine rejects its requests.
const FOLLOWER_BATCH_DELAY: Duration = Duration::from_millis(400);
/// How long after the start of the process a host with some live endpoints waits for a whole list whose pages fail.
/// Without a bound, one page that can't be read would keep all hosts from serving with what the others hold.
const WHOLE_LIST_WAIT: Duration = Duration::from_secs(3);
/// Upper bound of the delay that results from [`BATCH_DELAY_PER_ENDPOINT`], as a fraction of the time within which this
/// host must stop sending requests to a leaving endpoint.
const MAX_BATCH_FRACTION: f64 = 0.4;

/// Keeps the endpoint table up to date with the endpoints' entries in the store.
#[derive(Debug)]
pub(crate) struct EndpointWatch {
    context: Arc<GatewayContext>,
    reader: FeedReader,
    membership: Arc<Mutex<EndpointMembership>>,
    /// Start of the last grace period for missing entries, after an outage of the store.
    grace_start: Option<TimePoint>,
    /// Revision of the first update of the store's current era.
    era_start: StoreRevision,
    /// Entries that look outdated after the store was restored from an older copy: their endpoint has left since that
    /// copy was made, or the state that they list was superseded.
    suspect_entries: BTreeMap<Name, StoreObject>,
    /// Malformed entries, and the revision of each that was last logged.
    malformed: BTreeMap<Name, u64>,
}

impl EndpointWatch {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Self {
        let shared = Arc::clone(&context);
        let reader = FeedReader::new(Arc::clone(&context), ObjectKind::Endpoint, WATCH_WAIT)
            .page_callback(move |list| apply_pages(&shared, list));
        Self {
            context,
            reader,
            membership: Arc::default(),
            grace_start: None,
            era_start: StoreRevision::default(),
            suspect_entries: BTreeMap::new(),
            malformed: BTreeMap::new(),
        }
    }

    /// Applies updates until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            match self.step().await {
                Ok(true) => self.context.timer.wait(self.batch_delay()).await,
                Ok(false) => {}
                Err(error) => {
                    self.serve_in_part(&error);
                    self.reader.wait_before_retry(&error).await;
                }
            }
        }
    }

    /// Marks this host as ready with the endpoints that it has read if the first list has failed for too long.
    fn serve_in_part(&self, error: &StoreError) {
        let live = self.context.endpoints.table().iter().filter(|record| record.state == EndpointState::Live).count();
        let is_late = self.context.timer.now() >= TimePoint::ZERO + WHOLE_LIST_WAIT;
        if self.context.has_endpoints() || live == 0 || !is_late {
            return;
        }
        self.context.recorder.count("endpoints_listed_in_part");
        tracing::warn!(%error, live, "endpoints.listed_in_part");
        self.context.mark_endpoints_listed();
    }

    /// The delay after an update with changes before the next update is requested.
    fn batch_delay(&self) -> Duration {
        match self.reader.plan() {
            FeedPlan::Lead => return self.context.feed_timing().leader_batch_delay(),
            // The leader has batched the changes already, and followers wait for this relay.
            FeedPlan::Relay(_) => return Duration::ZERO,
            FeedPlan::Follow(_) => return FOLLOWER_BATCH_DELAY,
            FeedPlan::Alone => {}
        }
        let max_delay = self.context.drain_bound().mul_f64(MAX_BATCH_FRACTION);
        let delay = BATCH_DELAY_PER_ENDPOINT * self.context.endpoints.table().len() as u32;
        delay.max(MIN_BATCH_DELAY).min(max_delay)
    }

    /// Reads one update and applies it; returns whether it contained changes.
    async fn step(&mut self) -> Result<bool, StoreError> {
        let update = self.reader.next_update().await?;
        self.context.wait_for_site().await;
        self.context.endpoints.confirm(update.confirmed_until);
        self.record_era(&update);
        self.record_recovery(&update);
        if update.is_snapshot {
            self.remove_missing(&update);
        }
        for change in &update.changes {
            if let Some(object) = &change.object {
                self.context.quarantine.load_entry(object);
                self.upsert(object);
            } else {
                self.context.quarantine.remove_entry(&change.name);
                self.malformed.remove(&change.name);
                self.suspect_entries.remove(&change.name);
                self.mark_missing(&change.name);
            }
        }
        self.accept_suspect_entries();
        self.context.quarantine.confirm_crashes(&self.context.endpoints.take_lost());
        self.context.rollouts.check_versions();
        self.context.versions.check();
        QuarantineWriter::spawn_if_needed(&self.context);
        OriginSharer::spawn_if_needed(&self.context);
        if update.is_snapshot {
            self.context.wait_for_versions().await;
            self.context.mark_endpoints_listed();
        }
        Ok(!update.changes.is_empty())
    }

    /// Records the first update of a new era; any era but the first means that the store was restored from an older
    /// copy.
    fn record_era(&mut self, update: &FeedUpdate<StoreObject>) {
        if update.revision.era <= self.era_start.era {
            return;
        }
        let is_first = self.era_start == StoreRevision::default();
        self.era_start = update.revision;
        if is_first {
            return;
        }
        lock(&self.membership).platform_rolled_back(self.context.timer.now());
        tracing::warn!(
            era = update.revision.era,
            revision = update.revision.number,
            kind = "endpoints",
            is_whole = update.is_snapshot,
            "store.came_back_older"
        );
    }

    /// Whether an entry is outdated: it was not written since the store was restored from an older copy, and this host
    /// knows a newer state.
    fn is_outdated(&self, object: &StoreObject, record: &EndpointRecord) -> bool {
        if object.revision > self.era_start.number {
            return false;
        }
        let known = self.context.endpoints.table().get(&record.id).map(|known| known.state);
        lock(&self.membership).is_outdated(self.context.timer.now(), &record.entry, known, record.state)
    }

    /// Applies the suspect entries that are still listed once the entries of endpoints that have left must have
    /// expired.
    fn accept_suspect_entries(&mut self) {
        if self.suspect_entries.is_empty() || lock(&self.membership).is_list_suspect(self.context.timer.now()) {
            return;
        }
        for object in std::mem::take(&mut self.suspect_entries).into_values() {
            self.upsert(&object);
        }
    }

    /// Starts the grace period for missing entries if the update states a new one.
    fn record_recovery(&mut self, update: &FeedUpdate<StoreObject>) {
        let Some(at) = update.grace_start.filter(|at| Some(*at) > self.grace_start) else {
            return;
        };
        self.grace_start = Some(at);
        lock(&self.membership).platform_recovered(at);
        // A separate task, because the next watch may wait for longer than requests may still be sent to an endpoint
        // that has left.
        task::spawn(remove_after_grace(Arc::clone(&self.context), Arc::clone(&self.membership), at));
    }

    /// Marks all known entries as missing that a snapshot does not list.
    fn remove_missing(&mut self, update: &FeedUpdate<StoreObject>) {
        let present: BTreeSet<&Name> = update.changes.iter().map(|change| &change.name).collect();
        let known: BTreeSet<Name> =
            self.context.endpoints.table().iter().map(|record| Name::clone(&record.entry)).collect();
        for entry in known.iter().filter(|entry| !present.contains(*entry)) {
            self.mark_missing(entry);
        }
        self.malformed.retain(|entry, _| present.contains(entry));
        self.suspect_entries.retain(|entry, _| present.contains(entry));
        self.context.quarantine.retain_entries(|entry| present.contains(entry));
    }

    fn upsert(&mut self, object: &StoreObject) {
        match hollyhook_platform::decode_endpoint(object) {
            Ok(record) if self.is_outdated(object, &record) => {
                tracing::info!(entry = %object.name, state = ?record.state, "endpoint.outdated");
                self.suspect_entries.insert(Name::clone(&object.name), object.clone());
            }
            Ok(mut record) => {
                lock(&self.membership).mark_present(&record.entry);
                self.malformed.remove(&record.entry);
                self.suspect_entries.remove(&record.entry);
                record.registered.era = self.era_start.era;
                self.context.endpoints.upsert(record);
            }
            Err(error) => {
                // Whoever wrote the entry: it no longer describes a usable endpoint.
                self.context.endpoints.remove_entry(&object.name, "malformed");
                let logged = self.malformed.insert(Name::clone(&object.name), object.revision);
                if logged != Some(object.revision) {
                    tracing::error!(%error, entry = %object.name, revision = object.revision, "endpoint.malformed");
                }
            }
        }
    }

    /// Removes the endpoints of a missing entry, or keeps them during the grace period after an outage of the store.
    fn mark_missing(&mut self, entry: &Name) {
        let is_gone = lock(&self.membership).mark_missing(self.context.timer.now(), entry);
        if is_gone {
            self.context.endpoints.remove_entry(entry, "removed");
        } else {
            tracing::info!(%entry, "endpoint.kept");
        }
    }
}

/// Applies objects of the first list before it is complete, and marks this host as ready once each service has a live
/// endpoint and no version waits to be checked against the roll-out orders.
///
/// Hundreds of hosts that start at once read thousands of entries over the store's one link, which takes seconds;
/// callers need one endpoint, not all. Malformed entries are logged when the list is complete. Returns the number of
/// objects processed: zero before the configuration is known, because entries are checked against its services.
fn apply_pages(context: &GatewayContext, list: &PartialList) -> usize {
    // Later lists are applied as a whole, since an entry may be older than what this host knows.
    if context.endpoints.known_ms().is_some() {
        return list.objects.len();
    }
    let Some(site) = context.site() else {
        return 0;
    };
    let present = list.unprocessed().iter().filter(|object| !object.is_deleting);
    for record in present.filter_map(|object| hollyhook_platform::decode_endpoint(object).ok()) {
        context.endpoints.upsert(record);
    }
    context.rollouts.check_versions();
    if !context.rollouts.has_unchecked_versions() && site.services().all(|service| context.endpoints.has_live(service))
    {
        context.mark_endpoints_listed();
    }
    list.objects.len()
}

/// Removes the entries that were not registered again by the end of the grace period after an outage of the store.
async fn remove_after_grace(
    context: Arc<GatewayContext>,
    membership: Arc<Mutex<EndpointMembership>>,
    grace_start: TimePoint,
) {
    let due = grace_start + EndpointMembership::RECOVERY_GRACE;
    context.timer.wait(due.since(context.timer.now())).await;
    let expired = lock(&membership).take_expired(context.timer.now());
    for entry in expired {
        context.endpoints.remove_entry(&entry, "lapsed");
    }
}
