use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{
    AnswerVerdict, AttemptFailure, AttemptLedger, EndpointId, Name, RequestKind, Result, RouteQuery, StopReason,
    evaluate_answer,
};
use hollyhook_platform::AttemptHeaders;
use http::Response;

use super::attempt::{BufferedResponse, EndpointSlot, send_attempt};
use super::attempt_end::end_attempt;
use super::attempt_times::{AttemptTimes, record_version_outcome};
use super::crash_check::{check_crash, record_given_up, record_survival};
use super::request_log::{self, CallTrace};
use crate::front::{CallerRequest, ResponseBody};
use crate::gateway::{GatewayContext, RoutingFailure};

/// Maximum number of attempts that endpoints reject, or that fail to connect, before the caller is told to retry later.
const MAX_REJECTED: u32 = 3;
/// Retry-After delay if every endpoint rejected a call.
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
    let ledger = AttemptLedger::for_route(&caller.route, MAX_REJECTED);
    let mut run = CallRun { context, caller, tried: Vec::new(), ledger, fallback: None, last: CallTrace::default() };
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
    tried: Vec<EndpointId>,
    ledger: AttemptLedger,
    fallback: Option<BufferedResponse>,
    last: CallTrace,
}

impl CallRun<'_> {
    async fn run(&mut self) -> Result<Response<ResponseBody>> {
        loop {
            let slot = match self.reserve_slot() {
                Ok(slot) => slot,
                Err(failure) if failure.awaits_room && self.may_wait_for_room() => {
                    self.context.timer.wait(ROOM_CHECK_INTERVAL).await;
                    continue;
                }
                Err(failure) => return self.give_up(failure.reason, failure.pause.max(BUSY_RETRY_AFTER)),
            };
            self.last = CallTrace { endpoint: Some(EndpointId::clone(slot.id())), known_ms: slot.known_ms };
            let outcome = self.attempt(&slot).await;
            let failure = match outcome {
                CallOutcome::Response(mut response) => {
                    response.hold_slot(slot);
                    return Ok(response.into_response());
                }
                CallOutcome::Fallback(response) => {
                    self.fallback = Some(response);
                    AttemptFailure::Failed
                }
                CallOutcome::Failure(failure) => failure,
            };
            request_log::attempt_failed(self.context, self.caller, slot.id(), failure, None);
            check_crash(self.context, self.caller, &slot.target, failure).await;
            self.tried.push(EndpointId::clone(slot.id()));
            if let Some(reason) = end_attempt(self.context, self.caller, &mut self.ledger, failure) {
                return self.give_up(reason, BUSY_RETRY_AFTER);
            }
        }
    }

    /// Whether an answer that is sent after the wait for room may still be within the latency objective.
    fn may_wait_for_room(&self) -> bool {
        let now = self.context.timer.now();
        let waited = now.since(self.caller.arrived);
        let limit = self.caller.route.latency_objective.mul_f64(ROOM_WAIT_FACTOR);
        waited < limit && !self.caller.time_left(now).is_zero()
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
        let filter =
            self.context.rollouts.version_filter(&self.caller.service, self.tried.is_empty()).unwrap_or_default();
        let query = RouteQuery::new(&self.caller.service).avoid(&self.tried).versions(&filter);
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
