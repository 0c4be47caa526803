use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{
    AnswerVerdict, AttemptFailure, AttemptLedger, EndpointId, Name, QueueRefusal, RequestKind, RequestQueue, Result,
    RouteQuery, StopReason, evaluate_answer,
};
use hollyhook_platform::AttemptHeaders;
use http::Response;

use super::attempt::{EndpointSlot, send_attempt};
use super::attempt_end::end_attempt;
use super::attempt_times::{AttemptTimes, record_version_outcome};
use super::buffered_response::BufferedResponse;
use super::crash_check::{check_crash, record_given_up, record_survival};
use super::lost_run::LostRun;
use super::request_log::{self, CallTrace};
use crate::front::{CallerRequest, ResponseBody};
use crate::gateway::{GatewayContext, RoutingFailure};
use crate::queue::{QueueTurn, RefusedWait, queue_request};
use crate::quota::QuotaBorrower;

/// Maximum number of consecutive attempts that are rejected or fail to connect. After them, a call that was rejected
/// waits in the queue, and any other call is answered with a request to retry later.
const MAX_REJECTED: u32 = 3;
/// Maximum number of such attempts in one turn. One endpoint of a busy service may be full while another has a free
/// slot.
const MAX_REJECTED_IN_TURN: u32 = 2;
/// Maximum number of such attempts in all rounds. The caller's time and the retry budget end the rounds of most calls.
const MAX_REJECTED_TOTAL: u32 = 30;
/// Time between the first and the second round of a call that endpoints rejected, which doubles with each further
/// round. A slot of an endpoint becomes free within the time of a call, usually about 10 ms.
const ROUND_SPACING: Duration = Duration::from_millis(10);
/// Maximum number of times that the time between two rounds doubles.
const MAX_SPACING_DOUBLINGS: u32 = 5;
/// Minimum Retry-After delay if no endpoint admits a call.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(120);
/// An attempt at an idempotent call times out after this multiple of the route's latency objective, so that another
/// endpoint can be tried. Almost all calls are answered within the objective.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 1.6;
/// How often a call that waits for room at endpoints checks whether there is some.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Fraction of the route's latency objective for which a call waits for room.
const ROOM_WAIT_FACTOR: f64 = 0.5;
/// Fraction of the route's latency objective without a response after which the path to the endpoint is checked.
const SILENCE_FACTOR: f64 = 0.5;
/// Maximum time without a response after which the path is checked.
const MAX_SILENCE: Duration = Duration::from_millis(300);

enum CallOutcome {
    /// The endpoint's response, to be returned to the caller.
    Response(BufferedResponse),
    /// The endpoint's error response, returned to the caller unless a further attempt succeeds.
    Fallback(BufferedResponse),
    Failure(AttemptFailure),
}

/// Forwards a plain call and returns the endpoint's response.
pub(super) async fn forward_call(
    context: &Arc<GatewayContext>,
    caller: &Arc<CallerRequest>,
) -> Result<Response<ResponseBody>> {
    let ledger = AttemptLedger::for_route(&caller.route, MAX_REJECTED_TOTAL);
    let mut run = CallRun {
        context,
        caller,
        tried: Vec::new(),
        rejections: 0,
        rounds: 0,
        has_waited: false,
        owes_retry: false,
        ledger,
        fallback: None,
        last: CallTrace::default(),
    };
    let outcome = run.run().await;
    let attempts = run.ledger.attempts();
    match &outcome {
        Ok(response) => {
            request_log::answered(context, caller, response.status().as_u16(), &run.last, attempts);
            // An endpoint may send an error response before the request can crash it: only a success proves survival.
            if response.status().is_success() {
                record_survival(context, caller);
            }
        }
        Err(error) => {
            request_log::ended(context, caller, error, attempts);
            record_given_up(context, caller);
        }
    }
    outcome
}

struct CallRun<'a> {
    context: &'a Arc<GatewayContext>,
    caller: &'a Arc<CallerRequest>,
    /// The endpoints that are not asked again in this round, with the outcome of the attempt at each.
    tried: Vec<(EndpointId, AttemptFailure)>,
    /// Rejections of this round by endpoints that were full.
    rejections: u32,
    /// The number of rounds that have ended because endpoints rejected the call.
    rounds: u32,
    /// Whether the call has asked for a turn.
    has_waited: bool,
    /// Whether the next attempt is still to be charged to the retry budget.
    owes_retry: bool,
    ledger: AttemptLedger,
    fallback: Option<BufferedResponse>,
    last: CallTrace,
}

impl CallRun<'_> {
    async fn run(&mut self) -> Result<Response<ResponseBody>> {
        let mut turn = None;
        if self.context.queues.must_wait(&self.caller.service, self.caller.priority()) {
            turn = match self.wait_for_turn().await {
                Ok(turn) => Some(turn),
                Err(refused) => return self.give_up(refused.stop_reason(), refused.retry_after),
            };
        }
        loop {
            let slot = match self.reserve_slot() {
                Ok(slot) => slot,
                Err(failure) => {
                    turn = match self.wait_for_room(&failure, turn.take()).await {
                        Ok(turn) => turn,
                        Err((reason, retry_after)) => return self.give_up(reason, retry_after),
                    };
                    continue;
                }
            };
            if let Some(turn) = turn.take() {
                turn.end_sent();
            }
            self.last = CallTrace { endpoint: Some(EndpointId::clone(slot.id())), known_ms: slot.known_ms };
            let sent_at = self.context.timer.now();
            let outcome = self.attempt(&slot).await;
            let failure = match outcome {
                CallOutcome::Response(mut response) => {
                    let took = self.context.timer.now().since(sent_at);
                    self.context.queues.record_success(&self.caller.service, took);
                    response.hold_slot(slot);
                    return Ok(response.into_response());
                }
                CallOutcome::Fallback(response) => {
                    self.fallback = Some(response);
                    AttemptFailure::Failed
                }
                CallOutcome::Failure(failure) => failure,
            };
            let lost = LostRun::before_events(failure);
            request_log::attempt_failed(self.context, self.caller, slot.id(), lost, None);
            check_crash(self.context, self.caller, &slot.target, lost).await;
            self.tried.push((EndpointId::clone(slot.id()), failure));
            let is_full = failure == AttemptFailure::Rejected && !self.is_paused(slot.id());
            self.rejections += u32::from(is_full);
            drop(slot);
            let reason = end_attempt(self.context, self.caller, &mut self.ledger, failure);
            let may_wait = self.may_wait_after(reason);
            if is_full {
                self.context.queues.record_rejection(&self.caller.service, may_wait);
            }
            if may_wait {
                self.owes_retry = reason == Some(StopReason::BudgetExhausted);
                turn = match self.wait_for_next_round().await {
                    Ok(turn) => Some(turn),
                    Err((reason, retry_after)) => return self.give_up(reason, retry_after),
                };
            } else if let Some(reason) = reason.or_else(|| self.is_round_over().then_some(StopReason::NotRunLimit)) {
                return self.give_up(reason, self.retry_after());
            }
        }
    }

    /// Whether the call should wait for a further turn, after its endpoints rejected it.
    ///
    /// A call whose retry budget is exhausted waits for the budget to recover.
    fn may_wait_after(&self, reason: Option<StopReason>) -> bool {
        let is_allowed = match reason {
            None => self.is_round_over(),
            Some(reason) => reason == StopReason::BudgetExhausted,
        };
        is_allowed && self.rejections > 0 && self.context.queues.is_enabled()
    }

    /// Whether the limit of this round on attempts that did not run is reached.
    fn is_round_over(&self) -> bool {
        let limit = if self.has_waited { MAX_REJECTED_IN_TURN } else { MAX_REJECTED };
        self.tried.iter().filter(|(_, failure)| counts_in_round(*failure)).count() >= limit as usize
    }

    /// Whether an endpoint has stated how long this host is to send it no requests.
    fn is_paused(&self, id: &EndpointId) -> bool {
        let now = self.context.timer.now();
        !self.context.endpoints.table().terms_mut().pause_left(now, id).is_zero()
    }

    /// Waits for a turn with which the endpoints that did not run the call may be asked again.
    ///
    /// The wait before it doubles with each round.
    async fn wait_for_next_round(&mut self) -> std::result::Result<QueueTurn, (StopReason, Duration)> {
        self.rejections = 0;
        self.tried.retain(|(_, failure)| !failure.is_not_run() || *failure == AttemptFailure::WrongIncarnation);
        loop {
            let spacing = ROUND_SPACING * 2_u32.pow(self.rounds.min(MAX_SPACING_DOUBLINGS));
            self.rounds += 1;
            let reserved = self.caller.deadline.since(self.caller.arrived).mul_f64(RequestQueue::RESERVED_TIME);
            if self.caller.time_left(self.context.timer.now()) <= spacing + reserved {
                return Err((StopReason::NotRunLimit, self.retry_after()));
            }
            let closes_in = self.context.queues.closes_in().unwrap_or(spacing);
            self.context.timer.wait(spacing.min(closes_in)).await;
            let turn = self.wait_for_turn().await.map_err(|refused| self.reason_of(refused))?;
            if self.context.quarantine.refusal(|| self.caller.suspect()).is_some() {
                return Err((StopReason::Quarantined, self.retry_after()));
            }
            if !self.owes_retry || self.context.try_retry(&self.caller.service) {
                self.owes_retry = false;
                return Ok(turn);
            }
        }
    }

    /// Waits until an endpoint may have room for the call; `None` if the call may look for an endpoint again without a
    /// turn.
    ///
    /// # Errors
    ///
    /// Why the call may not wait, and when to try again.
    async fn wait_for_room(
        &mut self,
        failure: &RoutingFailure,
        turn: Option<QueueTurn>,
    ) -> std::result::Result<Option<QueueTurn>, (StopReason, Duration)> {
        QuotaBorrower::spawn_if_needed(self.context);
        let queues = &Arc::clone(&self.context.queues);
        if !queues.is_enabled() {
            if failure.awaits_room && self.may_wait_for_room() {
                self.context.timer.wait(ROOM_CHECK_INTERVAL).await;
                return Ok(None);
            }
            return Err((failure.reason, failure.pause.max(BUSY_RETRY_AFTER)));
        }
        if failure.awaits_room {
            let turn = if let Some(turn) = turn {
                queues.wait_for_room(&self.caller.service, turn).await
            } else {
                queues.record_full(&self.caller.service, self.caller.priority());
                self.wait_for_turn().await
            };
            return turn.map(Some).map_err(|refused| self.reason_of(refused));
        }
        if self.rejections > 0 {
            return self.wait_for_next_round().await.map(Some);
        }
        Err((failure.reason, failure.pause.max(BUSY_RETRY_AFTER)))
    }

    /// Waits for the call's turn among those that wait at this host.
    async fn wait_for_turn(&mut self) -> std::result::Result<QueueTurn, RefusedWait> {
        self.has_waited = true;
        self.context.queues.wait(&self.caller.service, queue_request(self.caller)).await
    }

    /// Why the call is not sent again after its queue refused it, and when to try again.
    fn reason_of(&self, refused: RefusedWait) -> (StopReason, Duration) {
        let was_sent = self.ledger.attempts() > 0 && refused.refusal == QueueRefusal::TooLate;
        let reason = if was_sent { StopReason::NotRunLimit } else { refused.stop_reason() };
        (reason, refused.retry_after)
    }

    /// Whether an answer that is sent after the wait for room may still be within the latency objective.
    fn may_wait_for_room(&self) -> bool {
        let now = self.context.timer.now();
        let waited = now.since(self.caller.arrived);
        let limit = self.caller.route.latency_objective.mul_f64(ROOM_WAIT_FACTOR);
        waited < limit && !self.caller.time_left(now).is_zero()
    }

    /// When this host expects capacity for the call's priority.
    fn retry_after(&self) -> Duration {
        self.context.queues.retry_after(&self.caller.service, self.caller.priority())
    }

    fn give_up(&mut self, reason: StopReason, retry_after: Duration) -> Result<Response<ResponseBody>> {
        match self.fallback.take() {
            Some(response) => Ok(response.into_response()),
            None => Err(self.ledger.final_error(reason, 0, retry_after)),
        }
    }

    /// Reserves a slot for the next attempt.
    ///
    /// # Errors
    ///
    /// Why no endpoint admits the call.
    fn reserve_slot(&self) -> std::result::Result<EndpointSlot, RoutingFailure> {
        let is_first = self.ledger.attempts() == 0;
        let filter = self.context.rollouts.version_filter(&self.caller.service, is_first).unwrap_or_default();
        let tried: Vec<EndpointId> = self.tried.iter().map(|(id, _)| EndpointId::clone(id)).collect();
        let query = RouteQuery::new(&self.caller.service).avoid(&tried).versions(&filter);
        let idle = self.context.pool.idle_for(Duration::ZERO);
        let query = query.repeatable(self.caller.route.is_retryable()).prefer(&idle);
        if let Some(slot) = EndpointSlot::reserve_any(self.context, &query) {
            return Ok(slot);
        }
        if filter.only.is_none() {
            return Err(self.context.endpoints.routing_failure(&query));
        }
        let fallback = self.context.rollouts.fallback_filter(&self.caller.service).unwrap_or_default();
        let query = query.versions(&fallback);
        EndpointSlot::reserve_any(self.context, &query).ok_or_else(|| self.context.endpoints.routing_failure(&query))
    }

    async fn attempt(&self, slot: &EndpointSlot) -> CallOutcome {
        let left = self.caller.time_left(self.context.timer.now());
        let limit = self.attempt_limit(slot.id(), left);
        let sent_at = self.context.timer.now();
        let timeout_failure = if limit < left { AttemptFailure::Silent } else { AttemptFailure::Expired };
        let outcome = self.context.timer.within(limit, self.exchange_watched(slot)).await;
        let outcome = outcome.unwrap_or(CallOutcome::Failure(timeout_failure));
        let failure = match &outcome {
            CallOutcome::Response(_) => None,
            CallOutcome::Fallback(_) => Some(AttemptFailure::Failed),
            CallOutcome::Failure(failure) => Some(*failure),
        };
        if failure == Some(AttemptFailure::Silent) {
            self.context.endpoints.record_silence(slot.id());
        }
        self.context.endpoints.record_outcome(slot.id(), failure);
        let took = self.context.timer.now().since(sent_at);
        record_version_outcome(
            self.context,
            self.caller,
            &slot.target,
            failure,
            AttemptTimes { first: Some(took), gap: None },
        );
        outcome
    }

    /// Time limit of the next attempt: all the time left, unless a further attempt may follow.
    fn attempt_limit(&self, id: &EndpointId, left: Duration) -> Duration {
        if self.caller.route.kind != RequestKind::Idempotent || self.ledger.is_last() {
            return left;
        }
        let objective = self.caller.route.latency_objective;
        let paced = self.context.endpoints.attempt_limit(id, objective);
        left.min(paced.unwrap_or_else(|| objective.mul_f64(ATTEMPT_TIMEOUT_FACTOR)))
    }

    /// Exchanges request and response, and checks the path to the endpoint if the response takes unusually long.
    ///
    /// A partition drops packets silently: only a new connection shows that the path is lost.
    async fn exchange_watched(&self, slot: &EndpointSlot) -> CallOutcome {
        let mut exchange = pin!(self.exchange(slot));
        let silence = self.caller.route.latency_objective.mul_f64(SILENCE_FACTOR).min(MAX_SILENCE);
        if let Some(outcome) = self.context.timer.within(silence, exchange.as_mut()).await {
            return outcome;
        }
        self.context.connector.check_if_silent(&slot.target, silence);
        exchange.await
    }

    async fn exchange(&self, slot: &EndpointSlot) -> CallOutcome {
        let caller = self.caller;
        let headers = AttemptHeaders {
            endpoint: Some(Name::clone(&slot.target.entry)),
            account: caller.account.as_ref().map(|account| Arc::clone(&account.name)),
            time_left: caller.time_left(self.context.timer.now()),
            ..AttemptHeaders::default()
        };
        let response = match send_attempt(self.context, caller, &slot.target, &headers).await {
            Ok(response) => response,
            Err(failure) => return CallOutcome::Failure(failure),
        };
        if let Some(load) = response.head.load {
            self.context.endpoints.record_load(slot.id(), load);
        }
        let load = response.head.load;
        let head_took = self.context.timer.now().since(response.sent_at);
        let verdict = evaluate_answer(caller.route.kind, &caller.head.attempt_id, &slot.target.entry, &response.head);
        if verdict == AnswerVerdict::Fail(AttemptFailure::Garbled) {
            return CallOutcome::Failure(AttemptFailure::Garbled);
        }
        let buffered = match response.read_for_caller(self.context, caller, slot.id()).await {
            Ok(buffered) => buffered,
            Err(failure) => return CallOutcome::Failure(failure),
        };
        match verdict {
            AnswerVerdict::PassOrRetry if buffered.is_whole() => CallOutcome::Fallback(buffered),
            AnswerVerdict::Pass | AnswerVerdict::PassOrRetry => {
                if buffered.parts.status.is_success() {
                    self.context.endpoints.record_call_time(slot.id(), head_took, load);
                }
                CallOutcome::Response(buffered)
            }
            AnswerVerdict::Fail(failure) => CallOutcome::Failure(failure),
        }
    }
}

/// Whether an attempt that failed counts against the limit on attempts of one round that did not run.
fn counts_in_round(failure: AttemptFailure) -> bool {
    failure.is_not_run() && failure != AttemptFailure::WrongIncarnation
}
