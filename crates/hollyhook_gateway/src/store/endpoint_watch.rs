use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use hollyhook_core::{EndpointMembership, EndpointRecord, FeedPlan, FeedUpdate, Name, StoreRevision, TimePoint};
use hollyhook_platform::{ObjectKind, StoreObject};

use super::{FeedReader, QuarantineWriter, StoreError};
use crate::gateway::GatewayContext;
use crate::sync::lock;

/// How long one watch waits at most. A longer one costs fewer calls; where that would leave a connection that went silent
/// unnoticed for too long, it is shorter.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// The pause after changes for each endpoint, so that many changes come with one call. The endpoints of a large site
/// change all the time, and each watch that returns is a call; where there are few, what hosts know too late costs callers
/// more than the call.
const GATHER_EACH: Duration = Duration::from_millis(10);
/// The least of that pause.
const LEAST_GATHER: Duration = Duration::from_millis(400);
/// That pause at a host that others tell, which costs the store nothing. Engines that crash together are back after a second
/// or so under new names; until a host hears of them it is turned away at each.
const TOLD_GATHER: Duration = Duration::from_millis(400);
/// The most of that pause, as a part of the time within which a leaving endpoint has to be known.
const MOST_GATHER: f64 = 0.4;

/// Follows the endpoints that register themselves.
#[derive(Debug)]
pub(crate) struct EndpointWatch {
    context: Arc<GatewayContext>,
    reader: FeedReader,
    membership: Arc<Mutex<EndpointMembership>>,
    /// The store's last return that was taken in.
    grace_start: Option<TimePoint>,
    /// The store's revision in the first news of its era.
    began: StoreRevision,
    /// Entries in the copy from which the store came back that may be of endpoints that left, or say what was before.
    doubtful: BTreeMap<Name, StoreObject>,
    /// Entries that could not be read, and the revision at which that was logged.
    malformed: BTreeMap<Name, u64>,
}

impl EndpointWatch {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Self {
        let (of_part, mut taken) = (Arc::clone(&context), 0);
        let reader = FeedReader::new(Arc::clone(&context), ObjectKind::Endpoint, WATCH_WAIT)
            .part_taker(move |objects| taken += take_part(&of_part, objects.get(taken..).unwrap_or_default()));
        Self {
            context,
            reader,
            membership: Arc::default(),
            grace_start: None,
            began: StoreRevision::default(),
            doubtful: BTreeMap::new(),
            malformed: BTreeMap::new(),
        }
    }

    /// Follows them until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            match self.step().await {
                Ok(true) => self.context.timer.wait(self.gather_pause()).await,
                Ok(false) | Err(StoreError::HistoryGone) => {}
                Err(_logged) => self.reader.pause().await,
            }
        }
    }

    fn gather_pause(&self) -> Duration {
        match self.reader.plan() {
            FeedPlan::Lead => return self.context.feed_timing().leader_batch_delay(),
            // A leader has gathered already, and others wait for what is told on.
            FeedPlan::Relay(_) => return Duration::ZERO,
            FeedPlan::Follow(_) => return TOLD_GATHER,
            FeedPlan::Alone => {}
        }
        let most = self.context.drain_bound().mul_f64(MOST_GATHER);
        let each = GATHER_EACH * self.context.endpoints.table().len() as u32;
        each.max(LEAST_GATHER).min(most)
    }

    /// One call; tells whether anything changed.
    async fn step(&mut self) -> Result<bool, StoreError> {
        let news = self.reader.next().await?;
        self.context.wait_for_site().await;
        self.context.endpoints.confirm(news.confirmed_until);
        self.note_era(&news);
        self.note_return(&news);
        if news.is_snapshot {
            self.forget_missing(&news);
        }
        for change in &news.changes {
            if let Some(object) = &change.object {
                self.context.quarantine.load_entry(object);
                self.upsert(object);
            } else {
                self.context.quarantine.remove_entry(&change.name);
                self.malformed.remove(&change.name);
                self.doubtful.remove(&change.name);
                self.miss(&change.name);
            }
        }
        self.settle_doubtful();
        self.context.quarantine.confirm_crashes(&self.context.endpoints.take_lost());
        self.context.rollouts.check_versions();
        QuarantineWriter::wake(&self.context);
        if news.is_snapshot {
            self.context.wait_for_versions().await;
            self.context.mark_endpoints_listed();
        }
        Ok(!news.changes.is_empty())
    }

    /// Takes in that the store came back from an older copy of itself.
    fn note_era(&mut self, news: &FeedUpdate<StoreObject>) {
        if news.revision.era <= self.began.era {
            return;
        }
        let is_first = self.began == StoreRevision::default();
        self.began = news.revision;
        if is_first {
            return;
        }
        lock(&self.membership).platform_rolled_back(self.context.timer.now());
        tracing::warn!(
            era = news.revision.era,
            revision = news.revision.number,
            kind = "endpoints",
            is_whole = news.is_snapshot,
            "store.came_back_older"
        );
    }

    /// Whether an entry says what was before the store came back from an older copy: nobody has written it since, and what this
    /// host knows is newer.
    fn is_outdated(&self, object: &StoreObject, record: &EndpointRecord) -> bool {
        if object.revision > self.began.number {
            return false;
        }
        let known = self.context.endpoints.table().get(&record.id).map(|known| known.state);
        lock(&self.membership).is_outdated(self.context.timer.now(), &record.entry, known, record.state)
    }

    /// Believes the entries that are still there when those would have gone that nobody renews.
    fn settle_doubtful(&mut self) {
        if self.doubtful.is_empty() || lock(&self.membership).is_list_suspect(self.context.timer.now()) {
            return;
        }
        for object in std::mem::take(&mut self.doubtful).into_values() {
            self.upsert(&object);
        }
    }

    fn note_return(&mut self, news: &FeedUpdate<StoreObject>) {
        let Some(at) = news.grace_start.filter(|at| Some(*at) > self.grace_start) else {
            return;
        };
        self.grace_start = Some(at);
        lock(&self.membership).platform_recovered(at);
        // By itself, since the next watch may wait for longer than a leaving endpoint may still get work.
        task::spawn(forget_when_due(Arc::clone(&self.context), Arc::clone(&self.membership), at));
    }

    fn forget_missing(&mut self, news: &FeedUpdate<StoreObject>) {
        let present: BTreeSet<&Name> = news.changes.iter().map(|change| &change.name).collect();
        let known: BTreeSet<Name> =
            self.context.endpoints.table().iter().map(|record| Name::clone(&record.entry)).collect();
        for entry in known.iter().filter(|entry| !present.contains(*entry)) {
            self.miss(entry);
        }
        self.malformed.retain(|entry, _| present.contains(entry));
        self.doubtful.retain(|entry, _| present.contains(entry));
        self.context.quarantine.retain_entries(|entry| present.contains(entry));
    }

    fn upsert(&mut self, object: &StoreObject) {
        match hollyhook_platform::decode_endpoint(object) {
            Ok(record) if self.is_outdated(object, &record) => {
                tracing::info!(entry = %object.name, state = ?record.state, "endpoint.outdated");
                self.doubtful.insert(Name::clone(&object.name), object.clone());
            }
            Ok(mut record) => {
                lock(&self.membership).mark_present(&record.entry);
                self.malformed.remove(&record.entry);
                self.doubtful.remove(&record.entry);
                record.registered.era = self.began.era;
                self.context.endpoints.upsert(record);
            }
            Err(error) => {
                // Whoever wrote it, it names no endpoint that could be used.
                self.context.endpoints.remove_entry(&object.name, "malformed");
                let logged = self.malformed.insert(Name::clone(&object.name), object.revision);
                if logged != Some(object.revision) {
                    tracing::error!(%error, entry = %object.name, revision = object.revision, "endpoint.malformed");
                }
            }
        }
    }

    fn miss(&mut self, entry: &Name) {
        let is_gone = lock(&self.membership).mark_missing(self.context.timer.now(), entry);
        if is_gone {
            self.context.endpoints.remove_entry(entry, "removed");
        } else {
            tracing::info!(%entry, "endpoint.kept");
        }
    }
}

/// Takes in what is read of the first list before it is whole, and serves once it has an endpoint of each service.
///
/// Hundreds of hosts that start at once read thousands of entries over the store's one link, for seconds; callers need one
/// endpoint, not all. What can't be read is logged when the list is whole. Returns how many objects it took in: none before the
/// configuration is known, by whose services they are judged.
fn take_part(context: &GatewayContext, objects: &[StoreObject]) -> usize {
    let Some(site) = context.site() else {
        return 0;
    };
    let present = objects.iter().filter(|object| !object.is_deleting);
    for record in present.filter_map(|object| hollyhook_platform::decode_endpoint(object).ok()) {
        context.endpoints.upsert(record);
    }
    context.rollouts.check_versions();
    if !context.rollouts.has_unchecked_versions() && site.services().all(|service| context.endpoints.has_live(service))
    {
        context.mark_endpoints_listed();
    }
    objects.len()
}

/// Forgets the entries that did not come back after the store's return, when that is certain.
async fn forget_when_due(
    context: Arc<GatewayContext>,
    membership: Arc<Mutex<EndpointMembership>>,
    grace_start: TimePoint,
) {
    let due = grace_start + EndpointMembership::RECOVERY_GRACE;
    context.timer.wait(due.since(context.timer.now())).await;
    let lapsed = lock(&membership).take_expired(context.timer.now());
    for entry in lapsed {
        context.endpoints.remove_entry(&entry, "lapsed");
    }
}
