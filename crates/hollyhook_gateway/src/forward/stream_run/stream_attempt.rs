use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::{AnswerVerdict, AttemptFailure, AttemptKey, EngineReport, SilenceWatch, TimePoint};
use hollyhook_platform::AttemptHeaders;
use hyper::body::{Body, Frame};

use crate::forward::attempt::{EndpointSlot, OpenResponse, send_attempt};
use crate::forward::attempt_times::AttemptTimes;
use crate::forward::backup_replicator::BackupReplicator;
use crate::forward::buffered_response::BufferedResponse;
use crate::forward::endpoint_probe::probe_silent;
use crate::forward::engine_choice::BackupLocation;
use crate::forward::live_attempt::{AttemptStart, LiveAttempt};
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;
use crate::path::EndpointTarget;
use crate::sync::OwnedFuture;

/// The response of an attempt whose head has been accepted.
pub(super) enum OpenedAttempt {
    /// The body is a stream of events.
    Stream(Box<OpenResponse>),
    /// The whole response, which is not a stream, for the caller.
    Plain(Box<BufferedResponse>),
}

/// What an open attempt has come to.
pub(super) enum AttemptSignal {
    /// The head of the response has been accepted, or the attempt failed before.
    Opened(Result<OpenedAttempt, AttemptFailure>),
    /// The next frame of the body; `None` at its end.
    Frame(Option<hyper::Result<Frame<Bytes>>>),
    /// The report that was requested because the attempt is silent; `None` if none came in time.
    Report(Option<EngineReport>),
}

/// When a request was sent, in microseconds of the timer service; 0 before.
#[derive(Debug, Default)]
struct SendTime(AtomicU64);

impl SendTime {
    fn set(&self, sent_at: TimePoint) {
        self.0.store(sent_at.as_micros().max(1), Ordering::Relaxed);
    }

    fn get(&self) -> Option<TimePoint> {
        let micros = self.0.load(Ordering::Relaxed);
        (micros > 0).then(|| TimePoint::from_micros(micros))
    }
}

/// One open attempt at a stream.
pub(super) struct StreamAttempt {
    pub(super) key: AttemptKey,
    pub(super) target: EndpointTarget,
    pub(super) state: AttemptState,
    pub(super) watch: SilenceWatch,
    start: AttemptStart,
    /// The number of prompt tokens that the engine reads before the first event.
    tokens_to_read: u64,
    sending: Arc<SendTime>,
    probe: Option<OwnedFuture<Option<EngineReport>>>,
}

/// Whether the response of an attempt has begun.
pub(super) enum AttemptState {
    /// The request is being sent, or its response has not begun.
    Opening(Box<OpeningAttempt>),
    /// Events arrive.
    Live(Box<LiveAttempt>),
    /// The attempt has ended.
    Closed,
}

/// An attempt whose response has not begun.
pub(super) struct OpeningAttempt {
    pub(super) slot: EndpointSlot,
    pub(super) backup: Option<BackupLocation>,
    response: OwnedFuture<Result<OpenedAttempt, AttemptFailure>>,
}

impl StreamAttempt {
    /// Sends the request to the engine of `slot`, which copies the run to `backup`.
    pub(super) fn send(
        context: &Arc<GatewayContext>,
        caller: &Arc<CallerRequest>,
        key: AttemptKey,
        slot: EndpointSlot,
        backup: Option<BackupLocation>,
        headers: AttemptHeaders,
        is_first: bool,
    ) -> Self {
        let now = context.timer.now();
        let tokens_to_read = tokens_to_read(caller, &headers);
        let watch = SilenceWatch::before_first(now, tokens_to_read);
        let target = slot.target.clone();
        let sending = Arc::new(SendTime::default());
        let response = open(Arc::clone(context), Arc::clone(caller), target.clone(), headers, Arc::clone(&sending));
        let response = OwnedFuture::new(response);
        Self {
            key,
            target,
            state: AttemptState::Opening(Box::new(OpeningAttempt { slot, backup, response })),
            watch,
            start: AttemptStart { sent_at: now, is_first },
            tokens_to_read,
            sending,
            probe: None,
        }
    }

    /// Begins to forward the events of a response.
    pub(super) fn begin_events(
        &mut self,
        now: TimePoint,
        slot: EndpointSlot,
        response: OpenResponse,
        replicator: Option<BackupReplicator>,
    ) {
        self.watch = SilenceWatch::before_first(now, self.tokens_to_read);
        let live = LiveAttempt::new(slot, response, replicator, self.start);
        self.state = AttemptState::Live(Box::new(live));
    }

    /// The attempt, if its response has begun.
    pub(super) fn live(&self) -> Option<&LiveAttempt> {
        match &self.state {
            AttemptState::Live(live) => Some(live),
            AttemptState::Opening(_) | AttemptState::Closed => None,
        }
    }

    /// The attempt, if its response has begun, for updates.
    pub(super) fn live_mut(&mut self) -> Option<&mut LiveAttempt> {
        match &mut self.state {
            AttemptState::Live(live) => Some(live),
            AttemptState::Opening(_) | AttemptState::Closed => None,
        }
    }

    /// Durations of this attempt that are comparable with those of other attempts.
    pub(super) fn times(&self, now: TimePoint) -> AttemptTimes {
        self.live().map_or_else(
            || {
                let first = Some(now.since(self.start.sent_at)).filter(|_| self.start.is_first);
                AttemptTimes { first, gap: None }
            },
            |live| live.times(now),
        )
    }

    /// When the request was sent; `None` while there is no connection to send it on.
    pub(super) fn sent_at(&self) -> Option<TimePoint> {
        self.sending.get()
    }

    /// Whether the attempt has sent an event.
    pub(super) fn has_begun(&self) -> bool {
        self.live().is_some_and(LiveAttempt::has_begun)
    }

    /// Time since the first event of the attempt; zero before it.
    pub(super) fn event_span(&self, now: TimePoint) -> Duration {
        self.live().map_or(Duration::ZERO, |live| live.event_span(now))
    }

    /// The backup of the attempt's KV cache, which is not freed when the attempt is dropped.
    pub(super) fn take_backup(&self) -> Option<BackupLocation> {
        self.live()?.replicator.as_ref()?.take_location()
    }

    /// The backup of the attempt's KV cache, if it has one.
    pub(super) fn backup(&self) -> Option<BackupLocation> {
        self.live()?.replicator.as_ref()?.location()
    }

    /// Records that the attempt has sent an event; a report is no longer needed.
    pub(super) fn record_event(&mut self, now: TimePoint) {
        self.watch.record_event(now);
        self.probe = None;
    }

    /// Requests the engine's report, unless the engine has just missed another probe and `is_shared`.
    pub(super) fn begin_probe(&mut self, context: &Arc<GatewayContext>, is_shared: bool) {
        let (context, target) = (Arc::clone(context), self.target.clone());
        self.probe = Some(OwnedFuture::new(async move { probe_silent(&context, &target, is_shared).await }));
    }

    /// When the engine is to be probed; `None` while it is being probed.
    pub(super) fn check_at(&self) -> Option<TimePoint> {
        self.probe.is_none().then(|| self.watch.check_at())
    }

    /// Waits for the next signal of the attempt; only for a report if its response `is_held`.
    pub(super) fn poll_signal(&mut self, task: &mut Context<'_>, is_held: bool) -> Poll<AttemptSignal> {
        let signal = match &mut self.state {
            _ if is_held => Poll::Pending,
            AttemptState::Opening(opening) => opening.response.poll(task).map(AttemptSignal::Opened),
            AttemptState::Live(live) => Pin::new(&mut live.response.body).poll_frame(task).map(AttemptSignal::Frame),
            AttemptState::Closed => Poll::Pending,
        };
        if signal.is_ready() {
            return signal;
        }
        let Some(Poll::Ready(report)) = self.probe.as_mut().map(|probe| probe.poll(task)) else {
            return Poll::Pending;
        };
        self.probe = None;
        Poll::Ready(AttemptSignal::Report(report))
    }
}

fn tokens_to_read(caller: &CallerRequest, headers: &AttemptHeaders) -> u64 {
    match headers.backup_from {
        Some(_) => 0,
        None => caller.head.prompt.unwrap_or_default().prompt_tokens,
    }
}

/// Sends a request and evaluates the head of the response; reads a response that is not a stream.
async fn open(
    context: Arc<GatewayContext>,
    caller: Arc<CallerRequest>,
    target: EndpointTarget,
    headers: AttemptHeaders,
    sending: Arc<SendTime>,
) -> Result<OpenedAttempt, AttemptFailure> {
    let response = send_attempt(&context, &caller, &target, &headers, |sent_at| sending.set(sent_at)).await?;
    match response.verdict(&caller) {
        AnswerVerdict::Pass if response.parts.status.is_success() => Ok(OpenedAttempt::Stream(Box::new(response))),
        AnswerVerdict::Pass => {
            let response = response.read_for_caller(&context, &caller, &target).await?;
            Ok(OpenedAttempt::Plain(Box::new(response)))
        }
        AnswerVerdict::PassOrRetry => Err(AttemptFailure::Failed),
        AnswerVerdict::Fail(failure) => Err(failure),
    }
}
