use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use futures::channel::oneshot;
use hollyhook_core::{
    ListedVersions, Name, OriginLedger, RecordTurn, Result, ServiceVersions, SiteIndex, SiteState, TimePoint,
    VersionRecord,
};
use hollyhook_kernel::{ServiceRegistry, TimerService};
use hollyhook_platform::StoreObject;
use hollyhook_telemetry::MetricRecorder;

use super::SnapshotTracker;
use crate::gateway::EndpointDirectory;
use crate::peer::FeedState;
use crate::sync::{WakeList, lock};

/// The oldest list of endpoints, in milliseconds, that shows all versions whose streams may come back to this host.
const MAX_LIST_AGE_MS: u64 = 3_000;
/// The age of the list, in milliseconds, from which a version may have come and gone unseen before the next list. A
/// quiet store confirms a list every few seconds.
const MAX_LIST_GAP_MS: u64 = 10_000;

/// The software versions of engines whose streams may come back, by what this host has seen and by the record of each
/// service in the store.
#[derive(Debug)]
pub(crate) struct VersionTracker {
    host: Name,
    timer: Arc<TimerService>,
    recorder: Arc<MetricRecorder>,
    feed: Arc<FeedState>,
    endpoints: Arc<EndpointDirectory>,
    site: Arc<Mutex<SiteState>>,
    snapshots: Arc<SnapshotTracker>,
    state: Mutex<TrackerState>,
    /// The task that waits until a record has to be read or written.
    waiters: WakeList,
}

#[derive(Debug, Default)]
struct TrackerState {
    services: BTreeMap<Name, RecordedVersions>,
    /// Since when the list of endpoints has shown all versions; `None` before the first list and while it is too old.
    current_since: Option<TimePoint>,
    /// The era of the store in which the records were read.
    era: u64,
}

/// The versions of one service.
#[derive(Debug, Default)]
struct RecordedVersions {
    record: VersionRecord,
    /// The versions that new streams may begin at; `None` allows all.
    admitted: Option<BTreeSet<Name>>,
    /// The versions that can serve and are not admitted.
    gated: BTreeSet<Name>,
    /// What the record has to hold, if it has to be written, and when it is this host's turn.
    pending: Option<(TimePoint, BTreeSet<Name>)>,
}

impl VersionTracker {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "versions";

    /// A tracker for the host `host` that has read no record; `site` names the registered service that holds the
    /// configuration.
    ///
    /// # Errors
    ///
    /// `Internal` if a service that the tracker uses is not registered.
    pub(crate) fn new(registry: &ServiceRegistry, site: &str, host: &Name) -> Result<Self> {
        Ok(Self {
            host: Name::clone(host),
            timer: registry.find(TimerService::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            feed: registry.find(FeedState::NAME)?,
            endpoints: registry.find(EndpointDirectory::NAME)?,
            site: registry.find(site)?,
            snapshots: registry.find(SnapshotTracker::NAME)?,
            state: Mutex::default(),
            waiters: WakeList::default(),
        })
    }

    /// The versions that new streams of a service may begin at; `None` allows all.
    pub(crate) fn admitted(&self, service: &str) -> Option<BTreeSet<Name>> {
        lock(&self.state).services.get(service)?.admitted.clone()
    }

    /// The versions of a service at which no stream may begin before this host's next snapshot.
    pub(crate) fn closed(&self, service: &str) -> BTreeSet<Name> {
        self.snapshots.closed(service)
    }

    /// Whether the records of all services have been read.
    pub(crate) fn has_read_all(&self) -> bool {
        let state = lock(&self.state);
        state.current_since.is_some() && !state.services.values().any(|versions| versions.record.needs_reading())
    }

    /// The versions that may have begun streams of a service that come back.
    pub(super) fn possible(&self, service: &str) -> BTreeSet<Name> {
        let now = self.timer.now();
        let recent = self.endpoints.table().recent_versions(now, service);
        let state = lock(&self.state);
        match state.services.get(service) {
            Some(versions) if !state.has_seen_lifetime(now) => versions.record.possible(&recent),
            _ => recent,
        }
    }

    /// Whether [`possible`](Self::possible) names all versions: this host has seen all for the lifetime of origins, or
    /// has read what it has not seen.
    pub(super) fn is_complete(&self, service: &Name) -> bool {
        if !self.known_site().is_some_and(|site| site.resumable_services().contains(service)) {
            return true;
        }
        let state = lock(&self.state);
        let is_read = || state.services.get(service).is_some_and(|versions| !versions.record.needs_reading());
        state.has_seen_lifetime(self.timer.now()) || is_read()
    }

    /// Whether this host itself has seen all versions whose streams may still come back, so that no other host need be
    /// asked.
    pub(super) fn has_whole_history(&self) -> bool {
        let is_current = self.endpoints.known_ms().is_some_and(|age| age <= MAX_LIST_AGE_MS);
        is_current && lock(&self.state).has_seen_lifetime(self.timer.now())
    }

    /// Updates what new streams may begin at, and what has to be read and written, from the known endpoints.
    pub(crate) fn check(&self) {
        let Some(site) = self.known_site() else {
            return;
        };
        let now = self.timer.now();
        let listed = self.listed_versions(now, &site);
        let (age, era) = (self.endpoints.known_ms(), self.feed.era());
        let mut state = lock(&self.state);
        state.observe_list(now, age);
        state.observe_era(era);
        let has_seen_lifetime = state.has_seen_lifetime(now);
        state.services.retain(|service, _| listed.contains_key(service));
        let mut known = BTreeMap::new();
        for (service, listed) in listed {
            let versions = state.services.entry(Name::clone(&service)).or_default();
            if has_seen_lifetime {
                versions.record.retain_recent(&listed.recent);
            }
            versions.update_pending(now, || self.turn(&service), has_seen_lifetime, &listed.recent);
            for version in versions.update_admitted(&listed.serving) {
                self.recorder.count("versions_gated");
                tracing::info!(%service, %version, "version.gated");
            }
            let possible = versions.record.possible(&listed.recent);
            known.insert(service, ServiceVersions { live: listed.live, possible });
        }
        self.snapshots.set_services(known);
        let has_work = state.has_work();
        drop(state);
        if has_work {
            self.waiters.wake();
        }
    }

    /// A receiver that completes when a record has to be read or written.
    pub(crate) fn work_signal(&self) -> oneshot::Receiver<()> {
        self.waiters.wait()
    }

    /// Whether a record has to be read or written, now or later.
    pub(crate) fn has_work(&self) -> bool {
        lock(&self.state).has_work()
    }

    /// Whether the records have to be read now.
    pub(crate) fn must_read(&self) -> bool {
        let (now, state) = (self.timer.now(), lock(&self.state));
        state.needs_reading() || state.due(now).next().is_some()
    }

    /// Applies the list of all records, read in an era of the store.
    pub(crate) fn apply_list(&self, objects: &[StoreObject], era: u64) {
        let mut state = lock(&self.state);
        state.era = era;
        for (service, versions) in &mut state.services {
            let object = objects.iter().find(|object| object.name == *service);
            match object.map(hollyhook_platform::decode_versions).transpose() {
                Ok(recorded) => versions.record.apply_reading(recorded),
                Err(error) => {
                    tracing::error!(%error, %service, "versions.malformed");
                    versions.record.apply_unreadable();
                }
            }
        }
        drop(state);
        self.check();
    }

    /// What has to be written now, by service.
    pub(crate) fn due_writes(&self) -> BTreeMap<Name, BTreeSet<Name>> {
        let state = lock(&self.state);
        state.due(self.timer.now()).map(|(service, content)| (Name::clone(service), content.clone())).collect()
    }

    /// Records that this host has written a record.
    pub(crate) fn apply_written(&self, service: &Name, content: BTreeSet<Name>) {
        if let Some(versions) = lock(&self.state).services.get_mut(service) {
            versions.record.apply_reading(Some(content));
        }
        self.check();
    }

    fn known_site(&self) -> Option<Arc<SiteIndex>> {
        lock(&self.site).site()
    }

    /// The versions of each service of engines whose streams can be resumed.
    fn listed_versions(&self, now: TimePoint, site: &SiteIndex) -> BTreeMap<Name, ListedVersions> {
        let mut table = self.endpoints.table();
        let services = site.resumable_services().into_iter();
        services.map(|service| (Name::clone(service), table.listed_versions(now, service))).collect()
    }

    fn turn(&self, service: &Name) -> RecordTurn {
        if self.feed.is_listing() {
            return RecordTurn::unknown();
        }
        self.feed
            .with_topology(|topology| RecordTurn::new(topology.hosts().map(|record| &record.host), &self.host, service))
    }
}

impl TrackerState {
    /// Whether the list has shown all versions for the lifetime of origins.
    fn has_seen_lifetime(&self, now: TimePoint) -> bool {
        self.current_since.is_some_and(|since| now.since(since) >= OriginLedger::LIFETIME)
    }

    /// Records the age of the list, in milliseconds; `None` before the first one.
    fn observe_list(&mut self, now: TimePoint, age: Option<u64>) {
        if age.is_none_or(|age| age > MAX_LIST_GAP_MS) {
            self.current_since = None;
        } else if self.current_since.is_none() {
            self.current_since = Some(now);
            self.require_reading();
        }
    }

    /// Records the era of the store: one that was restored from an older copy may lack what the records held.
    fn observe_era(&mut self, era: u64) {
        if era != self.era {
            self.require_reading();
        }
    }

    fn require_reading(&mut self) {
        self.services.values_mut().for_each(|versions| versions.record.require_reading());
    }

    /// Whether a record has to be read. While the list is old, versions may still come and go unseen.
    fn needs_reading(&self) -> bool {
        self.current_since.is_some() && self.services.values().any(|versions| versions.record.needs_reading())
    }

    fn has_work(&self) -> bool {
        self.needs_reading() || self.services.values().any(|versions| versions.pending.is_some())
    }

    /// What has to be written now, by service.
    fn due(&self, now: TimePoint) -> impl Iterator<Item = (&Name, &BTreeSet<Name>)> {
        self.services.iter().filter_map(move |(service, versions)| {
            let (at, content) = versions.pending.as_ref()?;
            (*at <= now).then_some((service, content))
        })
    }
}

impl RecordedVersions {
    /// Updates what has to be written; only the first host in turn removes versions.
    ///
    /// `turn` ranks all hosts, which is only worth its cost where something has to be written.
    fn update_pending(
        &mut self,
        now: TimePoint,
        turn: impl Fn() -> RecordTurn,
        has_seen_lifetime: bool,
        recent: &BTreeSet<Name>,
    ) {
        let outdated = || has_seen_lifetime.then(|| self.record.outdated_content(recent)).flatten();
        let may_remove = |_content: &BTreeSet<Name>| turn().is_first();
        let content = self.record.missing_content(recent).or_else(|| outdated().filter(may_remove));
        let at = self.pending.as_ref().map(|(at, _)| *at);
        self.pending = content.map(|content| (at.unwrap_or_else(|| now + turn().pause(&mut rand::rng())), content));
    }

    /// Updates which versions are admitted; returns those that can serve and are not admitted any more.
    fn update_admitted(&mut self, serving: &BTreeSet<Name>) -> Vec<Name> {
        self.admitted = self.record.admitted(serving);
        let is_gated = |version: &&Name| self.admitted.as_ref().is_some_and(|admitted| !admitted.contains(*version));
        let gated: BTreeSet<Name> = serving.iter().filter(is_gated).cloned().collect();
        let added = gated.difference(&self.gated).cloned().collect();
        self.gated = gated;
        added
    }
}
