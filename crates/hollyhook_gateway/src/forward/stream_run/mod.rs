//! A caller's stream over all attempts at its generation.

mod attempt_close;
mod attempt_start;
mod stream_attempt;

use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::{
    AttemptFailure, AttemptLedger, AttemptRace, BodyEnd, EndVerdict, EndpointId, EventSequencer, LivenessVerdict, Name,
    RaceStep, Result, StreamOrigin, TimePoint, VersionOutcome,
};
use http::response::Parts;
use hyper::body::Frame;

use self::stream_attempt::{AttemptSignal, AttemptState, OpenedAttempt, OpeningAttempt, StreamAttempt};
use super::attempt::OpenResponse;
use super::attempt_times::record_version_outcome;
use super::backup_replicator::BackupReplicator;
use super::body_end::is_engine_alive;
use super::buffered_response::BufferedResponse;
use super::engine_choice::{BackupLocation, EngineChoice};
use super::live_attempt::LiveAttempt;
use super::request_log;
use super::stream_migration::StreamMigration;
use super::stream_timing::StreamTiming;
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;
use crate::origin::OriginSharer;
use crate::sync::OwnedFuture;

/// Maximum number of attempts that engines reject, or that fail to connect, before the caller is told to retry later.
const MAX_REJECTED: u32 = 4;
/// How often a stream whose attempts are suspected, or have sent no event yet, looks at what is known of engines.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the version of a running stream is recorded again for other hosts, which would forget it.
const ORIGIN_INTERVAL: Duration = Duration::from_secs(20);

/// A caller's stream over all attempts at its generation.
pub(super) struct StreamRun {
    pub(super) context: Arc<GatewayContext>,
    caller: Arc<CallerRequest>,
    sequencer: EventSequencer,
    timing: StreamTiming,
    migration: StreamMigration,
    race: AttemptRace,
    attempts: Vec<StreamAttempt>,
    /// The search for an engine for an attempt beside those that are suspected.
    search: Option<OwnedFuture<Option<EngineChoice>>>,
    /// When the next such search may begin.
    search_at: TimePoint,
    /// Backup of the lost attempt's KV cache, for the next attempt to resume from.
    resume_from: Option<BackupLocation>,
    /// The head for the caller: that of the attempt that sent the first event.
    pub(super) first_head: Option<Parts>,
    /// Version of the weights that generated the events so far; other weights would not continue the same text.
    weights: Option<u64>,
    /// The software versions that may write the next events; `None` until they have been looked up.
    origin: Option<StreamOrigin>,
    /// When the version of the events that this host delivers was last recorded for other hosts.
    origin_recorded_at: Option<TimePoint>,
    /// An endpoint's response that is not a stream, to be returned to the caller unchanged.
    pub(super) plain_response: Option<BufferedResponse>,
    /// Engines that attempts were sent to.
    tried: Vec<EndpointId>,
    /// For how long lost attempts had sent events, all together.
    run_time: Duration,
    ledger: AttemptLedger,
    has_ended: bool,
}

/// What a stream waits for.
enum StreamSignal {
    /// A signal of the attempt at this index.
    Attempt(usize, AttemptSignal),
    /// The search has ended.
    Found(Option<Box<EngineChoice>>),
}

impl StreamRun {
    pub(super) fn new(context: Arc<GatewayContext>, caller: Arc<CallerRequest>) -> Self {
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
            race: AttemptRace::default(),
            attempts: Vec::new(),
            search: None,
            search_at: TimePoint::ZERO,
            resume_from: None,
            first_head: None,
            weights: None,
            origin: (!is_resumed).then_some(StreamOrigin::Open),
            origin_recorded_at: None,
            plain_response: None,
            tried: Vec::new(),
            run_time: Duration::ZERO,
            ledger,
            has_ended: false,
        }
    }

    /// The next bytes for the caller; `None` at the end of the stream.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes>> {
        if self.has_ended {
            return None;
        }
        let now = self.context.timer.now();
        for live in self.attempts.iter_mut().filter_map(StreamAttempt::live_mut) {
            live.drop_sample_after_pause(now);
        }
        loop {
            match self.advance().await {
                Ok(StreamStep::Continue) => {}
                Ok(StreamStep::Deliver(bytes)) => return Some(Ok(bytes)),
                Ok(StreamStep::End) => {
                    self.has_ended = true;
                    return None;
                }
                Err(error) => return Some(Err(self.finish_with_error(error))),
            }
        }
    }

    /// Takes the next step: begins an attempt, or waits for a signal and evaluates it.
    ///
    /// # Errors
    ///
    /// The error for the caller if no attempt is open and no further one may be made.
    async fn advance(&mut self) -> Result<StreamStep> {
        self.settle_race();
        match self.race.next_step(&self.ledger) {
            RaceStep::Begin => {
                self.search = None;
                let choice = self.choose_at_turn().await?;
                self.begin_attempt(choice);
            }
            RaceStep::BeginBeside => self.begin_search(),
            RaceStep::Wait => self.search = None,
        }
        if self.migrate_if_late().await {
            return Ok(StreamStep::Continue);
        }
        // Not only after a timeout: an engine that never stops sending would prevent it.
        self.check_silent();
        let limit = self.wait_limit();
        let timer = Arc::clone(&self.context.timer);
        match timer.within(limit, poll_fn(|task| self.poll_signal(task))).await {
            Some(StreamSignal::Attempt(index, signal)) => self.handle_signal(index, signal).await,
            Some(StreamSignal::Found(choice)) => {
                self.search = None;
                self.begin_beside(choice.map(|choice| *choice));
                Ok(StreamStep::Continue)
            }
            None => self.handle_timeout().await.map(|()| StreamStep::Continue),
        }
    }

    fn poll_signal(&mut self, task: &mut Context<'_>) -> Poll<StreamSignal> {
        self.record_sent();
        for (index, attempt) in self.attempts.iter_mut().enumerate() {
            let is_held = self.race.is_held(attempt.key);
            if let Poll::Ready(signal) = attempt.poll_signal(task, is_held) {
                return Poll::Ready(StreamSignal::Attempt(index, signal));
            }
        }
        match &mut self.search {
            Some(search) => search.poll(task).map(|choice| StreamSignal::Found(choice.map(Box::new))),
            None => Poll::Pending,
        }
    }

    /// How long to wait for a signal at most.
    fn wait_limit(&self) -> Duration {
        let now = self.context.timer.now();
        let is_due_often = |attempt: &StreamAttempt| self.race.is_suspected(attempt.key) || !attempt.has_begun();
        let search_at = self.attempts.iter().any(is_due_often).then_some(now + SEARCH_INTERVAL);
        let checks = self.attempts.iter().filter_map(StreamAttempt::check_at);
        let next = checks.chain(search_at).chain(self.race.settle_at()).min();
        let time_left = self.caller.time_left(now);
        next.map_or(time_left, |at| at.since(now).min(time_left))
    }

    async fn handle_signal(&mut self, index: usize, signal: AttemptSignal) -> Result<StreamStep> {
        match signal {
            AttemptSignal::Opened(Ok(OpenedAttempt::Stream(response))) => {
                self.begin_events(index, *response);
                Ok(StreamStep::Continue)
            }
            AttemptSignal::Opened(Ok(OpenedAttempt::Plain(response))) => self.take_plain(index, *response).await,
            AttemptSignal::Opened(Err(failure)) => self.abandon(index, failure).await,
            AttemptSignal::Frame(Some(Ok(frame))) => self.receive(index, frame).await,
            AttemptSignal::Frame(Some(Err(_error))) => self.abandon(index, AttemptFailure::Broken).await,
            AttemptSignal::Frame(None) => self.end_body(index).await,
            AttemptSignal::Report(report) => {
                let attempt = &mut self.attempts[index];
                let delivered = attempt.live().map_or(0, |live| live.delivered(&self.sequencer));
                let (now, id) = (self.context.timer.now(), &self.caller.head.attempt_id);
                match attempt.watch.record_report(now, report.as_ref(), id, delivered) {
                    LivenessVerdict::Wait => self.trust(index),
                    LivenessVerdict::Suspect => self.suspect(index, report.is_some()),
                    LivenessVerdict::Lost => {
                        // An engine that denies a run and still sends bytes on its connection is at fault.
                        let is_at_fault = attempt.live().is_some_and(LiveAttempt::has_idle_bytes);
                        let failure = if is_at_fault { AttemptFailure::Failed } else { AttemptFailure::Silent };
                        return self.abandon(index, failure).await;
                    }
                }
                Ok(StreamStep::Continue)
            }
        }
    }

    /// Ends the stream if the caller's time is up, and abandons suspected attempts whose engine is gone.
    async fn handle_timeout(&mut self) -> Result<()> {
        if self.is_time_up() {
            while !self.attempts.is_empty() {
                self.abandon(0, AttemptFailure::Expired).await?;
            }
            return Ok(());
        }
        let is_gone = |attempt: &StreamAttempt| {
            self.race.is_suspected(attempt.key) && !self.context.endpoints.is_known(&attempt.target.id)
        };
        if let Some(index) = self.attempts.iter().position(is_gone) {
            self.abandon(index, AttemptFailure::Silent).await?;
        }
        Ok(())
    }

    fn is_time_up(&self) -> bool {
        self.caller.time_left(self.context.timer.now()).is_zero()
    }

    /// Probes the engines of attempts that have been silent for too long.
    fn check_silent(&mut self) {
        let now = self.context.timer.now();
        for index in 0..self.attempts.len() {
            let attempt = &mut self.attempts[index];
            let is_heard = self.race.is_suspected(attempt.key) && self.context.endpoints.is_alive(&attempt.target.id);
            if is_heard && attempt.watch.record_heard(now) {
                self.trust(index);
            }
        }
        for attempt in &mut self.attempts {
            // Another stream has found the engine silent, long before this one could while its prompt is read.
            let is_suspected = self.race.is_suspected(attempt.key);
            let is_found_silent =
                !is_suspected && !attempt.has_begun() && self.context.endpoints.is_silent(&attempt.target.id);
            if attempt.check_at().is_some_and(|at| at <= now || is_found_silent) {
                // What made the engine seem silent may have been a placement probe, which is shorter.
                attempt.begin_probe(&self.context, !is_found_silent);
            }
        }
    }

    /// Suspects an attempt, whose engine reports or does not.
    fn suspect(&mut self, index: usize, is_reported: bool) {
        let attempt = &self.attempts[index];
        if is_reported && attempt.has_begun() {
            self.context.endpoints.record_stall(&attempt.target.id);
        }
        if self.race.suspect(attempt.key) {
            let silent = self.context.timer.now().since(attempt.watch.silent_since());
            request_log::attempt_suspected(&self.context, &self.caller, &attempt.target.id, silent);
        }
    }

    fn trust(&mut self, index: usize) {
        let attempt = &self.attempts[index];
        if self.race.trust(attempt.key) {
            let silent = self.context.timer.now().since(attempt.watch.silent_since());
            request_log::attempt_trusted(&self.context, &self.caller, &attempt.target.id, silent);
        }
    }

    /// Evaluates a frame of the response body of an attempt.
    async fn receive(&mut self, index: usize, frame: Frame<Bytes>) -> Result<StreamStep> {
        let (context, caller) = (Arc::clone(&self.context), Arc::clone(&self.caller));
        let attempt = &mut self.attempts[index];
        let (Some(live), Ok(data)) = (attempt.live_mut(), frame.into_data()) else {
            return Ok(StreamStep::Continue);
        };
        let known_events = self.sequencer.delivered();
        let progress = live.receive(&context, &caller, &mut self.sequencer, &data);
        let is_faulty = live.is_faulty();
        if progress.has_advanced {
            self.trust(index);
            self.attempts[index].record_event(context.timer.now());
        }
        let Some(bytes) = progress.bytes else {
            if is_faulty {
                // A crash cuts a stream off; bytes that can't be delivered are a fault of the engine's own.
                return self.abandon(index, AttemptFailure::Failed).await;
            }
            if self.is_time_up() {
                self.handle_timeout().await?;
            }
            return Ok(StreamStep::Continue);
        };
        if self.sequencer.delivered() > known_events {
            self.win(index);
            if known_events == 0 && !self.wait_recorded().await {
                return self.handle_timeout().await.map(|()| StreamStep::Continue);
            }
        }
        Ok(StreamStep::Deliver(bytes))
    }

    /// Waits, before the first event of a stream, until its version outlives all hosts; false if the caller's time is up.
    async fn wait_recorded(&self) -> bool {
        let (caller, Some(StreamOrigin::Version(version))) = (&self.caller, &self.origin) else {
            return true;
        };
        let time_left = caller.time_left(self.context.timer.now());
        self.context.snapshots.wait_recorded(caller.first_attempt(), &caller.service, version, time_left).await
    }

    /// Records that an attempt has sent events that the caller does not have yet, and cancels the others.
    fn win(&mut self, index: usize) {
        let key = self.attempts[index].key;
        self.search = None;
        if self.race.open_count() > 1 {
            for loser in self.race.win(key) {
                self.cancel(loser, key);
            }
        }
        let Some(live) = self.attempts.iter().find(|attempt| attempt.key == key).and_then(StreamAttempt::live) else {
            return;
        };
        if self.first_head.is_none() {
            self.first_head = Some(live.response.parts.clone());
        }
        let now = self.context.timer.now();
        if self.origin_recorded_at.is_none_or(|at| now.since(at) >= ORIGIN_INTERVAL) {
            let version = Name::clone(&live.slot.target.version);
            self.record_origin(now, version);
        }
        if let Some(resume) = self.timing.record_event(now) {
            request_log::resumed(&self.context, &self.caller, &resume);
        }
    }

    /// Ends the live attempt if the stream would end in time only at another engine; returns whether the attempt was
    /// ended.
    async fn migrate_if_late(&mut self) -> bool {
        if self.ledger.is_last() || !self.sequencer.can_resume() {
            return false;
        }
        let [attempt] = &*self.attempts else {
            return false;
        };
        let Some(live) = attempt.live().filter(|_| !self.race.is_suspected(attempt.key)) else {
            return false;
        };
        let last_event = self.sequencer.last();
        let Some(location) = self.migration.try_migrate(&self.context, &self.caller, live, last_event).await else {
            return false;
        };
        // The replicator frees the backup that it still has when the attempt is dropped.
        let _used = attempt.take_backup();
        self.timing.record_loss("migrated");
        self.ledger.record_migration();
        self.resume_from = Some(location);
        self.race.remove(attempt.key);
        self.attempts.clear();
        true
    }

    /// Binds the stream to the version of the first event that this host delivers, and records it for other hosts.
    fn record_origin(&mut self, now: TimePoint, version: Name) {
        self.origin_recorded_at = Some(now);
        self.origin = Some(StreamOrigin::Version(Name::clone(&version)));
        let (first_attempt, service) = (self.caller.first_attempt(), &self.caller.service);
        OriginSharer::record(&self.context, Name::clone(first_attempt), Name::clone(service), version);
    }

    /// Begins to forward the events of an attempt whose head has been accepted.
    fn begin_events(&mut self, index: usize, response: OpenResponse) {
        let attempt = &mut self.attempts[index];
        let AttemptState::Opening(opening) = std::mem::replace(&mut attempt.state, AttemptState::Closed) else {
            return;
        };
        let OpeningAttempt { slot, backup, .. } = *opening;
        self.weights = self.weights.or(response.head.weights);
        let has_moves = self.caller.engine.is_some_and(|engine| engine.has_moves);
        let is_replicated = self.caller.route.kind.is_repeatable() && (has_moves || backup.is_some());
        let replicator =
            is_replicated.then(|| BackupReplicator::start(&self.context, &self.caller, attempt.target.clone(), backup));
        attempt.begin_events(self.context.timer.now(), slot, response, replicator);
        self.race.record_accepted(attempt.key);
        self.trust(index);
    }

    /// Evaluates the end of the response body of an attempt.
    async fn end_body(&mut self, index: usize) -> Result<StreamStep> {
        let attempt = &self.attempts[index];
        let Some(live) = attempt.live().filter(|live| live.has_whole_stream(&self.sequencer)) else {
            return self.abandon(index, AttemptFailure::Garbled).await;
        };
        let end = BodyEnd {
            is_stated: live.response.has_stated_end(),
            is_stop_ordered: self.migration.has_ordered_since(live.sent_at()),
        };
        let is_complete = match end.verdict() {
            EndVerdict::Complete => true,
            EndVerdict::Unproven => is_engine_alive(&self.context, &attempt.target).await,
            EndVerdict::Stopped => false,
        };
        if !is_complete {
            // Another engine sends the rest, which is empty if the stream was complete.
            return self.abandon(index, AttemptFailure::Broken).await;
        }
        self.complete(index);
        Ok(StreamStep::End)
    }

    /// Takes a response that is not a stream, to be returned to the caller, unless the caller has events already.
    async fn take_plain(&mut self, index: usize, mut response: BufferedResponse) -> Result<StreamStep> {
        if self.sequencer.delivered() > 0 {
            return self.abandon(index, AttemptFailure::Failed).await;
        }
        let mut attempt = self.attempts.swap_remove(index);
        let outcome = Some(VersionOutcome::of_answer(response.parts.status.as_u16()));
        let times = attempt.times(self.context.timer.now());
        record_version_outcome(&self.context, &self.caller, &attempt.target, outcome, times);
        if let AttemptState::Opening(opening) = std::mem::replace(&mut attempt.state, AttemptState::Closed) {
            response.hold_slot(opening.slot);
        }
        self.attempts.clear();
        self.plain_response = Some(response);
        Ok(StreamStep::End)
    }
}

impl Drop for StreamRun {
    fn drop(&mut self) {
        self.context.snapshots.record_ended(self.caller.first_attempt());
    }
}

/// What a step of a stream yields.
enum StreamStep {
    /// Nothing for the caller.
    Continue,
    /// Events for the caller.
    Deliver(Bytes),
    /// The stream or the response is complete.
    End,
}
