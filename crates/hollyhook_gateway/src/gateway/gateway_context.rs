use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollyhook_core::{
    ConfigAdoption, EndpointId, FeedTiming, HostReadiness, MigrationGate, Name, ReadinessWait, RequestKind, Result,
    SiteConfig, SiteIndex, SiteState, StopPhase, StopPlan, TimePoint, ZoneName,
};
use hollyhook_kernel::{ServiceRegistry, SystemClock, TimerService};
use hollyhook_settings::GatewaySettings;
use hollyhook_telemetry::MetricRecorder;

use super::EndpointDirectory;
use super::live_settings::LiveSettings;
use super::quarantine_tracker::QuarantineTracker;
use super::read_gate::ReadGate;
use super::request_load::RequestLoad;
use super::retry_budgets::RetryBudgets;
use super::rollout_tracker::RolloutTracker;
use crate::demand::DemandTracker;
use crate::lease::LeaseState;
use crate::net::UsageMeter;
use crate::origin::{EvidenceReader, OriginTracker, SnapshotTracker, VersionTracker};
use crate::path::{EndpointConnector, PathTracker};
use crate::peer::FeedState;
use crate::pool::ConnectionPool;
use crate::quarantine::{CrashChecks, SpreadQueue};
use crate::queue::ServiceQueues;
use crate::quota::BorrowState;
use crate::sync::lock;

/// Subtracted from the time for which API keys are accepted without confirmation. Covers how long watches may miss
/// changes while the store compacts its history, and the round trip to the store.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(1_250);
/// How long after the start of the process a request may wait for the configuration and the endpoints to be read from
/// the store. Reading both takes about a tenth of a second on the smallest hosts, and callers reconnect as soon as
/// hosts are up again.
const START_WAIT: Duration = Duration::from_millis(600);
/// How often a waiting request checks whether the configuration and the endpoints have been read, and a waiting task
/// whether the other hosts have been listed.
const START_CHECK: Duration = Duration::from_millis(10);

/// How long after its start a process waits for the other hosts to be listed before it watches the store. Hosts that
/// start together write their entries within 0.4 s of each other, and read them half a second later. Changes in the
/// meantime are received that much later, well within the bounds of any site.
const LISTING_WAIT: Duration = Duration::from_millis(1_200);
/// How long after its start a process waits for the other hosts to be listed before it reads the rest of a first list
/// of many pages; it already serves callers with the first page. Where hundreds of hosts start at once, the store's
/// link takes some seconds to send the list of hosts to all of them.
const FIRST_LIST_WAIT: Duration = Duration::from_secs(3);
/// How often the task that reads the first list of endpoints checks whether the configuration and the roll-out orders
/// have been read. Short, since callers wait for that list, and the three are read at the same time.
const SITE_CHECK: Duration = Duration::from_millis(2);

/// The state and services that the parts of a gateway share.
#[derive(Debug)]
pub(crate) struct GatewayContext {
    pub(crate) host: Name,
    pub(crate) zone: ZoneName,
    pub(crate) timer: Arc<TimerService>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) meter: Arc<UsageMeter>,
    pub(crate) read_gate: Arc<ReadGate>,
    pub(crate) recorder: Arc<MetricRecorder>,
    pub(crate) load: Arc<RequestLoad>,
    pub(crate) feed: Arc<FeedState>,
    pub(crate) paths: Arc<PathTracker>,
    pub(crate) endpoints: Arc<EndpointDirectory>,
    pub(crate) connector: Arc<EndpointConnector>,
    pub(crate) quarantine: Arc<QuarantineTracker>,
    pub(crate) crash_checks: Arc<CrashChecks>,
    pub(crate) crash_spread: Arc<SpreadQueue>,
    pub(crate) borrowing: Arc<BorrowState>,
    pub(crate) leasing: Arc<LeaseState>,
    pub(crate) rollouts: Arc<RolloutTracker>,
    pub(crate) versions: Arc<VersionTracker>,
    pub(crate) origins: Arc<OriginTracker>,
    pub(crate) snapshots: Arc<SnapshotTracker>,
    pub(crate) evidence: Arc<EvidenceReader>,
    pub(crate) demand: Arc<DemandTracker>,
    pub(crate) queues: Arc<ServiceQueues>,
    live: Arc<Mutex<LiveSettings>>,
    site: Arc<Mutex<SiteState>>,
    retries: Arc<RetryBudgets>,
    migrations: Arc<Mutex<MigrationGate>>,
    has_endpoints: AtomicBool,
}

impl GatewayContext {
    const SITE: &'static str = "site";
    const SETTINGS: &'static str = "settings";
    const MIGRATIONS: &'static str = "migrations";

    /// Registers the services that the parts of a gateway share.
    ///
    /// # Errors
    ///
    /// `Conflict` if one of the services is registered already.
    pub(crate) fn register(registry: &ServiceRegistry, settings: &GatewaySettings) -> Result<()> {
        let timer = registry.register(TimerService::NAME, TimerService::from(SystemClock::start()))?;
        let meter = registry.register(UsageMeter::NAME, UsageMeter::default())?;
        let pool = ConnectionPool::new(TimerService::clone(&timer), Arc::clone(&meter));
        registry.register(ConnectionPool::NAME, pool)?;
        registry.register(ReadGate::NAME, ReadGate::new(settings, meter))?;
        let feed = FeedState::new(Name::clone(&settings.host), ZoneName::clone(&settings.zone), settings.link_mbps);
        registry.register(FeedState::NAME, feed)?;
        registry.register(MetricRecorder::NAME, MetricRecorder::default())?;
        registry.register(RequestLoad::NAME, RequestLoad::new(settings.memory_bytes))?;
        registry.register(Self::SETTINGS, Mutex::new(LiveSettings::from(settings)))?;
        registry.register(Self::SITE, Mutex::new(SiteState::default()))?;
        registry.register(PathTracker::NAME, PathTracker::new(registry)?)?;
        registry.register(ServiceQueues::NAME, ServiceQueues::new(registry, settings.queue)?)?;
        let demand = DemandTracker::new(registry, &settings.host, &settings.zone)?;
        registry.register(DemandTracker::NAME, demand)?;
        let endpoints = EndpointDirectory::new(registry, Self::SITE, &settings.zone)?;
        registry.register(EndpointDirectory::NAME, endpoints)?;
        registry.register(EndpointConnector::NAME, EndpointConnector::new(registry)?)?;
        registry.register(QuarantineTracker::NAME, QuarantineTracker::new(registry)?)?;
        registry.register(CrashChecks::NAME, CrashChecks::default())?;
        registry.register(SpreadQueue::NAME, SpreadQueue::default())?;
        registry.register(BorrowState::NAME, BorrowState::default())?;
        registry.register(LeaseState::NAME, LeaseState::default())?;
        registry.register(RolloutTracker::NAME, RolloutTracker::new(registry, settings.bounds.exposure)?)?;
        registry.register(SnapshotTracker::NAME, SnapshotTracker::new(registry)?)?;
        registry.register(EvidenceReader::NAME, EvidenceReader::default())?;
        registry.register(VersionTracker::NAME, VersionTracker::new(registry, Self::SITE, &settings.host)?)?;
        registry.register(OriginTracker::NAME, OriginTracker::new(registry)?)?;
        registry.register(RetryBudgets::NAME, RetryBudgets::new(settings.bounds.retry))?;
        registry.register(Self::MIGRATIONS, Mutex::new(MigrationGate::default()))?;
        Ok(())
    }

    /// Finds the registered services and creates a context from them.
    ///
    /// # Errors
    ///
    /// `Internal` if one of the services is not registered.
    pub(crate) fn find(registry: &ServiceRegistry, settings: &GatewaySettings) -> Result<Self> {
        Ok(Self {
            host: Name::clone(&settings.host),
            zone: ZoneName::clone(&settings.zone),
            timer: registry.find(TimerService::NAME)?,
            pool: registry.find(ConnectionPool::NAME)?,
            meter: registry.find(UsageMeter::NAME)?,
            read_gate: registry.find(ReadGate::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            load: registry.find(RequestLoad::NAME)?,
            feed: registry.find(FeedState::NAME)?,
            live: registry.find(Self::SETTINGS)?,
            site: registry.find(Self::SITE)?,
            paths: registry.find(PathTracker::NAME)?,
            endpoints: registry.find(EndpointDirectory::NAME)?,
            connector: registry.find(EndpointConnector::NAME)?,
            quarantine: registry.find(QuarantineTracker::NAME)?,
            crash_checks: registry.find(CrashChecks::NAME)?,
            crash_spread: registry.find(SpreadQueue::NAME)?,
            borrowing: registry.find(BorrowState::NAME)?,
            leasing: registry.find(LeaseState::NAME)?,
            rollouts: registry.find(RolloutTracker::NAME)?,
            versions: registry.find(VersionTracker::NAME)?,
            origins: registry.find(OriginTracker::NAME)?,
            snapshots: registry.find(SnapshotTracker::NAME)?,
            evidence: registry.find(EvidenceReader::NAME)?,
            demand: registry.find(DemandTracker::NAME)?,
            queues: registry.find(ServiceQueues::NAME)?,
            retries: registry.find(RetryBudgets::NAME)?,
            migrations: registry.find(Self::MIGRATIONS)?,
            has_endpoints: AtomicBool::new(false),
        })
    }

    /// The current phase of the graceful shutdown.
    pub(crate) fn phase(&self) -> StopPhase {
        let live = lock(&self.live);
        live.stop_began_at.map_or(StopPhase::Serving, |at| live.stop_plan().phase(self.timer.now().since(at)))
    }

    /// The plan of a graceful shutdown, for the current grace period.
    pub(crate) fn stop_plan(&self) -> StopPlan {
        lock(&self.live).stop_plan()
    }

    /// How long an endpoint that leaves may still get new requests.
    pub(crate) fn drain_bound(&self) -> Duration {
        lock(&self.live).bounds.drain
    }

    /// The bound, from when this host can reach the store again, within which it must act on all changes that the store
    /// acknowledged before.
    pub(crate) fn contact_bound(&self) -> Duration {
        lock(&self.live).bounds.contact
    }

    /// How long hosts wait for each other and for the store.
    pub(crate) fn feed_timing(&self) -> FeedTiming {
        let bounds = &lock(&self.live).bounds;
        FeedTiming::new(bounds.drain.min(bounds.config))
    }

    /// The address of the platform's store.
    pub(crate) fn store_address(&self) -> SocketAddr {
        lock(&self.live).store
    }

    /// Number of writes a second that the store takes from all hosts together.
    pub(crate) fn store_writes(&self) -> f64 {
        lock(&self.live).store_writes
    }

    /// Applies the settings that may change while the process runs.
    pub(crate) fn reload(&self, settings: &GatewaySettings) {
        let mut live = lock(&self.live);
        self.retries.set_bounds(settings.bounds.retry);
        self.rollouts.set_exposure(settings.bounds.exposure);
        self.queues.set_settings(settings.queue);
        live.bounds = settings.bounds.clone();
        live.store = settings.store;
        live.store_writes = settings.store_writes;
    }

    /// Whether a request whose caller waits for `timeout` is admitted, also during a graceful shutdown.
    pub(crate) fn is_admitted(&self, kind: RequestKind, timeout: Duration) -> bool {
        let live = lock(&self.live);
        let elapsed = live.stop_began_at.map(|at| self.timer.now().since(at));
        elapsed.is_none_or(|elapsed| live.stop_plan().is_admitted(kind, timeout, elapsed))
    }

    /// Waits, shortly after the start of the process, until the configuration and the endpoints have been read.
    pub(crate) async fn wait_for_start(&self) {
        let has_started = || self.site().is_some() && self.has_endpoints();
        self.wait_while_starting(START_CHECK, has_started).await;
    }

    /// Waits, shortly after the start of the process, until the configuration has been read.
    ///
    /// Whether a registration is valid depends on the services in the configuration.
    pub(crate) async fn wait_for_site(&self) {
        self.wait_while_starting(SITE_CHECK, || self.site().is_some()).await;
    }

    /// Waits, shortly after the start of the process, until all versions have been looked up among the roll-out orders.
    ///
    /// Until then only the version that most endpoints run gets requests, which may not be the version that should.
    pub(crate) async fn wait_for_versions(&self) {
        self.wait_while_starting(SITE_CHECK, || !self.rollouts.has_unchecked_versions()).await;
    }

    /// Waits, shortly after the start of the process, until the other hosts have been listed.
    ///
    /// Most hosts get changes from other hosts; each watch before the list costs an additional call to the store.
    pub(crate) async fn wait_for_hosts(&self) {
        self.wait_while_listing(LISTING_WAIT).await;
    }

    /// Waits longer than [`wait_for_hosts`](Self::wait_for_hosts) until the other hosts have been listed.
    ///
    /// One of them may send a list that would otherwise be read from the store in many pages.
    pub(crate) async fn wait_for_list_source(&self) {
        self.wait_while_listing(FIRST_LIST_WAIT).await;
    }

    /// Waits while the other hosts are being listed for the first time, until `limit` after the start of the process.
    async fn wait_while_listing(&self, limit: Duration) {
        self.wait_until(TimePoint::ZERO + limit, START_CHECK, || !self.feed.is_listing()).await;
    }

    /// Waits until `is_done` returns true, but no longer than [`START_WAIT`] after the start of the process.
    async fn wait_while_starting(&self, interval: Duration, is_done: impl Fn() -> bool) {
        self.wait_until(TimePoint::ZERO + START_WAIT, interval, is_done).await;
    }

    /// Checks `is_done` at an interval until it returns true or the limit has passed.
    async fn wait_until(&self, limit: TimePoint, interval: Duration, is_done: impl Fn() -> bool) {
        while self.timer.now() < limit && !is_done() {
            self.timer.wait(interval).await;
        }
    }

    /// Begins the graceful shutdown, unless it has begun.
    pub(crate) fn begin_stop(&self) {
        let began_at = *lock(&self.live).stop_began_at.get_or_insert(self.timer.now());
        self.queues.close_at(began_at + self.stop_plan().usable_grace());
    }

    /// The configuration in force.
    pub(crate) fn site(&self) -> Option<Arc<SiteIndex>> {
        lock(&self.site).site()
    }

    /// How long ago the configuration in force was last confirmed to be the newest.
    pub(crate) fn site_age(&self) -> Option<Duration> {
        let confirmed = lock(&self.site).confirmed_at()?;
        Some(self.timer.now().since(confirmed))
    }

    /// Whether the configuration was confirmed recently enough to accept API keys.
    ///
    /// If it was, no accepted key was revoked longer ago than the bound on accepting revoked keys.
    pub(crate) fn is_site_current(&self) -> bool {
        lock(&self.site).is_current(self.timer.now(), self.confirmation_bound())
    }

    /// How long after its last confirmation the configuration is current enough to accept API keys.
    pub(crate) fn confirmation_bound(&self) -> Duration {
        lock(&self.live).bounds.revoke.saturating_sub(CONFIRMATION_MARGIN)
    }

    /// Applies a configuration that was the newest in the store at `read_at`, in the given era of the store.
    pub(crate) fn adopt_site(&self, config: SiteConfig, read_at: TimePoint, era: u64) -> ConfigAdoption {
        lock(&self.site).adopt(config, read_at, era)
    }

    /// Records that the configuration in force was the newest at `at`.
    pub(crate) fn confirm_site(&self, at: TimePoint) {
        lock(&self.site).confirm(at);
    }

    /// What the host waits for that reports to the load balancer that it is not ready for callers; `None` if it is.
    pub(crate) fn readiness_wait(&self) -> Option<ReadinessWait> {
        let readiness = HostReadiness {
            has_site: self.site().is_some(),
            has_endpoints: self.has_endpoints(),
            is_site_current: self.is_site_current(),
        };
        readiness.wait(self.phase())
    }

    /// Whether enough endpoints have been read to serve callers.
    pub(crate) fn has_endpoints(&self) -> bool {
        self.has_endpoints.load(Ordering::Relaxed)
    }

    /// Records that enough endpoints have been read to serve callers.
    pub(crate) fn mark_endpoints_listed(&self) {
        self.has_endpoints.store(true, Ordering::Relaxed);
    }

    /// Counts the first send of a request, which adds to the retry budget of its service.
    pub(crate) fn count_first_send(&self, service: &Name) {
        self.retries.earn(service, self.timer.now());
    }

    /// Whether the retry budget of a service allows one more retry; nothing is counted.
    pub(crate) fn may_retry(&self, service: &Name) -> bool {
        self.retries.may_spend(service, self.timer.now())
    }

    /// Whether the retry budget of a service allows one more retry; if so, the retry is counted.
    pub(crate) fn try_retry(&self, service: &Name) -> bool {
        self.retries.try_spend(service, self.timer.now())
    }

    /// Whether a stream may migrate from an engine now; if so, the migration is counted.
    pub(crate) fn begin_migration(&self, engine: &EndpointId) -> bool {
        lock(&self.migrations).try_begin(self.timer.now(), engine)
    }
}
