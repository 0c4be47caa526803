use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hollyhook_core::{
    AttemptFailure, EndpointId, EndpointRecord, EndpointState, EndpointTable, HomeCounts, LoadReport, Name,
    PlanAdoption, RequestKind, Result, RouteQuery, SiteIndex, SiteLedger, SitePlan, StopPhase, StopPlan, TimePoint,
    ZoneName,
};
use hollyhook_kernel::{ServiceRegistry, TimerService, WallClock};
use hollyhook_platform::ObjectKind;
use hollyhook_settings::GatewaySettings;
use hollyhook_telemetry::MetricBoard;

use super::live_settings::LiveSettings;
use super::request_load::RequestLoad;
use super::retry_budgets::RetryBudgets;
use crate::peer::FeedBoard;
use crate::pool::ConnectionPool;
use crate::store::StoreError;

/// How long watches may hear nothing of changes while the store drops its history, and what the way to it and back
/// may take; both shorten the time for which keys are honoured without confirmation.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(1_250);
/// How much fuller, in requests a place, the own zone may be before another one pays. Another zone costs little time,
/// but what runs there is lost when the zones are cut from each other.
const ZONE_PREFERENCE: f64 = 0.25;
/// How long after its start a process lets requests wait for what it has yet to read from the store; a start takes
/// about a tenth of a second on the smallest hosts, and callers come back in the moment in which hosts are back.
const START_WAIT: Duration = Duration::from_millis(600);
/// How often such a request looks.
const START_CHECK: Duration = Duration::from_millis(10);

/// What the parts of a gateway share, as the registry of services names it.
#[derive(Debug)]
pub(crate) struct GatewayContext {
    pub(crate) host: Name,
    pub(crate) zone: ZoneName,
    pub(crate) timer: Arc<TimerService>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) board: Arc<MetricBoard>,
    pub(crate) load: Arc<RequestLoad>,
    pub(crate) feed: Arc<FeedBoard>,
    live: Arc<Mutex<LiveSettings>>,
    site: Arc<Mutex<SiteLedger>>,
    endpoints: Arc<Mutex<EndpointTable>>,
    retries: Arc<RetryBudgets>,
    has_endpoints: AtomicBool,
    away: Mutex<HashMap<ObjectKind, bool>>,
}

impl GatewayContext {
    const SITE: &'static str = "site";
    const ENDPOINTS: &'static str = "endpoints";
    const SETTINGS: &'static str = "settings";

    /// Registers the services that the parts of a gateway find by name.
    ///
    /// # Errors
    ///
    /// `Conflict` if one is registered already.
    pub(crate) fn register(registry: &ServiceRegistry, settings: &GatewaySettings) -> Result<()> {
        let timer = registry.register(TimerService::NAME, TimerService::from(WallClock::start()))?;
        let table = EndpointTable::new(ZoneName::clone(&settings.zone)).zone_preference(ZONE_PREFERENCE);
        registry.register(ConnectionPool::NAME, ConnectionPool::new(TimerService::clone(&timer)))?;
        let feed = FeedBoard::new(Name::clone(&settings.host), ZoneName::clone(&settings.zone));
        registry.register(FeedBoard::NAME, feed)?;
        registry.register(MetricBoard::NAME, MetricBoard::default())?;
        registry.register(RequestLoad::NAME, RequestLoad::new(settings.memory_bytes))?;
        registry.register(Self::SETTINGS, Mutex::new(LiveSettings::from(settings)))?;
        registry.register(Self::SITE, Mutex::new(SiteLedger::default()))?;
        registry.register(Self::ENDPOINTS, Mutex::new(table))?;
        registry.register(RetryBudgets::NAME, RetryBudgets::new(settings.bounds.retry))?;
        Ok(())
    }

    /// Finds them.
    ///
    /// # Errors
    ///
    /// `Internal` if one is not registered.
    pub(crate) fn find(registry: &ServiceRegistry, settings: &GatewaySettings) -> Result<Self> {
        Ok(Self {
            host: Name::clone(&settings.host),
            zone: ZoneName::clone(&settings.zone),
            timer: registry.find(TimerService::NAME)?,
            pool: registry.find(ConnectionPool::NAME)?,
            board: registry.find(MetricBoard::NAME)?,
            load: registry.find(RequestLoad::NAME)?,
            feed: registry.find(FeedBoard::NAME)?,
            live: registry.find(Self::SETTINGS)?,
            site: registry.find(Self::SITE)?,
            endpoints: registry.find(Self::ENDPOINTS)?,
            retries: registry.find(RetryBudgets::NAME)?,
            has_endpoints: AtomicBool::new(false),
            away: Mutex::default(),
        })
    }

    pub(crate) fn phase(&self) -> StopPhase {
        let live = lock(&self.live);
        live.stop_ordered.map_or(StopPhase::Serving, |at| live.stop().phase(self.timer.now().since(at)))
    }

    /// The plan of a stop.
    pub(crate) fn stop(&self) -> StopPlan {
        lock(&self.live).stop()
    }

    /// How long a leaving endpoint may get new work.
    pub(crate) fn drain_bound(&self) -> Duration {
        lock(&self.live).bounds.drain
    }

    /// Where the platform's store is.
    pub(crate) fn store_address(&self) -> SocketAddr {
        lock(&self.live).store
    }

    /// Takes in settings that changed while the process runs.
    pub(crate) fn reload(&self, settings: &GatewaySettings) {
        let mut live = lock(&self.live);
        self.retries.rebound(settings.bounds.retry);
        live.bounds = settings.bounds.clone();
        live.store = settings.store;
    }

    /// Whether a request whose caller waits for `patience` is still begun.
    pub(crate) fn is_taking(&self, kind: RequestKind, patience: Duration) -> bool {
        let live = lock(&self.live);
        let passed = live.stop_ordered.map(|at| self.timer.now().since(at));
        passed.is_none_or(|passed| live.stop().is_taking(kind, patience, passed))
    }

    /// Waits for the first configuration and list of endpoints of a process that has just started.
    pub(crate) async fn wait_for_start(&self) {
        let limit = TimePoint::ZERO + START_WAIT;
        while self.timer.now() < limit && !(self.site().is_some() && self.has_endpoints.load(Ordering::Relaxed)) {
            self.timer.wait(START_CHECK).await;
        }
    }

    /// Begins the stop.
    pub(crate) fn order_stop(&self) {
        lock(&self.live).stop_ordered.get_or_insert(self.timer.now());
    }

    /// The configuration in force.
    pub(crate) fn site(&self) -> Option<Arc<SiteIndex>> {
        lock(&self.site).site()
    }

    /// How long ago the configuration in force was last known to be the newest.
    pub(crate) fn site_age(&self) -> Option<Duration> {
        let confirmed = lock(&self.site).confirmed()?;
        Some(self.timer.now().since(confirmed))
    }

    /// Whether no key can have been taken away for longer than keys may outlive it.
    pub(crate) fn is_site_current(&self) -> bool {
        let bound = lock(&self.live).bounds.revoke.saturating_sub(CONFIRMATION_MARGIN);
        lock(&self.site).is_current(self.timer.now(), bound)
    }

    pub(crate) fn adopt_site(&self, plan: SitePlan, read_at: TimePoint) -> PlanAdoption {
        lock(&self.site).adopt(plan, read_at)
    }

    pub(crate) fn confirm_site(&self, at: TimePoint) {
        lock(&self.site).confirm(at);
    }

    /// Whether callers are wanted.
    pub(crate) fn is_ready(&self) -> bool {
        let is_serving = self.phase() == StopPhase::Serving;
        is_serving && self.has_endpoints.load(Ordering::Relaxed) && self.is_site_current()
    }

    pub(crate) fn note_endpoints_listed(&self) {
        self.has_endpoints.store(true, Ordering::Relaxed);
    }

    /// Logs a change between a store that answers and one that does not.
    pub(crate) fn note_store(&self, kind: ObjectKind, error: Option<&StoreError>) {
        let is_away = error.is_some_and(|error| !matches!(error, StoreError::HistoryGone));
        if is_away {
            self.board.count("store_calls_failed");
        }
        let was_away = lock(&self.away).insert(kind, is_away).unwrap_or(false);
        match error {
            Some(error) if is_away && !was_away => tracing::warn!(kind = kind.as_str(), %error, "store.lost"),
            None if was_away => tracing::info!(kind = kind.as_str(), "store.regained"),
            _ => {}
        }
    }

    pub(crate) fn endpoints(&self) -> MutexGuard<'_, EndpointTable> {
        lock(&self.endpoints)
    }

    pub(crate) fn upsert_endpoint(&self, record: EndpointRecord) {
        let site = self.site();
        let is_known = |service: &str| site.as_ref().is_some_and(|site| site.service(service).is_some());
        let mut table = self.endpoints();
        if table.is_displaced(&record, is_known) {
            return;
        }
        // Of a service that nobody knows, anybody may have written it.
        let displaced = if is_known(&record.service) { table.displaced_by(&record) } else { Vec::new() };
        for id in displaced {
            table.remove(&id);
            self.pool.forget(&id);
            tracing::info!(endpoint = %id, by = %record.id, address = %record.address, "endpoint.displaced");
        }
        let known = table.get(&record.id).map(|known| known.state);
        if known.is_none() {
            self.board.count("endpoints_started");
        }
        if known != Some(record.state) {
            tracing::info!(endpoint = %record.id, service = %record.service, zone = %record.zone,
                address = %record.address, state = ?record.state, "endpoint.state");
        }
        if record.state == EndpointState::Leaving {
            self.pool.forget(&record.id);
        }
        table.upsert(record);
    }

    /// Forgets what registered under a name.
    pub(crate) fn forget_entry(&self, entry: &str) {
        let mut table = self.endpoints();
        for id in table.registered_as(entry) {
            table.remove(&id);
            self.pool.forget(&id);
            tracing::info!(endpoint = %id, "endpoint.gone");
        }
    }

    /// Takes in when the endpoint started that answers in the place of `id`; tells whether that is a later start, which
    /// replaces this one.
    pub(crate) fn note_start(&self, id: &EndpointId, started: Option<u64>) -> bool {
        let known = self.endpoints().get(id).cloned();
        let Some(known) = known.filter(|known| known.started.is_some() && known.started < started) else {
            return false;
        };
        let id = hollyhook_platform::endpoint_id(&known.entry, started);
        let mut record =
            EndpointRecord::new(id, known.service, known.zone, known.address).capacity(known.load.capacity);
        record = record.start_of(known.entry, started);
        record.registered = known.registered;
        record.state = known.state;
        self.upsert_endpoint(record);
        true
    }

    /// Chooses an endpoint by what this host knows.
    pub(crate) fn choose(&self, query: &RouteQuery<'_>) -> Option<EndpointRecord> {
        let table = self.endpoints();
        let id = table.choose(self.timer.now(), query, &mut rand::rng())?;
        table.get(&id).cloned()
    }

    /// Up to `most` endpoints worth asking for their load, in the order that all hosts share for `number`.
    pub(crate) fn shortlist(&self, query: &RouteQuery<'_>, number: u64, most: usize) -> Vec<EndpointRecord> {
        self.endpoints().shortlist(self.timer.now(), query, number, most)
    }

    /// The endpoints that a prompt may have gone to.
    pub(crate) fn homes(&self, query: &RouteQuery<'_>, number: u64, counts: HomeCounts) -> Vec<EndpointRecord> {
        self.endpoints().homes(self.timer.now(), query, number, counts)
    }

    /// Brings what is known of an endpoint up to date.
    pub(crate) fn refresh(&self, record: &mut EndpointRecord) {
        if let Some(known) = self.endpoints().as_of(self.timer.now(), &record.id) {
            *record = known;
        }
    }

    /// Counts a request as open at an endpoint that was chosen from a shortlist.
    pub(crate) fn count_open(&self, id: &str) {
        self.endpoints().opened(self.timer.now(), id);
    }

    pub(crate) fn note_load(&self, id: &str, load: LoadReport) {
        self.endpoints().report(id, load);
    }

    /// Takes in what became of an attempt.
    pub(crate) fn note_outcome(&self, id: &EndpointId, failure: Option<AttemptFailure>) {
        self.board.count(failure.map_or("attempts_succeeded", attempt_counter));
        let mut table = self.endpoints();
        match failure {
            None => {
                table.succeeded(id);
                table.answered(id, false);
            }
            Some(AttemptFailure::WrongIncarnation) => {
                table.remove(id);
                self.pool.forget(id);
            }
            Some(failure) if failure.is_loss() => {
                table.failed(self.timer.now(), id);
                tracing::info!(endpoint = %id, failure = failure.as_str(), "endpoint.ejected");
                self.pool.forget(id);
            }
            Some(AttemptFailure::Rejected | AttemptFailure::Failed | AttemptFailure::Garbled) => {
                table.answered(id, true);
            }
            Some(_) => {}
        }
    }

    pub(crate) fn count_first_send(&self, service: &Name) {
        self.retries.earn(service, self.timer.now());
    }

    pub(crate) fn try_retry(&self, service: &Name) -> bool {
        self.retries.try_spend(service, self.timer.now())
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
