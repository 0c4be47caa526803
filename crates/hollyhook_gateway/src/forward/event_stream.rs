use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use hollyhook_core::{
    AnswerVerdict, AttemptFailure, EndpointId, Error, ErrorKind, EventCutter, EventRelay, PieceVerdict, Result,
    SilenceJudge, SilenceVerdict, judge_answer,
};
use hollyhook_platform::{AttemptHeaders, remove_hop_headers};
use http::Response;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::attempt::{EndpointPlace, OpenAnswer, WholeAnswer, send_attempt};
use super::backup_keeper::BackupKeeper;
use super::endpoint_probe::ask_silent;
use super::engine_choice::{BackupPlace, EngineChoice, EngineChooser};
use super::request_log;
use super::stream_pace::StreamPace;
use crate::front::{AnswerBody, CallerRequest};
use crate::gateway::GatewayContext;

/// Silence between two events after which the engine is asked whether it lives. Half of the pause that callers bear,
/// so that a resume fits into the other half; an engine that reads another prompt between steps pauses for 0.2 s.
const EVENT_SILENCE: Duration = Duration::from_millis(350);
/// Silence before the first event after which the engine is asked, beyond the time to read the prompt.
const FIRST_SILENCE: Duration = Duration::from_millis(500);
/// Tokens of a prompt that an engine reads in a millisecond, by the deployments' sheets.
const PROMPT_TOKENS_PER_MS: u64 = 8;
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

/// One attempt whose events are being passed on.
struct LiveAttempt {
    place: EndpointPlace,
    answer: OpenAnswer,
    cutter: EventCutter,
    has_event: bool,
    keeper: Option<BackupKeeper>,
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
    runs: u32,
    turned_away: u32,
    is_over: bool,
}

enum PieceEnd {
    Bytes(Bytes),
    Complete,
    Failure(AttemptFailure),
}

impl StreamRun {
    fn new(context: Arc<GatewayContext>, caller: Arc<CallerRequest>) -> Self {
        let relay = EventRelay::new(caller.head.cursor);
        Self {
            context,
            caller,
            relay,
            pace: StreamPace::default(),
            live: None,
            held: None,
            first_head: None,
            weights: None,
            refusal: None,
            tried: Vec::new(),
            runs: 0,
            turned_away: 0,
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
            match self.next_piece().await {
                PieceEnd::Bytes(bytes) => {
                    self.pace.note(self.context.timer.now());
                    return Some(Ok(bytes));
                }
                PieceEnd::Complete => {
                    self.complete();
                    return None;
                }
                PieceEnd::Failure(failure) => {
                    if let Err(error) = self.leave(failure) {
                        return Some(Err(self.end(error)));
                    }
                }
            }
        }
    }

    fn complete(&mut self) {
        self.is_over = true;
        if let Some(live) = self.live.take() {
            self.context.note_outcome(live.place.id(), None);
            live.answer.release(&self.context, live.place.id());
        }
        request_log::streamed(&self.context, &self.caller, &self.pace, self.runs + self.turned_away + 1);
    }

    fn end(&mut self, error: Error) -> Error {
        self.is_over = true;
        self.live = None;
        request_log::ended(&self.context, &self.caller, &error, self.runs + self.turned_away);
        error
    }

    /// Counts a failed attempt and says whether another may follow.
    fn leave(&mut self, failure: AttemptFailure) -> Result<()> {
        let Some(live) = self.live.take() else {
            return Ok(());
        };
        self.pace.note_loss();
        // Dropping the attempt closes its connection, which stops the old run.
        let id = EndpointId::clone(live.place.id());
        self.held = live.keeper.as_ref().and_then(BackupKeeper::take);
        drop(live);
        self.fail(&id, failure)
    }

    fn fail(&mut self, id: &EndpointId, failure: AttemptFailure) -> Result<()> {
        self.context.note_outcome(id, Some(failure));
        request_log::attempt_failed(&self.context, &self.caller, id, failure, self.relay.last());
        self.tried.push(EndpointId::clone(id));
        if failure.is_not_run() {
            self.turned_away += 1;
        } else {
            self.runs += 1;
        }
        match self.reason_to_stop() {
            None => Ok(()),
            Some(why) if self.runs == 0 => Err(Error::new(ErrorKind::NotRun, why).retry_after(BUSY_RETRY)),
            Some(why) if self.relay.delivered() == 0 => Err(Error::new(ErrorKind::OutcomeUnknown, why)),
            Some(why) => Err(Error::new(ErrorKind::GenerationLost, why)),
        }
    }

    fn reason_to_stop(&self) -> Option<&'static str> {
        if self.runs > 0 && !self.caller.route.kind.is_repeatable() {
            return Some("the stream was cut off and may not be resumed");
        }
        if self.runs >= self.caller.route.most_attempts {
            return Some("the stream was cut off as often as its route allows");
        }
        if self.turned_away >= MOST_TURNED_AWAY {
            return Some("every engine that was asked turned the generation away");
        }
        if self.caller.time_left(self.context.timer.now()).is_zero() {
            return Some("the caller's time is up");
        }
        (!self.context.try_retry(&self.caller.service)).then_some("the retry budget of the service is spent")
    }

    /// Opens an attempt if there is none.
    async fn ensure_live(&mut self) -> Result<()> {
        while self.live.is_none() && self.refusal.is_none() {
            let held = self.held.take();
            let chooser = EngineChooser { context: &self.context, caller: &self.caller, tried: &self.tried };
            let Some(choice) = chooser.choose(held).await else {
                return Err(self.no_place());
            };
            let id = EndpointId::clone(choice.place.id());
            if let Err(failure) = self.open(choice).await {
                self.fail(&id, failure)?;
            }
        }
        Ok(())
    }

    fn no_place(&self) -> Error {
        let why = "no engine of the service is left";
        match (self.runs, self.relay.delivered()) {
            (0, _) => Error::new(ErrorKind::NoEndpoint, why).retry_after(BUSY_RETRY),
            (_, 0) => Error::new(ErrorKind::OutcomeUnknown, why),
            _ => Error::new(ErrorKind::GenerationLost, why),
        }
    }

    async fn open(&mut self, choice: EngineChoice) -> std::result::Result<(), AttemptFailure> {
        let EngineChoice { place, from, backup } = choice;
        let headers = AttemptHeaders {
            endpoint: Some(EndpointId::clone(place.id())),
            account: self.caller.account.as_ref().map(|account| Arc::clone(&account.name)),
            time_left: self.caller.time_left(self.context.timer.now()),
            rank: Some(self.caller.rank()),
            weights: self.weights,
            cursor: self.relay.last(),
            backup_at: backup.as_ref().map(|backup| backup.source.address),
            backup_from: from,
        };
        request_log::attempt_placed(&self.context, &self.caller, &place, &headers);
        let answer = self.open_head(&place, &headers).await?;
        if let Some(load) = answer.head.load {
            self.context.note_load(place.id(), load);
        }
        match judge_answer(self.caller.route.kind, &self.caller.head.attempt_id, place.id(), &answer.head) {
            AnswerVerdict::Pass if answer.parts.status.is_success() => {
                self.first_head.get_or_insert_with(|| answer.parts.clone());
                self.weights = self.weights.or(answer.head.weights);
                let keeper = self.keep_backup(&place, backup);
                let cutter = EventCutter::default();
                self.live = Some(LiveAttempt { place, answer, cutter, has_event: false, keeper });
                Ok(())
            }
            AnswerVerdict::Pass if self.relay.delivered() == 0 => self.pass_on(&place, answer).await,
            AnswerVerdict::Pass | AnswerVerdict::PassOrRetry => Err(AttemptFailure::Failed),
            AnswerVerdict::Fail(failure) => Err(failure),
        }
    }

    fn keep_backup(&self, place: &EndpointPlace, first: Option<BackupPlace>) -> Option<BackupKeeper> {
        let has_moves = self.caller.engine.is_some_and(|engine| engine.has_moves);
        let is_kept = self.caller.route.kind.is_repeatable() && (has_moves || first.is_some());
        is_kept.then(|| BackupKeeper::start(&self.context, &self.caller, place.target.clone(), first))
    }

    /// Passes an answer on that is no stream.
    async fn pass_on(
        &mut self,
        place: &EndpointPlace,
        mut answer: OpenAnswer,
    ) -> std::result::Result<(), AttemptFailure> {
        let Ok(body) = (&mut answer.body).collect().await else {
            return Err(AttemptFailure::Broken);
        };
        let parts = answer.parts.clone();
        answer.release(&self.context, place.id());
        self.refusal = Some(WholeAnswer { parts, body: body.to_bytes() });
        Ok(())
    }

    async fn open_head(
        &self,
        place: &EndpointPlace,
        headers: &AttemptHeaders,
    ) -> std::result::Result<OpenAnswer, AttemptFailure> {
        let mut watch = SilenceWatch::new(self.first_silence(headers));
        let mut sent = std::pin::pin!(send_attempt(&self.context, &self.caller, &place.target, headers));
        loop {
            let limit = watch.limit(self.caller.time_left(self.context.timer.now()));
            if let Some(outcome) = self.context.timer.within(limit, sent.as_mut()).await {
                return outcome;
            }
            self.check_silence(place, &mut watch).await?;
        }
    }

    fn first_silence(&self, headers: &AttemptHeaders) -> Duration {
        let tokens = match headers.backup_from {
            Some(_) => 0,
            None => self.caller.head.prompt.unwrap_or_default().prompt_tokens,
        };
        FIRST_SILENCE + Duration::from_millis(tokens / PROMPT_TOKENS_PER_MS)
    }

    /// Decides whether to go on waiting for a silent engine; an error if not.
    async fn check_silence(
        &self,
        place: &EndpointPlace,
        watch: &mut SilenceWatch,
    ) -> std::result::Result<(), AttemptFailure> {
        if self.caller.time_left(self.context.timer.now()).is_zero() {
            return Err(AttemptFailure::Expired);
        }
        let report = ask_silent(&self.context, &place.target).await;
        let has_event = self.live.as_ref().is_some_and(|live| live.has_event);
        let delivered = if has_event { self.relay.last().unwrap_or(0).max(self.relay.delivered()) } else { 0 };
        watch.silence = EVENT_SILENCE;
        match watch.judge.judge(report.as_ref(), &self.caller.head.attempt_id, delivered) {
            SilenceVerdict::Wait => Ok(()),
            SilenceVerdict::Leave => Err(AttemptFailure::Silent),
        }
    }

    /// The next whole events of the current attempt.
    async fn next_piece(&mut self) -> PieceEnd {
        let has_event = self.live.as_ref().is_some_and(|live| live.has_event);
        let silence = if has_event { EVENT_SILENCE } else { self.first_silence(&AttemptHeaders::default()) };
        let mut watch = SilenceWatch::new(silence);
        loop {
            if let Some(end) = self.drain_cutter() {
                return end;
            }
            let limit = watch.limit(self.caller.time_left(self.context.timer.now()));
            let Some(live) = self.live.as_mut() else {
                return PieceEnd::Failure(AttemptFailure::Broken);
            };
            match self.context.timer.within(limit, live.answer.body.frame()).await {
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        live.cutter.feed(&data);
                    }
                }
                Some(Some(Err(_error))) => return PieceEnd::Failure(AttemptFailure::Broken),
                Some(None) if live.cutter.has_rest() => return PieceEnd::Failure(AttemptFailure::Garbled),
                Some(None) => return PieceEnd::Complete,
                None => {
                    let Some(live) = self.live.as_ref() else {
                        return PieceEnd::Failure(AttemptFailure::Broken);
                    };
                    if let Err(failure) = self.check_silence(&live.place, &mut watch).await {
                        return PieceEnd::Failure(failure);
                    }
                }
            }
        }
    }

    /// What the caller gets of the events that are whole.
    fn drain_cutter(&mut self) -> Option<PieceEnd> {
        let live = self.live.as_mut()?;
        let mut ready = VecDeque::new();
        while let Some(piece) = live.cutter.next_piece() {
            live.has_event = true;
            match self.relay.judge(&piece) {
                PieceVerdict::Deliver => ready.push_back(piece.bytes),
                PieceVerdict::Drop => {}
                PieceVerdict::Gap if ready.is_empty() => return Some(PieceEnd::Failure(AttemptFailure::Garbled)),
                // What came before the gap is delivered; the attempt is left when it is asked again.
                PieceVerdict::Gap => break,
            }
        }
        if live.cutter.is_overfull() {
            return Some(PieceEnd::Failure(AttemptFailure::Garbled));
        }
        join(ready).map(PieceEnd::Bytes)
    }
}

/// How long to hear nothing before the engine is asked, and what its reports said so far.
struct SilenceWatch {
    silence: Duration,
    judge: SilenceJudge,
}

impl SilenceWatch {
    fn new(silence: Duration) -> Self {
        Self { silence, judge: SilenceJudge::default() }
    }

    fn limit(&self, time_left: Duration) -> Duration {
        self.silence.min(time_left)
    }
}

fn join(mut pieces: VecDeque<Bytes>) -> Option<Bytes> {
    let first = pieces.pop_front()?;
    if pieces.is_empty() {
        return Some(first);
    }
    let mut joined = BytesMut::from(first);
    for piece in pieces {
        joined.extend_from_slice(&piece);
    }
    Some(joined.freeze())
}
