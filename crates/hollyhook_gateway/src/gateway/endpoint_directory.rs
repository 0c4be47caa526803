use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hollyhook_core::{
    AdvertisedTerms, AttemptFailure, EndpointGroup, EndpointId, EndpointRecord, EndpointState, EndpointTable,
    EngineReport, EngineSpeed, HolderLimits, HostPosition, LoadReport, Name, PaceChange, PromptRead, ReportCache,
    Result, RouteQuery, SiteIndex, SiteState, StopReason, TimePoint, ZoneName,
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

/// Why no endpoint accepts a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoutingFailure {
    pub(crate) reason: StopReason,
    /// How long this is expected to last; zero if not known.
    pub(crate) pause: Duration,
    /// Whether the request waits for room at endpoints that must not have to reject it.
    pub(crate) awaits_room: bool,
}

/// The endpoints that this host knows.
///
/// Also closes the pooled connections of endpoints that are gone, and counts the outcomes of attempts.
#[derive(Debug)]
pub(crate) struct EndpointDirectory {
    timer: Arc<TimerService>,
    pool: Arc<ConnectionPool>,
    recorder: Arc<MetricRecorder>,
    feed: Arc<FeedState>,
    paths: Arc<PathTracker>,
    demand: Arc<DemandTracker>,
    site: Arc<Mutex<SiteState>>,
    table: Mutex<EndpointTable>,
    reports: Mutex<ReportCache>,
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

    /// Applies the terms that an endpoint advertised in an answer.
    pub(crate) fn apply_terms(&self, id: &EndpointId, terms: AdvertisedTerms) {
        if terms.is_leaving {
            self.record_leaving(id);
        }
        let now = self.timer.now();
        let hosts = self.feed.host_count().unwrap_or(HostPosition::UNLISTED_COUNT);
        if let Some(rate) = terms.rate_limit
            && self.table().terms_mut().set_rate_limit(now, id, rate, hosts, &mut rand::rng())
        {
            tracing::info!(endpoint = %id, rate, hosts, "endpoint.rate_limit");
        }
        if let Some(limit) = terms.brittle_limit
            && self.table().terms_mut().set_brittle(now, id, limit, hosts, &mut rand::rng())
        {
            tracing::info!(endpoint = %id, limit, hosts, "endpoint.brittle");
        }
        if terms.rate_limit.is_some() || terms.brittle_limit.is_some() {
            self.table().apply_share(now, id);
        }
        if let Some(span) = terms.pause
            && self.table().terms_mut().extend_pause(now, id, span)
        {
            self.recorder.count("endpoint_pauses");
            tracing::info!(endpoint = %id, pause_ms = span.as_millis() as u64, "endpoint.pause");
        }
    }

    /// Ends the terms that the answer of an endpoint to a caller's request, sent at `sent_at`, no longer advertises.
    ///
    /// Answers to this host's own probes never advertise them, and must not end any.
    pub(crate) fn end_terms(&self, id: &EndpointId, terms: AdvertisedTerms, sent_at: TimePoint) {
        if terms.rate_limit.is_none() && self.table().terms_mut().clear_rate_limit(id, sent_at) {
            tracing::info!(endpoint = %id, "endpoint.unlimited");
        }
        if terms.brittle_limit.is_none() && self.table().terms_mut().clear_brittle(id, sent_at) {
            tracing::info!(endpoint = %id, "endpoint.robust");
        }
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

    /// Chooses an endpoint without probing any, and counts a request as open there; `None` if no endpoint accepts it.
    pub(crate) fn open_any(&self, query: &RouteQuery<'_>) -> Option<EndpointRecord> {
        let now = self.timer.now();
        let mut table = self.table();
        let id = table.choose(now, query, &mut rand::rng())?;
        let record = table.get(&id).cloned()?;
        table.try_open(now, &id, query.slot_count()).then_some(record)
    }

    /// Why no endpoint accepts a request.
    ///
    /// The reason is `Throttled` if all endpoints for the request are paused or have reached their rate limit.
    pub(crate) fn routing_failure(&self, query: &RouteQuery<'_>) -> RoutingFailure {
        let now = self.timer.now();
        let mut table = self.table();
        match table.shortest_pause(now, query) {
            Some(pause) => {
                self.recorder.count("requests_held_back");
                let awaits_room = table.record_pressure(now, query.service_name());
                if pause.is_zero() {
                    self.recorder.count("requests_held_back_by_share");
                    table.record_shortage(now, query.service_name(), awaits_room);
                }
                let awaits_room = awaits_room || table.awaits_lease(now, query.service_name());
                RoutingFailure { reason: StopReason::Throttled, pause, awaits_room }
            }
            None => RoutingFailure { reason: StopReason::NoEndpoint, pause: Duration::ZERO, awaits_room: false },
        }
    }

    /// Up to `limit` endpoints worth probing for their load, in the rendezvous order that all hosts share for `key`.
    pub(crate) fn shortlist(&self, query: &RouteQuery<'_>, key: u64, limit: usize) -> Vec<EndpointRecord> {
        self.table().shortlist(self.timer.now(), query, key, limit)
    }

    /// The endpoints that may hold the prompt with this rendezvous key.
    pub(crate) fn likely_holders(&self, query: &RouteQuery<'_>, key: u64, limits: HolderLimits) -> Vec<EndpointRecord> {
        self.table().likely_holders(self.timer.now(), query, key, limits)
    }

    /// Brings a copied record up to date, unless its endpoint is no longer known.
    pub(crate) fn refresh(&self, record: &mut EndpointRecord) {
        if let Some(known) = self.table().as_of(self.timer.now(), &record.id) {
            *record = known;
        }
    }

    /// Counts a request as open at an endpoint if the endpoint accepts one now, and returns whether it does.
    pub(crate) fn try_open(&self, id: &str, slots: Option<u32>) -> bool {
        self.table().try_open(self.timer.now(), id, slots)
    }

    /// Stores the load report of an endpoint.
    pub(crate) fn record_load(&self, id: &str, load: LoadReport) {
        let used = f64::from(load.running + load.waiting) / f64::from(load.capacity.max(1));
        let now = self.timer.now();
        let mut table = self.table();
        self.demand.record_load(table.get(id), load);
        let change = table.record_load(now, id, load);
        table.update_room(now, id, 1.0 - used);
        drop(table);
        self.record_pace_change(id, change);
    }

    /// Records how long a call took, with the load report of its response.
    pub(crate) fn record_call_time(&self, id: &str, took: Duration, load: Option<LoadReport>) {
        let change = self.table().record_call_time(self.timer.now(), id, took, load);
        self.record_pace_change(id, change);
    }

    /// Records the mean time between some events of a stream.
    pub(crate) fn record_event_time(&self, id: &str, gap: Duration) {
        let change = self.table().record_event_time(self.timer.now(), id, gap);
        self.record_pace_change(id, change);
    }

    /// Records when the first event of a generation arrived.
    pub(crate) fn record_read(&self, id: &str, read: PromptRead) {
        let change = self.table().record_read(self.timer.now(), id, read);
        self.record_pace_change(id, change);
    }

    /// Records the time from the first to the last event of a stream.
    pub(crate) fn record_run(&self, id: &str, took: Duration) {
        self.table().record_run(self.timer.now(), id, took);
    }

    /// Records the time of a round trip to the endpoints of a zone.
    pub(crate) fn record_network_time(&self, zone: &ZoneName, took: Duration) {
        self.table().record_network_time(zone, took);
    }

    /// How fast an engine is expected to serve a generation.
    pub(crate) fn engine_speed(&self, id: &str) -> EngineSpeed {
        self.table().engine_speed(self.timer.now(), id)
    }

    /// The time limit of an attempt at an idempotent call; `None` if the endpoints of its service are not known to
    /// differ in pace.
    pub(crate) fn attempt_limit(&self, id: &str, objective: Duration) -> Option<Duration> {
        self.table().attempt_limit(self.timer.now(), id, objective)
    }

    fn record_pace_change(&self, id: &str, change: Option<PaceChange>) {
        let Some(change) = change else {
            return;
        };
        let PaceChange { pace, samples, reported_percent, .. } = change;
        if change.is_slow {
            self.recorder.count("endpoints_found_slow");
            tracing::info!(endpoint = %id, pace, samples, reported_percent, "endpoint.slow");
        } else {
            tracing::info!(endpoint = %id, pace, samples, reported_percent, "endpoint.usual_pace");
        }
    }

    /// Forgets the failures of a group's endpoints, which the loss of the path to them explains.
    pub(crate) fn forgive_failures(&self, group: &EndpointGroup) {
        self.table().forgive_failures(group);
    }

    /// Stores how much room an engine's report shows.
    pub(crate) fn record_report(&self, id: &str, report: &EngineReport) {
        let concurrent = report.running() + report.reading;
        let free_share = if report.waiting > 0 { 0.0 } else { report.free_memory_share() };
        let mut table = self.table();
        table.update_room(self.timer.now(), id, free_share);
        table.record_concurrent(id, concurrent);
        drop(table);
        // An engine that leaves gets no requests.
        if !report.is_leaving {
            lock(&self.reports).insert(self.timer.now(), id.into(), report.clone());
        }
    }

    /// The report that an engine sent so recently that it need not be probed again.
    pub(crate) fn recent_report(&self, id: &str) -> Option<EngineReport> {
        lock(&self.reports).recent(self.timer.now(), id).cloned()
    }

    /// Records that an endpoint sent nothing in time: it may have paused, or the path to it may be dead.
    pub(crate) fn record_silence(&self, id: &EndpointId) {
        self.pool.close_idle(id);
        let mut table = self.table();
        let group = table.get(id).map(EndpointGroup::from);
        if group.is_some_and(|group| self.paths.explains_silence(&group)) {
            return;
        }
        if table.record_silence(self.timer.now(), id) {
            self.recorder.count("endpoints_found_silent");
            tracing::info!(endpoint = %id, "endpoint.silent");
        }
    }

    /// Records that a run at an endpoint makes no progress although the endpoint answers.
    pub(crate) fn record_stall(&self, id: &EndpointId) {
        if self.table().record_stall(self.timer.now(), id) {
            self.recorder.count("endpoints_found_stalled");
            tracing::info!(endpoint = %id, "endpoint.stalled");
        }
    }

    /// Records that an endpoint answered, which ends its silence.
    pub(crate) fn record_heard(&self, id: &EndpointId) {
        let is_over = self.table().record_heard(self.timer.now(), id);
        self.log_heard_again(id, is_over);
    }

    /// Records that an endpoint sent an event of a stream, which ends its silence or stall.
    pub(crate) fn record_event(&self, id: &EndpointId) {
        let is_over = self.table().record_event(self.timer.now(), id);
        self.log_heard_again(id, is_over);
    }

    fn log_heard_again(&self, id: &EndpointId, is_over: bool) {
        if is_over {
            self.recorder.count("endpoints_heard_again");
            tracing::info!(endpoint = %id, "endpoint.heard_again");
        }
    }

    /// Whether an endpoint was heard so recently that it is known to be alive.
    pub(crate) fn is_alive(&self, id: &EndpointId) -> bool {
        self.table().is_alive(self.timer.now(), id)
    }

    /// Whether an endpoint was found silent a moment ago and has not been heard since.
    pub(crate) fn has_just_missed_probe(&self, id: &EndpointId) -> bool {
        self.table().is_just_silent(self.timer.now(), id)
    }

    /// Whether an endpoint has been found silent or stalled, and this has not ended.
    pub(crate) fn is_silent(&self, id: &EndpointId) -> bool {
        self.table().is_silent(id)
    }

    /// Whether an endpoint is known. Its entry is removed after some seconds if its process has ended.
    pub(crate) fn is_known(&self, id: &EndpointId) -> bool {
        self.table().get(id).is_some()
    }

    /// Whether most endpoints of a service that this host has heard recently are silent now.
    pub(crate) fn is_silence_widespread(&self, service: &str) -> bool {
        self.table().is_silence_widespread(self.timer.now(), service)
    }

    /// Records the outcome of an attempt at an endpoint; `failure` is `None` if the attempt succeeded.
    pub(crate) fn record_outcome(&self, id: &EndpointId, failure: Option<AttemptFailure>) {
        self.recorder.count(failure.map_or("attempts_succeeded", attempt_counter));
        let mut table = self.table();
        self.demand.record_outcome(table.get(id), failure);
        match failure {
            None => {
                table.record_success(id);
                table.record_answer(self.timer.now(), id, false);
            }
            Some(AttemptFailure::WrongIncarnation) => {
                table.remove(id);
                self.pool.close_idle(id);
            }
            // Recorded when the endpoint was found silent; it may have been heard again since.
            Some(AttemptFailure::Silent) => {}
            Some(failure) if failure.is_loss() => {
                self.pool.close_idle(id);
                let group = table.get(id).map(EndpointGroup::from);
                if group.is_some_and(|group| self.paths.explains_failure(&group)) {
                    return;
                }
                table.record_failure(self.timer.now(), id);
                tracing::info!(endpoint = %id, failure = failure.as_str(), "endpoint.ejected");
            }
            Some(failure @ (AttemptFailure::Rejected | AttemptFailure::Failed | AttemptFailure::Garbled)) => {
                let now = self.timer.now();
                if failure == AttemptFailure::Rejected && table.terms_mut().record_rejection(now, id) {
                    self.recorder.count("rejected_by_brittle");
                }
                table.record_answer(self.timer.now(), id, true);
            }
            Some(_) => {}
        }
    }
}

/// The name of the metric that counts attempts with this failure.
fn attempt_counter(failure: AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::NotConnected => "attempts_not_connected",
        AttemptFailure::Rejected => "attempts_rejected",
        AttemptFailure::WrongIncarnation => "attempts_wrong_incarnation",
        AttemptFailure::Broken => "attempts_broken",
        AttemptFailure::Silent => "attempts_silent",
        AttemptFailure::Expired => "attempts_expired",
        AttemptFailure::Garbled => "attempts_garbled",
        AttemptFailure::Failed => "attempts_failed",
    }
}
