use std::sync::{Arc, Mutex, MutexGuard};

use hollyhook_core::{
    EndpointId, EndpointRecord, EndpointState, EndpointTable, Name, ReportCache, Result, SiteIndex, SiteState,
    TimePoint, ZoneName,
};
use hollyhook_kernel::{ServiceRegistry, TimerService};
use hollyhook_telemetry::MetricRecorder;

use crate::demand::DemandTracker;
use crate::path::PathTracker;
use crate::peer::FeedState;
use crate::pool::ConnectionPool;
use crate::sync::lock;

/// By how much the load in the own zone may exceed that of other zones, in requests per slot, before requests are sent
/// to another zone. Another zone adds little latency, but requests that run in another zone are lost when the zones are
/// partitioned.
const ZONE_PREFERENCE: f64 = 0.25;

/// The endpoints that this host knows.
///
/// Also closes the pooled connections of endpoints that are gone, and counts the outcomes of attempts.
#[derive(Debug)]
pub(crate) struct EndpointDirectory {
    pub(super) timer: Arc<TimerService>,
    pub(super) pool: Arc<ConnectionPool>,
    pub(super) recorder: Arc<MetricRecorder>,
    pub(super) feed: Arc<FeedState>,
    pub(super) paths: Arc<PathTracker>,
    pub(super) demand: Arc<DemandTracker>,
    site: Arc<Mutex<SiteState>>,
    table: Mutex<EndpointTable>,
    pub(super) reports: Mutex<ReportCache>,
    /// Time until which the table is known to hold all changes; `None` before the first list.
    confirmed: Mutex<Option<TimePoint>>,
    /// Endpoints that are gone without having announced that they leave, until [`take_lost`](Self::take_lost) returns
    /// them.
    lost: Mutex<Vec<EndpointId>>,
}

impl EndpointDirectory {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "endpoints";

    /// An empty directory for a host of an availability zone; `site` names the registered service that holds the
    /// configuration.
    ///
    /// # Errors
    ///
    /// `Internal` if a service that the directory uses is not registered.
    pub(crate) fn new(registry: &ServiceRegistry, site: &str, zone: &ZoneName) -> Result<Self> {
        Ok(Self {
            timer: registry.find(TimerService::NAME)?,
            pool: registry.find(ConnectionPool::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            feed: registry.find(FeedState::NAME)?,
            paths: registry.find(PathTracker::NAME)?,
            demand: registry.find(DemandTracker::NAME)?,
            site: registry.find(site)?,
            table: Mutex::new(
                EndpointTable::new(ZoneName::clone(zone)).zone_preference(ZONE_PREFERENCE).measured_paces(false),
            ),
            reports: Mutex::default(),
            confirmed: Mutex::default(),
            lost: Mutex::default(),
        })
    }

    /// The table of endpoints, locked.
    pub(crate) fn table(&self) -> MutexGuard<'_, EndpointTable> {
        lock(&self.table)
    }

    /// Records that the table holds all changes until `at`.
    pub(crate) fn confirm(&self, at: TimePoint) {
        let mut confirmed = lock(&self.confirmed);
        *confirmed = (*confirmed).max(Some(at));
    }

    /// The age of this host's endpoint list in milliseconds; `None` before the first list.
    pub(crate) fn known_ms(&self) -> Option<u64> {
        let confirmed = *lock(&self.confirmed);
        confirmed.map(|at| self.timer.now().since(at).as_millis() as u64)
    }

    /// Adds or updates an endpoint, and removes the endpoints that its registration displaces.
    pub(crate) fn upsert(&self, record: EndpointRecord) {
        let site = self.known_site();
        self.upsert_into(&mut self.table(), site.as_deref(), record);
    }

    fn known_site(&self) -> Option<Arc<SiteIndex>> {
        lock(&self.site).site()
    }

    fn upsert_into(&self, table: &mut EndpointTable, site: Option<&SiteIndex>, mut record: EndpointRecord) {
        // A known endpoint keeps the revision at which it registered, even if the store is restored from an older copy.
        if let Some(known) = table.get(&record.id) {
            record.registered = known.registered;
        }
        let is_known = |service: &str| site.is_some_and(|site| site.service(service).is_some());
        if table.is_displaced(&record, is_known) {
            return;
        }
        // A registration for an unknown service displaces no endpoint, since anyone may have written it.
        let displaced = if is_known(&record.service) { table.displaced_by(&record) } else { Vec::new() };
        for id in displaced {
            self.record_lost(table, &id);
            table.remove(&id);
            self.pool.close_idle(&id);
            tracing::info!(endpoint = %id, by = %record.id, address = %record.address, "endpoint.displaced");
        }
        let known = table.get(&record.id).map(|known| known.state);
        if known.is_none() {
            self.recorder.count("endpoints_started");
        }
        let record = table.upsert(record);
        if known != Some(record.state) {
            tracing::info!(endpoint = %record.id, service = %record.service, zone = %record.zone,
                address = %record.address, version = %record.version, state = ?record.state, "endpoint.state");
        }
        if record.state == EndpointState::Leaving {
            self.pool.close_idle(&record.id);
        }
    }

    /// Removes the endpoints that registered under an entry name; `reason` is logged.
    pub(crate) fn remove_entry(&self, entry: &str, reason: &'static str) {
        let mut table = self.table();
        for id in table.registered_as(entry) {
            self.record_lost(&table, &id);
            table.remove(&id);
            self.pool.close_idle(&id);
            self.recorder.count("endpoints_gone");
            tracing::info!(endpoint = %id, reason, "endpoint.gone");
        }
    }

    /// Remembers an endpoint that is about to be removed, if it is live and so did not announce that it leaves.
    fn record_lost(&self, table: &EndpointTable, id: &EndpointId) {
        if table.get(id).is_some_and(|record| record.state == EndpointState::Live) {
            lock(&self.lost).push(EndpointId::clone(id));
        }
    }

    /// Takes the endpoints that have gone since the last call without having announced that they leave.
    pub(crate) fn take_lost(&self) -> Vec<EndpointId> {
        std::mem::take(&mut *lock(&self.lost))
    }

    /// Records when the endpoint started that answered a probe of `id`, and returns whether `id` has restarted.
    ///
    /// The later incarnation then replaces the known one.
    pub(crate) fn record_restart(&self, id: &EndpointId, started: Option<u64>) -> bool {
        if started.is_none() {
            return false;
        }
        let site = self.known_site();
        // Locked for the look-up and the update together, so that an endpoint removed in between is not added again.
        let mut table = self.table();
        let known = table.get(id).cloned();
        let Some(known) = known.filter(|known| known.started.is_some() && known.started < started) else {
            return false;
        };
        let id = hollyhook_platform::endpoint_id(&known.entry, started);
        let mut record =
            EndpointRecord::new(id, known.service, known.zone, known.address).capacity(known.load.capacity);
        record = record.version(known.version).incarnation_of(known.entry, started);
        record.registered = known.registered;
        record.state = known.state;
        self.upsert_into(&mut table, site.as_deref(), record);
        true
    }

    /// Records that an endpoint itself announced that it is leaving.
    ///
    /// Its entry in the store may be updated later, or be removed without having been updated.
    pub(crate) fn record_leaving(&self, id: &EndpointId) {
        if !self.table().mark_leaving(self.timer.now(), id) {
            return;
        }
        self.pool.close_idle(id);
        tracing::info!(endpoint = %id, known_ms = self.known_ms(), "endpoint.leaving");
    }

    /// The store entry in which hosts share crash records, the same at all hosts that know the same live endpoints.
    pub(crate) fn crash_record_entry(&self) -> Option<Name> {
        self.table().crash_record_entry()
    }

    /// Whether the endpoints of a service are engines, as the configuration describes them.
    pub(crate) fn has_engines(&self, service: &str) -> bool {
        self.known_site().is_some_and(|site| site.service(service).is_some_and(|known| known.engine.is_some()))
    }

    /// Whether a live endpoint of a service is known.
    pub(crate) fn has_live(&self, service: &str) -> bool {
        self.table().iter().any(|record| &*record.service == service && record.state == EndpointState::Live)
    }

    /// Brings a copied record up to date, unless its endpoint is no longer known.
    pub(crate) fn refresh(&self, record: &mut EndpointRecord) {
        if let Some(known) = self.table().as_of(self.timer.now(), &record.id) {
            *record = known;
        }
    }

    /// Whether an endpoint is known. Its entry is removed after some seconds if its process has ended.
    pub(crate) fn is_known(&self, id: &EndpointId) -> bool {
        self.table().get(id).is_some()
    }
}
