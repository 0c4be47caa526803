use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use hollyhook_core::{
    AnswerVerdict, AttemptFailure, AttemptLedger, EndpointId, Error, ErrorKind, EventSequencer, Name, Result,
    StopReason, StreamOrigin, evaluate_answer,
};
use hollyhook_platform::{AttemptHeaders, remove_hop_headers};
use http::Response;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::attempt::{BufferedResponse, EndpointSlot, OpenResponse, send_attempt};
use super::attempt_end::end_attempt;
use super::attempt_times::{AttemptTimes, record_version_outcome};
use super::backup_replicator::BackupReplicator;
use super::crash_check::{LostRun, check_crash, record_given_up, record_survival};
use super::engine_choice::{BackupLocation, EngineChoice, EngineChooser};
use super::let_connection_flush;
use super::live_attempt::{AttemptStart, LiveAttempt, ReadResult};
use super::liveness_watch::LivenessWatch;
use super::request_log;
use super::stream_migration::StreamMigration;
use super::stream_timing::StreamTiming;
use crate::front::{CallerRequest, ResponseBody};
use crate::gateway::{GatewayContext, RoutingFailure, StreamWaitGuard};
use crate::origin::{OriginSharer, find_origin};
use crate::queue::{RefusedWait, queue_request};
use crate::quota::QuotaBorrower;

/// Maximum number of attempts that engines reject, or that fail to connect, before the caller is told to retry later.
const MAX_REJECTED: u32 = 4;
/// Retry-After delay if every engine rejected a generation.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Forwards a generation as a stream; returns once the first event, or a response that is not a stream, has arrived.
pub(super) async fn forward_stream(
    context: &Arc<GatewayContext>,
    caller: CallerRequest,
) -> Result<Response<ResponseBody>> {
    let mut run = StreamRun::new(Arc::clone(context), Arc::new(caller));
    let first = match run.next().await {
        Some(Ok(bytes)) => bytes,
        Some(Err(error)) => return Err(error),
        None => Bytes::new(),
    };
    if let Some(response) = run.plain_response.take() {
        return Ok(response.into_response());
    }
    let Some(mut parts) = run.first_head.take() else {
        return Err(Error::new(ErrorKind::Internal, "a stream began without a head"));
    };
    remove_hop_headers(&mut parts.headers);
    // The length is that of one attempt, and the stream may resume at another engine.
    parts.headers.remove(CONTENT_LENGTH);
    let state = StreamState { first: Some(first), run, waiting: None };
    let body = StreamBody::new(stream::unfold(state, next_frame)).boxed_unsync();
    Ok(Response::from_parts(parts, body))
}

struct StreamState {
    first: Option<Bytes>,
    run: StreamRun,
    /// Present from when events are ready until the caller's connection asks for more.
    waiting: Option<StreamWaitGuard>,
}

async fn next_frame(mut state: StreamState) -> Option<(Result<Frame<Bytes>>, StreamState)> {
    state.waiting = None;
    let next = match state.first.take() {
        Some(first) if first.is_empty() => None,
        Some(first) => Some(Ok(first)),
        None => state.run.next().await,
    };
    if matches!(next, Some(Err(_))) {
        let_connection_flush().await;
    }
    state.waiting = Some(state.run.context.load.wait_for_caller());
    next.map(|outcome| (outcome.map(Frame::data), state))
}

/// A caller's stream over all attempts at its generation.
struct StreamRun {
    context: Arc<GatewayContext>,
    caller: Arc<CallerRequest>,
    sequencer: EventSequencer,
    timing: StreamTiming,
    migration: StreamMigration,
    live: Option<LiveAttempt>,
    /// Backup of the lost attempt's KV cache, for the next attempt to resume from.
    resume_from: Option<BackupLocation>,
    first_head: Option<Parts>,
    /// Version of the weights that generated the events so far; other weights would not continue the same text.
    weights: Option<u64>,
    /// The software versions that may write the next events; `None` until they have been looked up.
    origin: Option<StreamOrigin>,
    /// Whether the version of an event that this host delivered has been recorded for other hosts.
    has_recorded_origin: bool,
    /// An endpoint's response that is not a stream, to be returned to the caller unchanged.
    plain_response: Option<BufferedResponse>,
    tried: Vec<EndpointId>,
    /// For how long lost attempts had sent events, all together.
    run_time: Duration,
    ledger: AttemptLedger,
    has_ended: bool,
}

impl StreamRun {
    fn new(context: Arc<GatewayContext>, caller: Arc<CallerRequest>) -> Self {
        let sequencer = EventSequencer::new(caller.head.cursor);
        let is_resumed = caller.head.cursor.is_some();
        if is_resumed {
            context.recorder.count("streams_resumed_by_callers");
        }
        let timing = if is_resumed { StreamTiming::resumed_by_caller(caller.arrived) } else { StreamTiming::default() };
        let ledger = AttemptLedger::for_route(&caller.route, MAX_REJECTED);
        Self {
            context,
            caller,
            sequencer,
            timing,
            migration: StreamMigration::default(),
            live: None,
            resume_from: None,
            first_head: None,
            weights: None,
            origin: (!is_resumed).then_some(StreamOrigin::Open),
            has_recorded_origin: false,
            plain_response: None,
            tried: Vec::new(),
            run_time: Duration::ZERO,
            ledger,
            has_ended: false,
        }
    }

    /// The next bytes for the caller; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes>> {
        if self.has_ended {
            return None;
        }
        loop {
            if let Err(error) = self.ensure_live().await {
                return Some(Err(self.finish_with_error(error)));
            }
            if self.plain_response.is_some() {
                self.has_ended = true;
                return None;
            }
            if self.migrate_if_late().await {
                continue;
            }
            let Some(live) = self.live.as_mut() else {
                continue;
            };
            match live.next_events(&self.context, &self.caller, &mut self.sequencer).await {
                ReadResult::Bytes(bytes) => {
                    if !self.has_recorded_origin {
                        let version = Name::clone(&live.slot.target.version);
                        self.record_origin(version);
                    }
                    if let Some(resume) = self.timing.record_event(self.context.timer.now()) {
                        request_log::resumed(&self.context, &self.caller, &resume);
                    }
                    return Some(Ok(bytes));
                }
                ReadResult::Complete => {
                    self.complete();
                    return None;
                }
                ReadResult::Failure(failure) => {
                    if let Err(error) = self.abandon_attempt(failure).await {
                        return Some(Err(self.finish_with_error(error)));
                    }
                }
            }
        }
    }

    /// Ends the live attempt if the stream would end in time only at another engine; returns whether the attempt was
    /// ended.
    async fn migrate_if_late(&mut self) -> bool {
        if self.ledger.is_last() || !self.sequencer.can_resume() {
            return false;
        }
        let Some(live) = self.live.as_ref() else {
            return false;
        };
        let last_event = self.sequencer.last();
        let Some(location) = self.migration.try_migrate(&self.context, &self.caller, live, last_event).await else {
            return false;
        };
        // The replicator frees the backup that it still has when the attempt is dropped.
        let _used = live.replicator.as_ref().and_then(BackupReplicator::take_location);
        self.timing.record_loss("migrated");
        self.tried.push(EndpointId::clone(live.slot.id()));
        self.ledger.record_migration();
        self.resume_from = Some(location);
        self.live = None;
        true
    }

    /// Binds the stream to the version of the first event that this host delivers, and records it for other hosts.
    fn record_origin(&mut self, version: Name) {
        self.has_recorded_origin = true;
        self.origin = Some(StreamOrigin::Version(Name::clone(&version)));
        let (first_attempt, service) = (self.caller.first_attempt(), &self.caller.service);
        OriginSharer::record(&self.context, Name::clone(first_attempt), Name::clone(service), version);
    }

    fn complete(&mut self) {
        self.has_ended = true;
        if let Some(live) = self.live.take() {
            self.context.endpoints.record_outcome(live.slot.id(), None);
            live.record_run(&self.context);
            let times = live.times(self.context.timer.now());
            record_version_outcome(&self.context, &self.caller, &live.slot.target, None, times);
            live.response.release(&self.context, live.slot.id());
        }
        if let Some(first) = self.timing.first() {
            let took = self.context.timer.now().since(first);
            self.context.queues.record_success(&self.caller.service, took);
        }
        record_survival(&self.context, &self.caller);
        request_log::streamed(&self.context, &self.caller, &self.timing, self.ledger.attempts() + 1);
    }

    fn finish_with_error(&mut self, error: Error) -> Error {
        self.has_ended = true;
        self.live = None;
        request_log::ended(&self.context, &self.caller, &error, self.ledger.attempts());
        record_given_up(&self.context, &self.caller);
        error
    }

    /// Abandons the live attempt after a failure.
    ///
    /// # Errors
    ///
    /// The error for the caller if no further attempt may be made.
    async fn abandon_attempt(&mut self, failure: AttemptFailure) -> Result<()> {
        let Some(live) = self.live.take() else {
            return Ok(());
        };
        self.timing.record_loss(failure.as_str());
        // Dropping the attempt closes its connection, which stops the generation at its engine.
        let target = live.slot.target.clone();
        let times = live.times(self.context.timer.now());
        record_version_outcome(&self.context, &self.caller, &target, Some(failure), times);
        self.run_time += live.event_span(self.context.timer.now());
        self.resume_from = live.replicator.as_ref().and_then(BackupReplicator::take_location);
        drop(live);
        check_crash(&self.context, &self.caller, &target, self.lost_run(failure)).await;
        self.record_failure(&target.id, failure)
    }

    fn lost_run(&self, failure: AttemptFailure) -> LostRun {
        LostRun { failure, run_time: self.run_time }
    }

    fn record_failure(&mut self, id: &EndpointId, failure: AttemptFailure) -> Result<()> {
        self.context.endpoints.record_outcome(id, Some(failure));
        let lost = self.lost_run(failure);
        request_log::attempt_failed(&self.context, &self.caller, id, lost, self.sequencer.last());
        self.tried.push(EndpointId::clone(id));
        let reason = if self.sequencer.can_resume() {
            end_attempt(&self.context, &self.caller, &mut self.ledger, failure)
        } else {
            self.ledger.record_failure(failure);
            Some(StopReason::NotRepeatable)
        };
        match reason {
            Some(reason) => Err(self.stop_error(reason)),
            None => Ok(()),
        }
    }

    fn stop_error(&self, reason: StopReason) -> Error {
        self.ledger.final_error(reason, self.sequencer.delivered(), BUSY_RETRY_AFTER)
    }

    /// Opens attempts until one streams or a response that is not a stream is to be returned.
    async fn ensure_live(&mut self) -> Result<()> {
        while self.live.is_none() && self.plain_response.is_none() {
            let choice = self.choose_at_turn().await?;
            let target = choice.slot.target.clone();
            let sent_at = self.context.timer.now();
            if let Err(failure) = self.open(choice).await {
                let took = self.context.timer.now().since(sent_at);
                let first = Some(took).filter(|_| self.is_first());
                record_version_outcome(
                    &self.context,
                    &self.caller,
                    &target,
                    Some(failure),
                    AttemptTimes { first, gap: None },
                );
                check_crash(&self.context, &self.caller, &target, self.lost_run(failure)).await;
                self.record_failure(&target.id, failure)?;
            }
        }
        Ok(())
    }

    /// Chooses the engine of the next attempt; a stream that has not begun waits until there is room for it.
    ///
    /// # Errors
    ///
    /// The error for the caller if no engine may continue the stream or admits the request in time.
    async fn choose_at_turn(&mut self) -> Result<EngineChoice> {
        let queues = Arc::clone(&self.context.queues);
        let caller = Arc::clone(&self.caller);
        let (service, priority) = (&caller.service, caller.priority());
        let may_wait = self.may_wait_for_turn();
        let mut turn = None;
        if may_wait && queues.must_wait(service, priority) {
            let waited = queues.wait(service, queue_request(&caller)).await;
            turn = Some(waited.map_err(|refused| self.refused_error(refused))?);
        }
        loop {
            let failure = match self.choose_engine().await? {
                Ok(choice) => {
                    if let Some(turn) = turn {
                        turn.end_sent();
                    }
                    return Ok(choice);
                }
                Err(failure) => failure,
            };
            QuotaBorrower::spawn_if_needed(&self.context);
            if !may_wait || !failure.awaits_room {
                let retry = failure.pause.max(BUSY_RETRY_AFTER);
                return Err(self.ledger.final_error(failure.reason, self.sequencer.delivered(), retry));
            }
            let waited = if let Some(turn) = turn.take() {
                queues.wait_for_room(service, turn).await
            } else {
                queues.record_full(service, priority);
                queues.wait(service, queue_request(&caller)).await
            };
            turn = Some(waited.map_err(|refused| self.refused_error(refused))?);
        }
    }

    /// Whether the stream may wait for its turn: neither this host nor an earlier one has delivered an event.
    fn may_wait_for_turn(&self) -> bool {
        let has_begun = self.caller.head.cursor.is_some() || self.sequencer.delivered() > 0;
        !has_begun && self.context.queues.is_enabled()
    }

    fn refused_error(&self, refused: RefusedWait) -> Error {
        self.ledger.final_error(refused.stop_reason(), self.sequencer.delivered(), refused.retry_after)
    }

    /// Chooses the engine of the next attempt; the inner error says why no engine admits the request now.
    ///
    /// # Errors
    ///
    /// The error for the caller if no engine may continue the stream.
    async fn choose_engine(&mut self) -> Result<std::result::Result<EngineChoice, RoutingFailure>> {
        let resume_from = self.resume_from.take();
        let origin = self.origin().await;
        let (service, context) = (&self.caller.service, &self.context);
        let filter = match &origin {
            StreamOrigin::Version(version) => {
                let filter = context.rollouts.continuation_filter(service, version);
                filter.ok_or_else(|| self.stop_error(StopReason::NoEndpoint))?
            }
            StreamOrigin::Open | StreamOrigin::Unknown => {
                context.rollouts.version_filter(service, self.is_first()).unwrap_or_default()
            }
        };
        let chooser = EngineChooser { context, caller: &self.caller, tried: &self.tried, versions: &filter };
        let choice = match origin {
            StreamOrigin::Unknown => chooser.choose_first_holder().await,
            StreamOrigin::Open if filter.only.is_some() => self.choose_any_version(chooser, resume_from).await,
            StreamOrigin::Open | StreamOrigin::Version(_) => chooser.choose(resume_from).await,
        };
        let choice = match choice {
            Ok(choice) => choice,
            Err(failure) => return Ok(Err(failure)),
        };
        if origin == StreamOrigin::Unknown {
            self.origin = Some(StreamOrigin::Version(Name::clone(&choice.slot.target.version)));
        }
        Ok(Ok(choice))
    }

    /// Chooses an engine of the version that a roll-out moves requests to, or of another one if it has no room.
    async fn choose_any_version(
        &self,
        chooser: EngineChooser<'_>,
        resume_from: Option<BackupLocation>,
    ) -> std::result::Result<EngineChoice, RoutingFailure> {
        if let Ok(choice) = chooser.choose(resume_from).await {
            return Ok(choice);
        }
        let filter = self.context.rollouts.fallback_filter(&self.caller.service).unwrap_or_default();
        EngineChooser { versions: &filter, ..chooser }.choose(None).await
    }

    /// Which versions may write the next events.
    async fn origin(&mut self) -> StreamOrigin {
        if let Some(origin) = &self.origin {
            return origin.clone();
        }
        let caller = &self.caller;
        let origin = find_origin(&self.context, &caller.service, caller.head.first_attempt.as_ref()).await;
        request_log::origin_found(&self.context, caller, &origin);
        self.origin.insert(origin).clone()
    }

    async fn open(&mut self, choice: EngineChoice) -> std::result::Result<(), AttemptFailure> {
        let EngineChoice { slot, from, backup, prompt_at } = choice;
        let headers = AttemptHeaders {
            endpoint: Some(Name::clone(&slot.target.entry)),
            account: self.caller.account.as_ref().map(|account| Arc::clone(&account.name)),
            time_left: self.caller.time_left(self.context.timer.now()),
            priority: Some(self.caller.priority()),
            weights: self.weights,
            cursor: self.sequencer.last(),
            backup_at: backup.as_ref().map(|backup| backup.source.address),
            backup_from: from,
            prompt_at,
        };
        let start = AttemptStart { sent_at: self.context.timer.now(), is_first: self.is_first() };
        request_log::attempt_placed(&self.context, &self.caller, &slot, &headers);
        let response = self.await_head(&slot, &headers).await?;
        if let Some(load) = response.head.load {
            self.context.endpoints.record_load(slot.id(), load);
        }
        match evaluate_answer(self.caller.route.kind, &self.caller.head.attempt_id, &slot.target.entry, &response.head)
        {
            AnswerVerdict::Pass if response.parts.status.is_success() => {
                self.first_head.get_or_insert_with(|| response.parts.clone());
                self.weights = self.weights.or(response.head.weights);
                let replicator = self.start_replicator(&slot, backup);
                self.live = Some(LiveAttempt::new(slot, response, replicator, start));
                Ok(())
            }
            AnswerVerdict::Pass if self.sequencer.delivered() == 0 => self.forward_buffered(slot, response).await,
            AnswerVerdict::Pass | AnswerVerdict::PassOrRetry => Err(AttemptFailure::Failed),
            AnswerVerdict::Fail(failure) => Err(failure),
        }
    }

    /// Whether the next attempt begins the generation rather than resuming it.
    fn is_first(&self) -> bool {
        self.tried.is_empty() && self.caller.head.cursor.is_none()
    }

    fn start_replicator(&self, slot: &EndpointSlot, first: Option<BackupLocation>) -> Option<BackupReplicator> {
        let has_moves = self.caller.engine.is_some_and(|engine| engine.has_moves);
        let is_needed = self.caller.route.kind.is_repeatable() && (has_moves || first.is_some());
        is_needed.then(|| BackupReplicator::start(&self.context, &self.caller, slot.target.clone(), first))
    }

    /// Takes a response that is not a stream, to be returned to the caller.
    async fn forward_buffered(
        &mut self,
        slot: EndpointSlot,
        response: OpenResponse,
    ) -> std::result::Result<(), AttemptFailure> {
        let mut response = response.read_for_caller(&self.context, &self.caller, slot.id()).await?;
        response.hold_slot(slot);
        self.plain_response = Some(response);
        Ok(())
    }

    async fn await_head(
        &self,
        slot: &EndpointSlot,
        headers: &AttemptHeaders,
    ) -> std::result::Result<OpenResponse, AttemptFailure> {
        let tokens = match headers.backup_from {
            Some(_) => 0,
            None => self.caller.head.prompt.unwrap_or_default().prompt_tokens,
        };
        let mut watch = LivenessWatch::before_first(tokens);
        let mut sent = std::pin::pin!(send_attempt(&self.context, &self.caller, &slot.target, headers));
        loop {
            let limit = watch.limit(self.caller.time_left(self.context.timer.now()));
            if let Some(outcome) = self.context.timer.within(limit, sent.as_mut()).await {
                return outcome;
            }
            watch.check(&self.context, &self.caller, &slot.target, 0).await?;
        }
    }
}
