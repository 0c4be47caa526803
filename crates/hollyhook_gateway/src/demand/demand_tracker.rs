use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollyhook_core::{
    AttemptFailure, DemandExchange, DemandMessage, DemandReply, DemandRound, EndpointRecord, EndpointState, HostRecord,
    LoadReport, Name, Result, TimePoint, ZoneName,
};
use hollyhook_kernel::{ServiceRegistry, TimerService};
use hollyhook_telemetry::MetricRecorder;

use crate::gateway::EndpointDirectory;
use crate::peer::FeedState;
use crate::queue::ServiceQueues;
use crate::sync::lock;

/// This host's part in the exchange of demand.
#[derive(Debug)]
pub(crate) struct DemandTracker {
    timer: Arc<TimerService>,
    feed: Arc<FeedState>,
    recorder: Arc<MetricRecorder>,
    queues: Arc<ServiceQueues>,
    state: Mutex<DemandState>,
    /// Whether a task of this host sends summaries.
    is_sending: AtomicBool,
}

#[derive(Debug)]
struct DemandState {
    exchange: DemandExchange,
    /// The state that was logged last.
    logged: LoggedState,
}

#[derive(Debug, Default)]
struct LoggedState {
    collector: Option<Name>,
    has_sums: bool,
}

impl DemandTracker {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "demand";

    /// A tracker for a host of an availability zone, without demand.
    ///
    /// # Errors
    ///
    /// `Internal` if a service that the tracker uses is not registered.
    pub(crate) fn new(registry: &ServiceRegistry, host: &Name, zone: &ZoneName) -> Result<Self> {
        let exchange = DemandExchange::new(Name::clone(host), ZoneName::clone(zone));
        Ok(Self {
            timer: registry.find(TimerService::NAME)?,
            feed: registry.find(FeedState::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            queues: registry.find(ServiceQueues::NAME)?,
            state: Mutex::new(DemandState { exchange, logged: LoggedState::default() }),
            is_sending: AtomicBool::new(false),
        })
    }

    /// Whether this host takes part in the exchange. Only the request queues use the sums, so that nothing is measured
    /// or sent while they are off.
    pub(super) fn is_enabled(&self) -> bool {
        self.queues.is_enabled()
    }

    /// Counts a request of a caller.
    pub(super) fn count_request(&self, service: &Name, priority: u8) {
        lock(&self.state).exchange.ledger_mut().count_request(self.timer.now(), service, priority);
    }

    /// Records how long a call took, unless the service is overloaded: the call may then have waited.
    pub(super) fn record_call(&self, service: &Name, took: Duration) {
        let now = self.timer.now();
        let exchange = &mut lock(&self.state).exchange;
        if !exchange.is_overloaded(now, service) {
            exchange.ledger_mut().record_call_time(now, service, took);
        }
    }

    /// Records the outcome of an attempt at an endpoint; `failure` is `None` if the attempt succeeded.
    pub(crate) fn record_outcome(&self, endpoint: Option<&EndpointRecord>, failure: Option<AttemptFailure>) {
        let Some(EndpointRecord { service, .. }) = endpoint.filter(|_| self.is_enabled()) else {
            return;
        };
        let now = self.timer.now();
        let exchange = &mut lock(&self.state).exchange;
        match failure {
            None => exchange.ledger_mut().count_completion(now, service),
            Some(AttemptFailure::Rejected) => exchange.detector_mut().record_rejection(now, service),
            Some(_) => {}
        }
    }

    /// Records the load report of an endpoint.
    pub(crate) fn record_load(&self, endpoint: Option<&EndpointRecord>, load: LoadReport) {
        if let Some(EndpointRecord { service, .. }) = endpoint.filter(|_| self.is_enabled()) {
            let now = self.timer.now();
            lock(&self.state).exchange.detector_mut().record_load(now, service, load.waiting);
        }
    }

    /// Whether summaries have to be sent and no task does so yet; if so, the caller has to send them.
    pub(super) fn begin_sending(&self) -> bool {
        if !self.is_enabled()
            || self.is_sending.load(Ordering::Acquire)
            || !lock(&self.state).exchange.is_active(self.timer.now())
        {
            return false;
        }
        // Other hosts answer only registered hosts.
        if !self.feed.with_topology(|topology| topology.hosts().any(|record| topology.is_own(record))) {
            return false;
        }
        let is_first = !self.is_sending.swap(true, Ordering::AcqRel);
        if is_first {
            tracing::info!("demand.exchange_began");
        }
        is_first
    }

    /// Records that the task that sent summaries has ended.
    pub(super) fn end_sending(&self) {
        tracing::info!("demand.exchange_ended");
        lock(&self.state).logged = LoggedState::default();
        self.is_sending.store(false, Ordering::Release);
    }

    /// Begins a round of the exchange; `None` if the exchange has ended.
    pub(super) fn begin_round(&self) -> Option<DemandRound> {
        let now = self.timer.now();
        self.feed.with_topology(|topology| {
            let hosts: Vec<&HostRecord> = topology.hosts().collect();
            lock(&self.state).exchange.begin_round(now, &hosts.iter().copied())
        })
    }

    /// The message for another host.
    pub(super) fn message(&self, recipient: &HostRecord) -> DemandMessage {
        lock(&self.state).exchange.message(self.timer.now(), recipient)
    }

    /// The message that invites hosts of this host's zone to take part.
    pub(super) fn invitation(&self) -> DemandMessage {
        lock(&self.state).exchange.invitation(self.timer.now())
    }

    /// Records a message of another host, and returns the answer to it.
    pub(super) fn receive(&self, sender: &HostRecord, message: DemandMessage) -> DemandReply {
        self.recorder.count("demand_messages_received");
        lock(&self.state).exchange.receive(self.timer.now(), sender, message)
    }

    /// Records the answer of another host to a message that was sent at `sent_at`.
    pub(super) fn record_reply(&self, sent_at: TimePoint, host: &HostRecord, reply: DemandReply) {
        lock(&self.state).exchange.record_reply(sent_at, host, reply);
    }

    /// Records that a host did not answer.
    pub(super) fn record_failure(&self, host: &Name) {
        lock(&self.state).exchange.record_failure(self.timer.now(), host);
    }

    /// Derives the shares at the end of a round, passes them to the request queues, and logs what has changed.
    pub(super) fn update_shares(&self, endpoints: &EndpointDirectory) {
        let now = self.timer.now();
        let sizes = self.feed.with_topology(|topology| {
            let mut sizes: BTreeMap<ZoneName, usize> = BTreeMap::new();
            topology.hosts().for_each(|record| *sizes.entry(ZoneName::clone(&record.zone)).or_default() += 1);
            sizes
        });
        let mut slots: BTreeMap<Name, u64> = BTreeMap::new();
        // Counted before the state is locked: attempts lock the table of endpoints before the state, and the opposite
        // order could deadlock.
        for record in endpoints.table().iter() {
            if record.state == EndpointState::Live && !record.is_ejected(now) {
                *slots.entry(Name::clone(&record.service)).or_default() += u64::from(record.load.capacity);
            }
        }
        let mut state = lock(&self.state);
        state.exchange.update_shares(now, &sizes, |service| slots.get(service).copied().unwrap_or(0));
        for (service, share) in state.exchange.shares(now) {
            self.queues.set_shares(service, share.fractions());
        }
        self.log_changes(now, &mut state);
    }

    fn log_changes(&self, now: TimePoint, state: &mut DemandState) {
        let DemandState { exchange, logged } = state;
        if let Some(collector) = exchange.collector().filter(|collector| logged.collector.as_ref() != Some(*collector))
        {
            tracing::info!(host = %collector, before = logged.collector.as_deref(), "demand.collector");
            logged.collector = Some(Name::clone(collector));
        }
        let has_sums = exchange.has_sums(now);
        if logged.has_sums && !has_sums {
            self.recorder.count("demand_sums_stale");
            tracing::info!("demand.sums_stale");
        } else if !logged.has_sums && has_sums {
            self.recorder.count("demand_sums_fresh");
            tracing::info!("demand.sums_fresh");
        }
        logged.has_sums = has_sums;
    }
}
