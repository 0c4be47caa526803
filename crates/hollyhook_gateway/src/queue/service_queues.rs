use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use hollyhook_core::{AccountName, Name, QueueLimits, QueueRefusal, QueueRequest, Result, TimePoint};
use hollyhook_kernel::{ServiceRegistry, TimerService};
use hollyhook_settings::QueueSettings;
use hollyhook_telemetry::{MetricMeasure, MetricRecorder};

use super::queue_ticket::QueueTicket;
use super::queue_verdict::QueueVerdict;
use super::service_queue::{QueueStep, ServiceQueue};
use super::{QueueTurn, RefusedWait};
use crate::sync::lock;

/// Assumed time of a call until one has been measured.
const CALL_TIME: Duration = Duration::from_millis(30);
/// How long before the end of the grace period a stopping host refuses the requests that still wait, so that their
/// callers get the response.
const STOP_MARGIN: Duration = Duration::from_millis(200);

/// The queues of a host, one for each service, with the rates at which their requests are sent.
#[derive(Debug)]
pub(crate) struct ServiceQueues {
    timer: Arc<TimerService>,
    recorder: Arc<MetricRecorder>,
    inner: Mutex<QueuesState>,
}

#[derive(Debug)]
struct QueuesState {
    settings: QueueSettings,
    services: HashMap<Name, ServiceQueue>,
    closes_at: Option<TimePoint>,
}

impl QueuesState {
    fn limits(&self) -> QueueLimits {
        let settings = &self.settings;
        QueueLimits { requests: settings.requests, bytes: settings.memory_bytes, minimum_share: settings.minimum_share }
    }

    fn service(&mut self, now: TimePoint, name: &Name) -> &mut ServiceQueue {
        let (limits, closes_at) = (self.limits(), self.closes_at);
        self.services.entry(Name::clone(name)).or_insert_with(|| {
            let mut service = ServiceQueue::new(now, limits, CALL_TIME);
            if let Some(at) = closes_at {
                service.queue.close_at(at);
            }
            service
        })
    }
}

impl ServiceQueues {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "queues";

    /// Empty queues.
    ///
    /// # Errors
    ///
    /// `Internal` if a service that the queues use is not registered.
    pub(crate) fn new(registry: &ServiceRegistry, settings: QueueSettings) -> Result<Self> {
        Ok(Self {
            timer: registry.find(TimerService::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            inner: Mutex::new(QueuesState { settings, services: HashMap::new(), closes_at: None }),
        })
    }

    /// Applies changed settings. Requests that wait keep their places.
    pub(crate) fn set_settings(&self, settings: QueueSettings) {
        let mut state = lock(&self.inner);
        state.settings = settings;
        let limits = state.limits();
        state.services.values_mut().for_each(|service| service.queue.set_limits(limits));
    }

    /// Whether requests wait for their turn, rather than being refused at once.
    pub(crate) fn is_enabled(&self) -> bool {
        lock(&self.inner).settings.is_enabled
    }

    /// Refuses all requests that could not end before `at`, when the host stops.
    pub(crate) fn close_at(&self, at: TimePoint) {
        let at = at - STOP_MARGIN;
        let mut state = lock(&self.inner);
        state.closes_at = Some(at);
        state.services.values_mut().for_each(|service| service.queue.close_at(at));
    }

    /// The time until waiting requests are refused because the host stops; `None` if it does not stop.
    pub(crate) fn closes_in(&self) -> Option<Duration> {
        lock(&self.inner).closes_at.map(|at| at.since(self.timer.now()))
    }

    /// Sets the fraction of each priority's requests to a service that this host sends, from the demand at all hosts.
    pub(crate) fn set_shares(&self, service: &Name, fractions: &BTreeMap<u8, f64>) {
        let now = self.timer.now();
        lock(&self.inner).service(now, service).rate.set_shares(now, Some(fractions));
    }

    /// Whether a new request has to wait for its turn, since the service is overloaded or others wait.
    pub(crate) fn must_wait(&self, service: &Name, priority: u8) -> bool {
        let state = lock(&self.inner);
        let queue = state.services.get(service).filter(|_| state.settings.is_enabled);
        queue.is_some_and(|queue| queue.must_wait(self.timer.now(), priority))
    }

    /// Waits until the request gets its turn. Dropping the future removes the request.
    ///
    /// # Errors
    ///
    /// Why the request may not wait any longer.
    pub(crate) async fn wait(
        self: &Arc<Self>,
        service: &Name,
        request: QueueRequest,
    ) -> std::result::Result<QueueTurn, RefusedWait> {
        let now = self.timer.now();
        let (priority, account, arrived) = (request.priority, AccountName::clone(&request.account), request.arrived);
        let pushed = lock(&self.inner).service(now, service).push(now, request);
        let (id, receiver, steps) = pushed.inspect_err(|refused| {
            self.record_refusal(service, refused.refusal, &account, priority, now.since(arrived));
        })?;
        let ticket = QueueTicket { queues: Arc::clone(self), service: Name::clone(service), id, receiver };
        self.carry_out(service, steps);
        self.advance(service);
        ticket.wait().await
    }

    /// Waits for a further turn, at the former place, after no endpoint had room.
    ///
    /// # Errors
    ///
    /// Why the request may not wait any longer.
    pub(crate) async fn wait_for_room(
        self: &Arc<Self>,
        service: &Name,
        turn: QueueTurn,
    ) -> std::result::Result<QueueTurn, RefusedWait> {
        let (now, request) = (self.timer.now(), turn.into_unsent());
        let id = request.id;
        let receiver = lock(&self.inner).service(now, service).restore(now, request);
        let ticket = QueueTicket { queues: Arc::clone(self), service: Name::clone(service), id, receiver };
        self.advance(service);
        ticket.wait().await
    }

    /// Records that a request without a turn found no room, so that further requests wait for theirs.
    pub(crate) fn record_full(&self, service: &Name, priority: u8) {
        let now = self.timer.now();
        lock(&self.inner).service(now, service).record_full(now, priority);
    }

    /// Records that an endpoint rejected a request because of its load; `is_last` if no further endpoint is asked now.
    pub(crate) fn record_rejection(self: &Arc<Self>, service: &Name, is_last: bool) {
        let now = self.timer.now();
        let mut state = lock(&self.inner);
        if !state.settings.is_enabled {
            return;
        }
        let queue = state.service(now, service);
        queue.rate.record_rejection(now, is_last);
        self.log_load(service, queue, now);
        drop(state);
        self.drive(service);
    }

    /// Records that a request was served `took` after it was sent.
    pub(crate) fn record_success(self: &Arc<Self>, service: &Name, took: Duration) {
        let now = self.timer.now();
        let mut state = lock(&self.inner);
        if !state.settings.is_enabled {
            return;
        }
        let queue = state.service(now, service);
        queue.rate.record_success(now, took);
        queue.gate.record_end(now);
        let is_idle = queue.queue.is_empty();
        drop(state);
        if !is_idle {
            self.advance(service);
        }
    }

    pub(super) fn record_sent(self: &Arc<Self>, service: &Name, priority: u8) {
        let now = self.timer.now();
        let mut state = lock(&self.inner);
        let queue = state.service(now, service);
        queue.end_turn();
        queue.rate.take(now, priority);
        queue.gate.record_found();
        drop(state);
        self.recorder.count("queue_sent");
        self.advance(service);
    }

    /// Gives the turn of a request whose caller has left to the next request.
    pub(super) fn pass_on(self: &Arc<Self>, service: &Name) {
        let now = self.timer.now();
        lock(&self.inner).service(now, service).end_turn();
        self.advance(service);
    }

    /// Removes a request whose caller left, or that got its verdict.
    pub(super) fn leave(&self, service: &Name, id: u64) {
        if let Some(queue) = lock(&self.inner).services.get_mut(service) {
            queue.remove(id);
        }
    }

    /// The refusal of a request, with the time after which its caller should retry.
    pub(super) fn refused(&self, service: &Name, priority: u8, refusal: QueueRefusal) -> RefusedWait {
        let now = self.timer.now();
        lock(&self.inner).service(now, service).refused(now, priority, refusal)
    }

    /// When this host expects capacity for a priority.
    pub(crate) fn retry_after(&self, service: &Name, priority: u8) -> Duration {
        self.refused(service, priority, QueueRefusal::TooLate).retry_after
    }

    /// Sets the gauges of all queues together.
    pub(crate) fn record_gauges(&self) {
        let now = self.timer.now();
        let state = lock(&self.inner);
        let queues = state.services.values();
        let (mut length, mut age) = (0, Duration::ZERO);
        for queue in queues {
            length += queue.queue.len();
            age = age.max(queue.queue.oldest_arrival().map_or(Duration::ZERO, |at| now.since(at)));
        }
        drop(state);
        self.recorder.set_gauge("queue_length", length as u64);
        self.recorder.set_gauge("queue_age_ms", age.as_millis() as u64);
    }

    /// Carries out what is due now, and starts a task that carries out what is due later.
    fn advance(self: &Arc<Self>, service: &Name) {
        let now = self.timer.now();
        let steps = lock(&self.inner).service(now, service).steps(now);
        self.carry_out(service, steps);
        self.drive(service);
    }

    /// Starts the task that drives a queue, unless it runs or has nothing to do.
    fn drive(self: &Arc<Self>, service: &Name) {
        let now = self.timer.now();
        let mut state = lock(&self.inner);
        let queue = state.service(now, service);
        if queue.is_driven || !queue.is_active() {
            return;
        }
        queue.is_driven = true;
        drop(state);
        task::spawn(Arc::clone(self).run(Name::clone(service)));
    }

    /// Drives a queue until it is empty and its service no longer overloaded.
    async fn run(self: Arc<Self>, service: Name) {
        while let Some(next_check) = self.check(&service) {
            self.timer.wait_until(next_check).await;
        }
    }

    /// Carries out what is due now, and returns when the queue is to be checked again; `None` if it need not be.
    fn check(self: &Arc<Self>, service: &Name) -> Option<TimePoint> {
        let now = self.timer.now();
        let mut state = lock(&self.inner);
        let queue = state.service(now, service);
        let steps = queue.steps(now);
        self.log_load(service, queue, now);
        queue.is_driven = queue.is_active();
        let next_check = queue.is_driven.then(|| queue.next_check(now));
        drop(state);
        self.carry_out(service, steps);
        next_check
    }

    fn carry_out(self: &Arc<Self>, service: &Name, steps: Vec<QueueStep>) {
        let now = self.timer.now();
        for step in steps {
            match step {
                QueueStep::Send(request, sender) => {
                    let (account, class) = (AccountName::clone(&request.account), class_name(request.priority));
                    let waited = now.since(request.arrived);
                    let turn = QueueTurn::new(self, service, request);
                    match sender.send(QueueVerdict::Turn(turn)) {
                        Ok(()) => self.recorder.record(MetricMeasure::QueueWait, &account, &class, &[waited]),
                        // The caller has left.
                        Err(QueueVerdict::Turn(turn)) => drop(turn),
                        Err(QueueVerdict::Refused(_)) => {}
                    }
                }
                QueueStep::Refuse(request, refusal, retry_after, sender) => {
                    let age = now.since(request.arrived);
                    self.record_refusal(service, refusal, &request.account, request.priority, age);
                    // The caller may have left.
                    let _gone = sender.send(QueueVerdict::Refused(RefusedWait { refusal, retry_after }));
                }
            }
        }
    }

    fn record_refusal(
        &self,
        service: &Name,
        refusal: QueueRefusal,
        account: &AccountName,
        priority: u8,
        age: Duration,
    ) {
        self.recorder.count(refusal_counter(refusal));
        self.recorder.record(MetricMeasure::RefusedWait, account, &class_name(priority), &[age]);
        tracing::info!(service = %service, cause = refusal.as_str(), account = %account, priority,
            age_ms = age.as_millis() as u64, "queue.refused");
    }

    fn log_load(&self, service: &Name, queue: &mut ServiceQueue, now: TimePoint) {
        let is_overloaded = queue.rate.is_overloaded(now);
        if is_overloaded == queue.was_overloaded {
            return;
        }
        queue.was_overloaded = is_overloaded;
        if is_overloaded {
            self.recorder.count("services_overloaded");
            tracing::info!(service = %service, rate = queue.rate.rate(now), "queue.overloaded");
        } else {
            tracing::info!(service = %service, "queue.relieved");
        }
    }
}

/// The class of a priority's requests in metrics.
fn class_name(priority: u8) -> String {
    format!("priority-{priority}")
}

fn refusal_counter(refusal: QueueRefusal) -> &'static str {
    match refusal {
        QueueRefusal::TooLate => "queue_refused_late",
        QueueRefusal::Displaced => "queue_displaced",
        QueueRefusal::Full => "queue_refused_full",
        QueueRefusal::Stopping => "queue_refused_stopping",
    }
}
