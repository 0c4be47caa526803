use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use futures::future::{BoxFuture, FutureExt, pending};
use hollyhook_core::{
    AccountName, AttemptNumber, EndReason, EndpointId, Error, ErrorKind, GenerationId, GenerationRelay, OpenMode,
    RelayAction, RelayCounter, RelayEvent, RelayPhase, RelayTrace, RouteQuery, StreamCursor, TimePoint, TokenLog,
    TraceStart,
};
use hollyhook_settings::{GenerationSettings, RequestClass};
use hollyhook_wire::{CallerRequest, EngineExtension, EngineUsage};

use super::GenerationStart;
use super::attempt_link::{AttemptLink, AttemptSpec};
use super::caller_link::{CallerLink, GenerationResult};
use super::latency_tracker::LatencyTracker;
use crate::fleet::{CancelCommand, HostContext, ResumePermit};

/// Results of searches and probes that can be queued for the driver.
const EVENT_CAPACITY: usize = 4;
/// Minimum `Retry-After` delay of a failed generation, to which a random delay of up to the same length is added; also
/// the retry delay that a search without a result reports to the relay.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request for a generation, with its caller's account and its service's settings.
#[derive(Debug)]
pub(crate) struct RelayTask {
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) account: AccountName,
    pub(crate) service: Arc<str>,
    pub(crate) class: RequestClass,
    pub(crate) settings: GenerationSettings,
    pub(crate) arrived_at: TimePoint,
}

/// Runs one generation until it is complete or has failed.
pub(crate) struct RelayDriver {
    context: Arc<HostContext>,
    task: RelayTask,
    generation: GenerationId,
    has_affinity: bool,
    is_continued: bool,
    relay: GenerationRelay,
    link: CallerLink,
    events: Receiver<RelayEvent>,
    event_sender: Sender<RelayEvent>,
    relay_timer: BoxFuture<'static, ()>,
    caller_gone: BoxFuture<'static, ()>,
    attempt: Option<AttemptLink>,
    permit: Receiver<ResumePermit>,
    permit_sender: Sender<ResumePermit>,
    tracker: LatencyTracker,
    trace: Option<RelayTrace>,
    request_digest: u64,
    opened_at: Option<TimePoint>,
}

impl RelayDriver {
    pub(crate) fn new(context: Arc<HostContext>, task: RelayTask, start: GenerationStart, link: CallerLink) -> Self {
        let (event_sender, events) = async_channel::bounded(EVENT_CAPACITY);
        let (permit_sender, permit) = async_channel::bounded(1);
        let recorder = Arc::clone(&context.recorder);
        let tracker =
            LatencyTracker::new(recorder, AccountName::clone(&task.account), task.class.label(), task.arrived_at);
        Self {
            request_digest: task.request.digest(),
            trace: context.keeps_traces.then(|| new_trace(&task, &start.relay)),
            opened_at: None,
            caller_gone: link.closed().boxed(),
            context,
            task,
            generation: start.generation,
            has_affinity: start.has_affinity,
            is_continued: start.is_continued,
            relay: start.relay,
            link,
            events,
            event_sender,
            relay_timer: pending().boxed(),
            attempt: None,
            permit,
            permit_sender,
            tracker,
        }
    }

    pub(crate) async fn run(mut self) {
        self.context.recorder.count("generation_started");
        self.handle(RelayEvent::Started).await;
        while self.relay.phase() != RelayPhase::Done {
            let event = self.next_event().await;
            self.handle(event).await;
        }
        if let Some(trace) = self.trace.take() {
            self.context.traces.store(self.generation, trace);
        }
    }

    /// Waits for the next event.
    ///
    /// Events that have arrived take precedence over the timer, so that a delayed driver does not mistake its own delay
    /// for silence of the endpoint.
    async fn next_event(&mut self) -> RelayEvent {
        if let Some(event) = self.attempt.as_mut().and_then(AttemptLink::next_buffered) {
            return event;
        }
        if !self.link.flush().await {
            return RelayEvent::CallerLeft;
        }
        {
            let attempt = self.attempt.as_mut();
            let streamed = async move {
                match attempt {
                    Some(attempt) => attempt.next().await,
                    None => pending().await,
                }
            };
            let mut streamed = std::pin::pin!(streamed.fuse());
            let mut queued = std::pin::pin!(self.events.recv().fuse());
            futures::select_biased! {
                event = streamed => return event,
                event = queued => return event.unwrap_or(RelayEvent::CallerLeft),
                () = (&mut self.caller_gone).fuse() => return RelayEvent::CallerLeft,
                () = (&mut self.relay_timer).fuse() => {}
            }
        }
        self.relay_timer = pending().boxed();
        let timeouts = self.context.fleet.stream_timeouts(self.relay.endpoint(), &self.task.settings.policy);
        RelayEvent::TimerFired { timeouts }
    }

    async fn handle(&mut self, event: RelayEvent) {
        let now = self.context.timer.now();
        if matches!(event, RelayEvent::Opened { .. }) {
            self.link.start_stream(self.is_continued);
            if self.relay.delivered() == 0 {
                self.tracker.record_accepted(now);
            }
        }
        if let Some(trace) = &mut self.trace {
            trace.push(now, event.clone());
        }
        for action in self.relay.on(now, event) {
            self.perform(now, action).await;
        }
    }

    async fn perform(&mut self, now: TimePoint, action: RelayAction) {
        match action {
            RelayAction::Assign { attempt, avoid, is_resume } => self.assign(attempt, avoid, is_resume),
            RelayAction::Open { attempt, endpoint, mode } => self.open(attempt, endpoint, mode),
            RelayAction::Probe { attempt, endpoint } => self.probe(attempt, endpoint),
            RelayAction::Cancel { attempt, endpoint } => self.cancel(attempt, endpoint),
            RelayAction::Close { .. } => self.attempt = None,
            RelayAction::Deliver { text, .. } => self.deliver(now, &text).await,
            RelayAction::SetTimer { at } => self.set_timer(at),
            RelayAction::Complete { reason, tokens } => self.complete(reason, tokens).await,
            RelayAction::Fail { kind, delivered } => self.fail(kind, delivered).await,
            RelayAction::Count(counter) => self.count(counter),
        }
    }

    fn set_timer(&mut self, at: TimePoint) {
        let timer = Arc::clone(&self.context.timer);
        self.relay_timer = async move { timer.wait_until(at).await }.boxed();
    }

    fn assign(&mut self, attempt: AttemptNumber, avoid: Vec<EndpointId>, is_resume: bool) {
        let search = EndpointSearch {
            context: Arc::clone(&self.context),
            service: Arc::clone(&self.task.service),
            settings: self.task.settings.clone(),
            affinity: self.has_affinity.then(|| self.generation.bits()),
        };
        let priority = self.task.class.priority();
        let event_sender = self.event_sender.clone();
        let permit_sender = self.permit_sender.clone();
        let _released = self.permit.try_recv();
        task::spawn(async move {
            let permit = if is_resume { Some(search.context.resumes.acquire(priority).await) } else { None };
            let event = search.run(attempt, &avoid);
            if let Some(permit) = permit {
                let _gone = permit_sender.try_send(permit);
            }
            let _gone = event_sender.send(event).await;
        });
    }

    fn open(&mut self, attempt: AttemptNumber, endpoint: EndpointId, mode: OpenMode) {
        self.context.fleet.lock().record_open(self.context.timer.now(), &endpoint);
        self.opened_at = Some(self.context.timer.now());
        let extension = EngineExtension {
            generation: self.generation,
            attempt,
            binding: self.task.settings.binding.clone(),
            priority: self.task.class.priority(),
            resume_tokens: Vec::new(),
        };
        let log = if mode == OpenMode::Resume { self.relay.log().clone() } else { TokenLog::default() };
        let spec = AttemptSpec { request: Arc::clone(&self.task.request), extension, mode, log };
        self.attempt = Some(AttemptLink::open(&self.context, endpoint, spec));
    }

    fn probe(&self, attempt: AttemptNumber, endpoint: EndpointId) {
        let context = Arc::clone(&self.context);
        let generation = self.generation;
        let timeout = self.task.settings.policy.probe_timeout;
        let event_sender = self.event_sender.clone();
        task::spawn(async move {
            let report = context.probes.probe(&context, &endpoint, generation, timeout).await;
            let _gone = event_sender.send(RelayEvent::Probed { attempt, report }).await;
        });
    }

    fn cancel(&mut self, attempt: AttemptNumber, endpoint: EndpointId) {
        self.attempt = None;
        let command = CancelCommand { endpoint, generation: self.generation, attempt };
        if self.context.cancels.post(command).is_err() {
            self.context.recorder.count("cancel_dropped");
        }
    }

    async fn deliver(&mut self, now: TimePoint, text: &str) {
        let _released = self.permit.try_recv();
        let gap = self.tracker.record_token(now);
        let time_to_first_token = self.opened_at.take().map(|opened| now - opened);
        if let Some(endpoint) = self.relay.endpoint()
            && let Some(record) = self.context.fleet.lock().get_mut(endpoint)
        {
            match (time_to_first_token, gap) {
                (Some(time), _) => record.latency_estimator.observe_first_token(time),
                (None, Some(gap)) => record.latency_estimator.observe_inter_token(gap),
                (None, None) => {}
            }
        }
        if !self.link.is_streaming() {
            return;
        }
        let cursor = self.cursor();
        if self.link.token(text, &cursor) {
            self.link.flush().await;
        }
    }

    fn cursor(&self) -> String {
        let cursor = StreamCursor {
            generation: self.generation,
            position: self.relay.delivered(),
            attempt: self.relay.attempt(),
            endpoint: self.relay.endpoint().map(EndpointId::clone).unwrap_or_default(),
            digest: self.relay.digest(),
            request: self.request_digest,
            made_at: self.context.timer.unix_secs(),
        };
        self.context.seal.seal(&self.task.account, &cursor, &mut rand::rng())
    }

    async fn complete(&mut self, reason: EndReason, tokens: u64) {
        let usage = self.attempt.take().and_then(|attempt| attempt.usage());
        self.context.recorder.count("generation_completed");
        self.context.recorder.count_by("tokens_delivered", tokens);
        let prompt = usage.map_or_else(|| self.task.request.prompt_tokens(), |usage| usage.prompt_tokens);
        let usage = EngineUsage { prompt_tokens: prompt, completion_tokens: tokens, total_tokens: prompt + tokens };
        let text = if self.link.is_streaming() { String::new() } else { self.relay.log().text().to_owned() };
        let has_usage = self.task.request.has_usage;
        self.link.complete(GenerationResult { text, reason, usage }, has_usage).await;
    }

    async fn fail(&mut self, kind: ErrorKind, delivered: u64) {
        self.attempt = None;
        self.context.recorder.count("generation_failed");
        let mut error = Error::new(kind, failure_message(kind, delivered, &self.task));
        if kind.has_retry_after() {
            error = error.retry_after(RETRY_AFTER + RETRY_AFTER.mul_f64(rand::random()));
        }
        self.link.fail(error).await;
    }

    fn count(&mut self, counter: RelayCounter) {
        self.context.recorder.count(counter.label());
        match counter {
            RelayCounter::Resumed | RelayCounter::Reattached | RelayCounter::Replayed => self.tracker.mark_resuming(),
            _ => {}
        }
    }
}

fn new_trace(task: &RelayTask, relay: &GenerationRelay) -> RelayTrace {
    RelayTrace::new(TraceStart {
        policy: task.settings.policy.clone(),
        endpoint: relay.endpoint().map(EndpointId::clone),
        attempt: relay.attempt(),
        delivered: relay.delivered(),
        digest: relay.digest(),
    })
}

/// Search for an endpoint for one attempt.
struct EndpointSearch {
    context: Arc<HostContext>,
    service: Arc<str>,
    settings: GenerationSettings,
    affinity: Option<u128>,
}

impl EndpointSearch {
    fn run(&self, attempt: AttemptNumber, avoid: &[EndpointId]) -> RelayEvent {
        let mut query = RouteQuery::new(&self.service).binding(&self.settings.binding).avoid(avoid);
        if let Some(key) = self.affinity {
            query = query.affinity(key);
        }
        let now = self.context.timer.now();
        match self.context.fleet.lock().choose(now, &query, &mut rand::rng()) {
            Some(endpoint) => RelayEvent::Assigned { attempt, endpoint },
            None => RelayEvent::Unassigned { attempt, retry_after: RETRY_AFTER },
        }
    }
}

fn failure_message(kind: ErrorKind, delivered: u64, task: &RelayTask) -> String {
    let model = &task.request.model;
    match kind {
        ErrorKind::NoEndpoint => format!("no endpoint of `{model}` takes requests now"),
        ErrorKind::GenerationLost => format!(
            "the generation was cut after {delivered} tokens and no endpoint of `{model}` could continue it in time; \
             what was delivered is right, and the rest can be asked for with Last-Event-ID"
        ),
        ErrorKind::GenerationDiverged => format!(
            "the generation was cut after {delivered} tokens and can't be continued, since a new one would differ; \
             start again without Last-Event-ID"
        ),
        ErrorKind::Superseded => "a newer connection has taken this generation over".to_owned(),
        ErrorKind::EndpointRefused => format!("the endpoint of `{model}` refused the request as invalid"),
        _ => format!("the generation ended after {delivered} tokens"),
    }
}
