use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use hollyhook_core::{
    AnswerVerdict, AttemptFailure, AttemptLedger, EndpointId, Error, ErrorKind, EventRelay, Name, Result, StopReason,
    judge_answer,
};
use hollyhook_platform::{AttemptHeaders, remove_hop_headers};
use http::Response;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::attempt::{EndpointPlace, OpenAnswer, WholeAnswer, send_attempt};
use super::attempt_end::end_attempt;
use super::backup_keeper::BackupKeeper;
use super::crash_check::{SURVIVAL, check_crash, record_given_up, record_survival};
use super::engine_choice::{BackupPlace, EngineChoice, EngineChooser};
use super::live_attempt::{AttemptStart, LiveAttempt, PieceEnd};
use super::request_log;
use super::silence_watch::SilenceWatch;
use super::stream_pace::StreamPace;
use super::version_note::{VersionTimes, note_version};
use crate::front::{AnswerBody, CallerRequest};
use crate::gateway::GatewayContext;

/// Attempts that engines may turn away before a caller is told to come back.
const MOST_TURNED_AWAY: u32 = 4;
/// When to come back after every engine turned a generation away.
const BUSY_RETRY: Duration = Duration::from_millis(500);

/// Forwards a stream; returns when its first event is there.
pub(super) async fn forward_stream(
    context: &Arc<GatewayContext>,
    caller: CallerRequest,
) -> Result<Response<AnswerBody>> {
    let mut run = StreamRun::new(Arc::clone(context), Arc::new(caller));
    let first = match run.next().await {
        Some(Ok(bytes)) => bytes,
        Some(Err(error)) => return Err(error),
        None => Bytes::new(),
    };
    if let Some(answer) = run.refusal.take() {
        return Ok(answer.into_response());
    }
    let Some(mut parts) = run.first_head.take() else {
        return Err(Error::new(ErrorKind::Internal, "a stream began without a head"));
    };
    remove_hop_headers(&mut parts.headers);
    // The length is that of one attempt, and the stream may go on at another.
    parts.headers.remove(CONTENT_LENGTH);
    let state = StreamState { first: Some(first), run };
    let body = StreamBody::new(stream::unfold(state, next_frame)).boxed_unsync();
    Ok(Response::from_parts(parts, body))
}

struct StreamState {
    first: Option<Bytes>,
    run: StreamRun,
}

async fn next_frame(mut state: StreamState) -> Option<(Result<Frame<Bytes>>, StreamState)> {
    let next = match state.first.take() {
        Some(first) if first.is_empty() => None,
        Some(first) => Some(Ok(first)),
        None => state.run.next().await,
    };
    next.map(|outcome| (outcome.map(Frame::data), state))
}

/// A stream over all attempts at it.
struct StreamRun {
    context: Arc<GatewayContext>,
    caller: Arc<CallerRequest>,
    relay: EventRelay,
    pace: StreamPace,
    live: Option<LiveAttempt>,
    /// Where a copy lies of the memory of the attempt that was lost.
    held: Option<BackupPlace>,
    first_head: Option<Parts>,
    /// The weights that generated what the caller has; other ones would not continue it.
    weights: Option<u64>,
    /// An answer that is no stream, to be passed on as it is.
    refusal: Option<WholeAnswer>,
    tried: Vec<EndpointId>,
    ledger: AttemptLedger,
    is_over: bool,
}

impl StreamRun {
    fn new(context: Arc<GatewayContext>, caller: Arc<CallerRequest>) -> Self {
        let relay = EventRelay::new(caller.head.cursor);
        let is_back = caller.head.cursor.is_some();
        let pace = if is_back { StreamPace::returning(caller.arrived) } else { StreamPace::default() };
        let ledger = AttemptLedger::for_route(&caller.route, MOST_TURNED_AWAY);
        Self {
            context,
            caller,
            relay,
            pace,
            live: None,
            held: None,
            first_head: None,
            weights: None,
            refusal: None,
            tried: Vec::new(),
            ledger,
            is_over: false,
        }
    }

    /// The next bytes for the caller; none at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes>> {
        if self.is_over {
            return None;
        }
        loop {
            if let Err(error) = self.ensure_live().await {
                return Some(Err(self.end(error)));
            }
            if self.refusal.is_some() {
                self.is_over = true;
                return None;
            }
            let Some(live) = self.live.as_mut() else {
                continue;
            };
            match live.next_piece(&self.context, &self.caller, &mut self.relay).await {
                PieceEnd::Bytes(bytes) => {
                    if let Some(resume) = self.pace.note(self.context.timer.now()) {
                        request_log::resumed(&self.context, &self.caller, &resume);
                    }
                    return Some(Ok(bytes));
                }
                PieceEnd::Complete => {
                    self.complete();
                    return None;
                }
                PieceEnd::Failure(failure) => {
                    if let Err(error) = self.leave(failure).await {
                        return Some(Err(self.end(error)));
                    }
                }
            }
        }
    }

    fn complete(&mut self) {
        self.is_over = true;
        if let Some(live) = self.live.take() {
            self.context.endpoints.note_outcome(live.place.id(), None);
            let times = live.times(self.context.timer.now());
            note_version(&self.context, &self.caller, &live.place.target, None, times);
            live.answer.release(&self.context, live.place.id());
        }
        record_survival(&self.context, &self.caller);
        request_log::streamed(&self.context, &self.caller, &self.pace, self.ledger.attempts() + 1);
    }

    fn end(&mut self, error: Error) -> Error {
        self.is_over = true;
        self.live = None;
        request_log::ended(&self.context, &self.caller, &error, self.ledger.attempts());
        record_given_up(&self.context, &self.caller);
        error
    }

    /// Counts a failed attempt and says whether another may follow.
    async fn leave(&mut self, failure: AttemptFailure) -> Result<()> {
        let Some(live) = self.live.take() else {
            return Ok(());
        };
        self.pace.note_loss(failure.as_str());
        // Dropping the attempt closes its connection, which stops the old run.
        let target = live.place.target.clone();
        let times = live.times(self.context.timer.now());
        note_version(&self.context, &self.caller, &target, Some(failure), times);
        let has_survived = live.event_span(self.context.timer.now()) >= SURVIVAL;
        self.held = live.keeper.as_ref().and_then(BackupKeeper::take);
        drop(live);
        if has_survived {
            record_survival(&self.context, &self.caller);
        } else {
            check_crash(&self.context, &self.caller, &target, failure).await;
        }
        self.fail(&target.id, failure)
    }

    fn fail(&mut self, id: &EndpointId, failure: AttemptFailure) -> Result<()> {
        self.context.endpoints.note_outcome(id, Some(failure));
        request_log::attempt_failed(&self.context, &self.caller, id, failure, self.relay.last());
        self.tried.push(EndpointId::clone(id));
        match end_attempt(&self.context, &self.caller, &mut self.ledger, failure) {
            Some(reason) => Err(self.ended_by(reason)),
            None => Ok(()),
        }
    }

    fn ended_by(&self, reason: StopReason) -> Error {
        self.ledger.end(reason, self.relay.delivered(), BUSY_RETRY)
    }

    /// Opens an attempt if there is none.
    async fn ensure_live(&mut self) -> Result<()> {
        while self.live.is_none() && self.refusal.is_none() {
            let held = self.held.take();
            let rule = self.context.rollouts.rule(&self.caller.service, self.is_first()).unwrap_or_default();
            let chooser =
                EngineChooser { context: &self.context, caller: &self.caller, tried: &self.tried, versions: &rule };
            let mut choice = chooser.choose(held).await;
            if choice.is_err() && rule.only.is_some() {
                // Nothing is refused for what the few endpoints on trial carry.
                let rule = self.context.rollouts.rule(&self.caller.service, false).unwrap_or_default();
                choice = EngineChooser { versions: &rule, ..chooser }.choose(None).await;
            }
            let choice = choice.map_err(|lack| {
                let retry = lack.pause.max(BUSY_RETRY);
                self.ledger.end(lack.reason, self.relay.delivered(), retry)
            })?;
            let target = choice.place.target.clone();
            let sent_at = self.context.timer.now();
            if let Err(failure) = self.open(choice).await {
                let took = self.context.timer.now().since(sent_at);
                let first = Some(took).filter(|_| self.is_first());
                note_version(&self.context, &self.caller, &target, Some(failure), VersionTimes { first, gap: None });
                check_crash(&self.context, &self.caller, &target, failure).await;
                self.fail(&target.id, failure)?;
            }
        }
        Ok(())
    }

    async fn open(&mut self, choice: EngineChoice) -> std::result::Result<(), AttemptFailure> {
        let EngineChoice { place, from, backup, prompt_at } = choice;
        let headers = AttemptHeaders {
            endpoint: Some(Name::clone(&place.target.entry)),
            account: self.caller.account.as_ref().map(|account| Arc::clone(&account.name)),
            time_left: self.caller.time_left(self.context.timer.now()),
            rank: Some(self.caller.rank()),
            weights: self.weights,
            cursor: self.relay.last(),
            backup_at: backup.as_ref().map(|backup| backup.source.address),
            backup_from: from,
            prompt_at,
        };
        let start = AttemptStart { sent_at: self.context.timer.now(), is_first: self.is_first() };
        request_log::attempt_placed(&self.context, &self.caller, &place, &headers);
        let answer = self.open_head(&place, &headers).await?;
        if let Some(load) = answer.head.load {
            self.context.endpoints.note_load(place.id(), load);
        }
        match judge_answer(self.caller.route.kind, &self.caller.head.attempt_id, &place.target.entry, &answer.head) {
            AnswerVerdict::Pass if answer.parts.status.is_success() => {
                self.first_head.get_or_insert_with(|| answer.parts.clone());
                self.weights = self.weights.or(answer.head.weights);
                let keeper = self.keep_backup(&place, backup);
                self.live = Some(LiveAttempt::new(place, answer, keeper, start));
                Ok(())
            }
            AnswerVerdict::Pass if self.relay.delivered() == 0 => self.pass_on(&place, answer).await,
            AnswerVerdict::Pass | AnswerVerdict::PassOrRetry => Err(AttemptFailure::Failed),
            AnswerVerdict::Fail(failure) => Err(failure),
        }
    }

    /// Whether the next attempt begins the generation, rather than going on with it.
    fn is_first(&self) -> bool {
        self.tried.is_empty() && self.caller.head.cursor.is_none()
    }

    fn keep_backup(&self, place: &EndpointPlace, first: Option<BackupPlace>) -> Option<BackupKeeper> {
        let has_moves = self.caller.engine.is_some_and(|engine| engine.has_moves);
        let is_kept = self.caller.route.kind.is_repeatable() && (has_moves || first.is_some());
        is_kept.then(|| BackupKeeper::start(&self.context, &self.caller, place.target.clone(), first))
    }

    /// Passes an answer on that is no stream.
    async fn pass_on(&mut self, place: &EndpointPlace, answer: OpenAnswer) -> std::result::Result<(), AttemptFailure> {
        self.refusal = Some(answer.read_whole(&self.context, place.id()).await?);
        Ok(())
    }

    async fn open_head(
        &self,
        place: &EndpointPlace,
        headers: &AttemptHeaders,
    ) -> std::result::Result<OpenAnswer, AttemptFailure> {
        let tokens = match headers.backup_from {
            Some(_) => 0,
            None => self.caller.head.prompt.unwrap_or_default().prompt_tokens,
        };
        let mut watch = SilenceWatch::before_first(tokens);
        let mut sent = std::pin::pin!(send_attempt(&self.context, &self.caller, &place.target, headers));
        loop {
            let limit = watch.limit(self.caller.time_left(self.context.timer.now()));
            if let Some(outcome) = self.context.timer.within(limit, sent.as_mut()).await {
                return outcome;
            }
            watch.check(&self.context, &self.caller, &place.target, 0).await?;
        }
    }
}
