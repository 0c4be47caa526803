use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollyhook_core::{
    ConfigAdoption, FeedTiming, Name, RequestKind, Result, SiteConfig, SiteIndex, SiteState, StopPhase, StopPlan,
    TimePoint, ZoneName,
};
use hollyhook_kernel::{ServiceRegistry, TimerService, WallClock};
use hollyhook_settings::GatewaySettings;
use hollyhook_telemetry::MetricRecorder;

use super::EndpointDirectory;
use super::live_settings::LiveSettings;
use super::quarantine_board::QuarantineBoard;
use super::request_load::RequestLoad;
use super::retry_budgets::RetryBudgets;
use super::rollout_board::RolloutBoard;
use crate::peer::FeedBoard;
use crate::pool::ConnectionPool;
use crate::sync::lock;

/// How long watches may hear nothing of changes while the store drops its history, and what the way to it and back
/// may take; both shorten the time for which keys are honoured without confirmation.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(1_250);
/// How long after its start a process lets requests wait for what it has yet to read from the store; a start takes
/// about a tenth of a second on the smallest hosts, and callers come back in the moment in which hosts are back.
const START_WAIT: Duration = Duration::from_millis(600);
/// How often such a request looks.
const START_CHECK: Duration = Duration::from_millis(10);

/// How long after its start a process waits for the other hosts to be listed before it watches the store: they write their
/// entries within 0.4 s of each other, and read them half a second later. What changes meanwhile is heard that much later,
/// well within the bounds of any site.
const LISTING_WAIT: Duration = Duration::from_millis(1_200);
/// The same before it reads the rest of a first list of many pages, with the first of which it serves. Where hundreds of hosts
/// start at once, the store's link takes some seconds to tell all of them of each other.
const FIRST_LIST_WAIT: Duration = Duration::from_secs(3);
/// How often the first list of endpoints looks; callers wait for it, and both are read at the same time.
const SITE_CHECK: Duration = Duration::from_millis(2);

/// What the parts of a gateway share, as the registry of services names it.
#[derive(Debug)]
pub(crate) struct GatewayContext {
    pub(crate) host: Name,
    pub(crate) zone: ZoneName,
    pub(crate) timer: Arc<TimerService>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) recorder: Arc<MetricRecorder>,
    pub(crate) load: Arc<RequestLoad>,
    pub(crate) feed: Arc<FeedBoard>,
    pub(crate) endpoints: Arc<EndpointDirectory>,
    pub(crate) quarantine: Arc<QuarantineBoard>,
    pub(crate) rollouts: Arc<RolloutBoard>,
    live: Arc<Mutex<LiveSettings>>,
    site: Arc<Mutex<SiteState>>,
    retries: Arc<RetryBudgets>,
    has_endpoints: AtomicBool,
}

impl GatewayContext {
    const SITE: &'static str = "site";
    const SETTINGS: &'static str = "settings";

    /// Registers the services that the parts of a gateway find by name.
    ///
    /// # Errors
    ///
    /// `Conflict` if one is registered already.
    pub(crate) fn register(registry: &ServiceRegistry, settings: &GatewaySettings) -> Result<()> {
        let timer = registry.register(TimerService::NAME, TimerService::from(WallClock::start()))?;
        registry.register(ConnectionPool::NAME, ConnectionPool::new(TimerService::clone(&timer)))?;
        let feed = FeedBoard::new(Name::clone(&settings.host), ZoneName::clone(&settings.zone), settings.link_mbps);
        registry.register(FeedBoard::NAME, feed)?;
        registry.register(MetricRecorder::NAME, MetricRecorder::default())?;
        registry.register(RequestLoad::NAME, RequestLoad::new(settings.memory_bytes))?;
        registry.register(Self::SETTINGS, Mutex::new(LiveSettings::from(settings)))?;
        registry.register(Self::SITE, Mutex::new(SiteState::default()))?;
        let endpoints = EndpointDirectory::new(registry, Self::SITE, &settings.zone)?;
        registry.register(EndpointDirectory::NAME, endpoints)?;
        registry.register(QuarantineBoard::NAME, QuarantineBoard::new(registry)?)?;
        registry.register(RolloutBoard::NAME, RolloutBoard::new(registry, settings.bounds.exposure)?)?;
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
            recorder: registry.find(MetricRecorder::NAME)?,
            load: registry.find(RequestLoad::NAME)?,
            feed: registry.find(FeedBoard::NAME)?,
            live: registry.find(Self::SETTINGS)?,
            site: registry.find(Self::SITE)?,
            endpoints: registry.find(EndpointDirectory::NAME)?,
            quarantine: registry.find(QuarantineBoard::NAME)?,
            rollouts: registry.find(RolloutBoard::NAME)?,
            retries: registry.find(RetryBudgets::NAME)?,
            has_endpoints: AtomicBool::new(false),
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

    /// How long after its way to the store is whole again this host has to act on all that was acknowledged before.
    pub(crate) fn contact_bound(&self) -> Duration {
        lock(&self.live).bounds.contact
    }

    /// How hosts wait for each other and for the store.
    pub(crate) fn feed_timing(&self) -> FeedTiming {
        let bounds = &lock(&self.live).bounds;
        FeedTiming::new(bounds.drain.min(bounds.config))
    }

    /// Where the platform's store is.
    pub(crate) fn store_address(&self) -> SocketAddr {
        lock(&self.live).store
    }

    /// Takes in settings that changed while the process runs.
    pub(crate) fn reload(&self, settings: &GatewaySettings) {
        let mut live = lock(&self.live);
        self.retries.rebound(settings.bounds.retry);
        self.rollouts.rebound(settings.bounds.exposure);
        live.bounds = settings.bounds.clone();
        live.store = settings.store;
    }

    /// Whether a request whose caller waits for `patience` is still begun.
    pub(crate) fn is_taking(&self, kind: RequestKind, patience: Duration) -> bool {
        let live = lock(&self.live);
        let passed = live.stop_ordered.map(|at| self.timer.now().since(at));
        passed.is_none_or(|passed| live.stop().is_admitted(kind, patience, passed))
    }

    /// Waits for the first configuration and list of endpoints of a process that has just started.
    pub(crate) async fn wait_for_start(&self) {
        let has_started = || self.site().is_some() && self.has_endpoints.load(Ordering::Relaxed);
        self.wait_while_starting(START_CHECK, has_started).await;
    }

    /// Waits for the first configuration, for a while: what registers is judged by the services that it names.
    pub(crate) async fn wait_for_site(&self) {
        self.wait_while_starting(SITE_CHECK, || self.site().is_some()).await;
    }

    /// Waits until it is known which versions of services are on order, for a while: before that, the usual version alone gets
    /// requests, and which one that is can't be told from the endpoints.
    pub(crate) async fn wait_for_versions(&self) {
        self.wait_while_starting(SITE_CHECK, || !self.rollouts.has_unvetted()).await;
    }

    /// Waits until the other hosts are listed, for a while: most learn from these, and each watch before that is a call to the
    /// store more.
    pub(crate) async fn wait_for_hosts(&self) {
        self.wait_while_listing(LISTING_WAIT).await;
    }

    /// Waits until the other hosts are listed, for longer: one of them may tell what would be read in many pages.
    pub(crate) async fn wait_for_list_source(&self) {
        self.wait_while_listing(FIRST_LIST_WAIT).await;
    }

    /// Waits while the other hosts are being listed for the first time, until so long after the start of the process.
    async fn wait_while_listing(&self, most: Duration) {
        self.wait_until(TimePoint::ZERO + most, START_CHECK, || !self.feed.is_listing()).await;
    }

    /// Waits until something holds, which is looked at so often, or the process is no longer new.
    async fn wait_while_starting(&self, check: Duration, holds: impl Fn() -> bool) {
        self.wait_until(TimePoint::ZERO + START_WAIT, check, holds).await;
    }

    async fn wait_until(&self, limit: TimePoint, check: Duration, holds: impl Fn() -> bool) {
        while self.timer.now() < limit && !holds() {
            self.timer.wait(check).await;
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
        let confirmed = lock(&self.site).confirmed_at()?;
        Some(self.timer.now().since(confirmed))
    }

    /// Whether no key can have been taken away for longer than keys may outlive it.
    pub(crate) fn is_site_current(&self) -> bool {
        let bound = lock(&self.live).bounds.revoke.saturating_sub(CONFIRMATION_MARGIN);
        lock(&self.site).is_current(self.timer.now(), bound)
    }

    pub(crate) fn adopt_site(&self, config: SiteConfig, read_at: TimePoint, era: u64) -> ConfigAdoption {
        lock(&self.site).adopt(config, read_at, era)
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

    pub(crate) fn count_first_send(&self, service: &Name) {
        self.retries.earn(service, self.timer.now());
    }

    pub(crate) fn try_retry(&self, service: &Name) -> bool {
        self.retries.try_spend(service, self.timer.now())
    }
}
