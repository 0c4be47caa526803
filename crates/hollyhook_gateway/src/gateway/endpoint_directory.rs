use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hollyhook_core::{
    AdvertisedTerms, AttemptFailure, EndpointId, EndpointRecord, EndpointState, EndpointTable, HolderLimits,
    LoadReport, Name, Result, RouteQuery, SiteIndex, SiteState, StopReason, TimePoint, ZoneName,
};
use hollyhook_kernel::{ServiceRegistry, TimerService};
use hollyhook_telemetry::MetricRecorder;

use crate::peer::FeedBoard;
use crate::pool::ConnectionPool;
use crate::sync::lock;

/// How much fuller, in requests a place, the own zone may be before another one pays. Another zone costs little time,
/// but what runs there is lost when the zones are cut from each other.
const ZONE_PREFERENCE: f64 = 0.25;
/// Hosts among which a rate limit is divided before they are listed.
const UNLISTED_HOSTS: usize = 16;

/// Why no endpoint takes a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointLack {
    pub(crate) reason: StopReason,
    /// How long it stays so, as far as that is known; zero if not.
    pub(crate) pause: Duration,
}

/// The endpoints that this host knows, with the connections to them and the counts of how attempts ended.
#[derive(Debug)]
pub(crate) struct EndpointDirectory {
    timer: Arc<TimerService>,
    pool: Arc<ConnectionPool>,
    recorder: Arc<MetricRecorder>,
    feed: Arc<FeedBoard>,
    site: Arc<Mutex<SiteState>>,
    table: Mutex<EndpointTable>,
    /// Until when it is known that nothing else changed; none before the first list.
    confirmed: Mutex<Option<TimePoint>>,
    /// Endpoints that went without having said that they leave, until they are asked for.
    lost: Mutex<Vec<EndpointId>>,
}

impl EndpointDirectory {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "endpoints";

    /// An empty directory for a host of that zone, of services that are registered; `site` names that of the
    /// configuration.
    ///
    /// # Errors
    ///
    /// `Internal` if one of them is not registered.
    pub(crate) fn new(registry: &ServiceRegistry, site: &str, zone: &ZoneName) -> Result<Self> {
        Ok(Self {
            timer: registry.find(TimerService::NAME)?,
            pool: registry.find(ConnectionPool::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            feed: registry.find(FeedBoard::NAME)?,
            site: registry.find(site)?,
            table: Mutex::new(EndpointTable::new(ZoneName::clone(zone)).zone_preference(ZONE_PREFERENCE)),
            confirmed: Mutex::default(),
            lost: Mutex::default(),
        })
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, EndpointTable> {
        lock(&self.table)
    }

    /// Notes until when it is known that nothing else changed.
    pub(crate) fn confirm(&self, at: TimePoint) {
        let mut confirmed = lock(&self.confirmed);
        *confirmed = (*confirmed).max(Some(at));
    }

    /// How old what this host knows of endpoints is, in milliseconds; none before the first list.
    pub(crate) fn known_ms(&self) -> Option<u64> {
        let confirmed = *lock(&self.confirmed);
        confirmed.map(|at| self.timer.now().since(at).as_millis() as u64)
    }

    pub(crate) fn upsert(&self, record: EndpointRecord) {
        let site = self.known_site();
        self.upsert_into(&mut self.table(), site.as_deref(), record);
    }

    fn known_site(&self) -> Option<Arc<SiteIndex>> {
        lock(&self.site).site()
    }

    fn upsert_into(&self, table: &mut EndpointTable, site: Option<&SiteIndex>, mut record: EndpointRecord) {
        // Its registration stays what it was, also if the store shows it again out of an older copy.
        if let Some(known) = table.get(&record.id) {
            record.registered = known.registered;
        }
        let is_known = |service: &str| site.is_some_and(|site| site.service(service).is_some());
        if table.is_displaced(&record, is_known) {
            return;
        }
        // Of a service that nobody knows, anybody may have written it.
        let displaced = if is_known(&record.service) { table.displaced_by(&record) } else { Vec::new() };
        for id in displaced {
            self.note_lost(table, &id);
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
                address = %record.address, state = ?record.state, "endpoint.state");
        }
        if record.state == EndpointState::Leaving {
            self.pool.close_idle(&record.id);
        }
    }

    /// Forgets what registered under a name; `reason` is for the log.
    pub(crate) fn forget_entry(&self, entry: &str, reason: &'static str) {
        let mut table = self.table();
        for id in table.registered_as(entry) {
            self.note_lost(&table, &id);
            table.remove(&id);
            self.pool.close_idle(&id);
            self.recorder.count("endpoints_gone");
            tracing::info!(endpoint = %id, reason, "endpoint.gone");
        }
    }

    fn note_lost(&self, table: &EndpointTable, id: &EndpointId) {
        if table.get(id).is_some_and(|record| record.state == EndpointState::Live) {
            lock(&self.lost).push(EndpointId::clone(id));
        }
    }

    /// The endpoints that went without having said that they leave, since this was asked last.
    pub(crate) fn take_lost(&self) -> Vec<EndpointId> {
        std::mem::take(&mut *lock(&self.lost))
    }

    /// Takes in when the endpoint started that answers in the place of `id`; tells whether that is a later start, which
    /// replaces this one.
    pub(crate) fn note_start(&self, id: &EndpointId, started: Option<u64>) -> bool {
        if started.is_none() {
            return false;
        }
        let site = self.known_site();
        // One lock for both steps: an endpoint that is forgotten in between must not be put back.
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

    /// Takes in that an endpoint says itself that it leaves; its entry may say so later, or be gone without a word.
    pub(crate) fn note_leaving(&self, id: &EndpointId) {
        if !self.table().mark_leaving(self.timer.now(), id) {
            return;
        }
        self.pool.close_idle(id);
        tracing::info!(endpoint = %id, known_ms = self.known_ms(), "endpoint.leaving");
    }

    /// Takes in on which terms an endpoint says that it takes requests.
    pub(crate) fn note_terms(&self, id: &EndpointId, terms: AdvertisedTerms) {
        if terms.is_leaving {
            self.note_leaving(id);
        }
        let now = self.timer.now();
        if let Some(rate) = terms.rate_limit {
            let hosts = self.feed.host_count().unwrap_or(UNLISTED_HOSTS);
            if self.table().terms_mut().set_rate_limit(now, id, rate, hosts, &mut rand::rng()) {
                tracing::info!(endpoint = %id, rate, hosts, "endpoint.rate_limit");
            }
        }
        if let Some(span) = terms.pause
            && self.table().terms_mut().extend_pause(now, id, span)
        {
            self.recorder.count("endpoint_pauses");
            tracing::info!(endpoint = %id, pause_ms = span.as_millis() as u64, "endpoint.pause");
        }
    }

    /// Takes in that an endpoint named no rate limit in its answer to a caller's request, sent at `sent_at`.
    ///
    /// Its answers to this host's own questions name none at any time, and must not end one.
    pub(crate) fn note_unlimited(&self, id: &EndpointId, sent_at: TimePoint) {
        if self.table().terms_mut().clear_rate_limit(id, sent_at) {
            tracing::info!(endpoint = %id, "endpoint.unlimited");
        }
    }

    /// The entry at which hosts note what all of them have to know; the same at all hosts that know the same endpoints.
    pub(crate) fn crash_record_entry(&self) -> Option<Name> {
        self.table().crash_record_entry()
    }

    /// Whether an endpoint of a service is known that takes work.
    pub(crate) fn has_live(&self, service: &str) -> bool {
        self.table().iter().any(|record| &*record.service == service && record.state == EndpointState::Live)
    }

    /// Chooses an endpoint by what this host knows, and counts a request as open there.
    pub(crate) fn open_any(&self, query: &RouteQuery<'_>) -> Option<EndpointRecord> {
        let now = self.timer.now();
        let mut table = self.table();
        let id = table.choose(now, query, &mut rand::rng())?;
        let record = table.get(&id).cloned()?;
        table.try_open(now, &id).then_some(record)
    }

    /// Why no endpoint is left for a request.
    pub(crate) fn lack(&self, query: &RouteQuery<'_>) -> EndpointLack {
        match self.table().shortest_pause(self.timer.now(), query) {
            Some(pause) => {
                self.recorder.count("requests_held_back");
                EndpointLack { reason: StopReason::Throttled, pause }
            }
            None => EndpointLack { reason: StopReason::NoEndpoint, pause: Duration::ZERO },
        }
    }

    /// Up to `most` endpoints worth asking for their load, in the order that all hosts share for `number`.
    pub(crate) fn shortlist(&self, query: &RouteQuery<'_>, number: u64, most: usize) -> Vec<EndpointRecord> {
        self.table().shortlist(self.timer.now(), query, number, most)
    }

    /// The endpoints that a prompt may have gone to.
    pub(crate) fn likely_holders(
        &self,
        query: &RouteQuery<'_>,
        number: u64,
        counts: HolderLimits,
    ) -> Vec<EndpointRecord> {
        self.table().likely_holders(self.timer.now(), query, number, counts)
    }

    /// Brings what is known of an endpoint up to date.
    pub(crate) fn refresh(&self, record: &mut EndpointRecord) {
        if let Some(known) = self.table().as_of(self.timer.now(), &record.id) {
            *record = known;
        }
    }

    /// Counts a request as open at an endpoint that was chosen from a shortlist, if that takes one now; tells whether it does.
    pub(crate) fn try_open(&self, id: &str) -> bool {
        self.table().try_open(self.timer.now(), id)
    }

    pub(crate) fn note_load(&self, id: &str, load: LoadReport) {
        self.table().update_load(id, load);
    }

    /// Takes in what became of an attempt.
    pub(crate) fn note_outcome(&self, id: &EndpointId, failure: Option<AttemptFailure>) {
        self.recorder.count(failure.map_or("attempts_succeeded", attempt_counter));
        let mut table = self.table();
        match failure {
            None => {
                table.record_success(id);
                table.record_answer(self.timer.now(), id, false);
            }
            Some(AttemptFailure::WrongIncarnation) => {
                table.remove(id);
                self.pool.close_idle(id);
            }
            Some(failure) if failure.is_loss() => {
                table.record_failure(self.timer.now(), id);
                tracing::info!(endpoint = %id, failure = failure.as_str(), "endpoint.ejected");
                self.pool.close_idle(id);
            }
            Some(AttemptFailure::Rejected | AttemptFailure::Failed | AttemptFailure::Garbled) => {
                table.record_answer(self.timer.now(), id, true);
            }
            Some(_) => {}
        }
    }
}

/// The counter of attempts that ended so.
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
