use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{
    AnswerVerdict, AttemptFailure, AttemptLedger, EndpointId, Name, RequestKind, Result, RouteQuery, StopReason,
    judge_answer,
};
use hollyhook_platform::AttemptHeaders;
use http::Response;

use super::attempt::{EndpointPlace, WholeAnswer, send_attempt};
use super::attempt_end::end_attempt;
use super::crash_check::{check_crash, record_given_up, record_survival};
use super::request_log::{self, CallTrace};
use super::version_note::{VersionTimes, note_version};
use crate::front::{AnswerBody, CallerRequest};
use crate::gateway::{EndpointLack, GatewayContext};

/// Attempts that endpoints may turn away, or that find no connection, before a caller is told to come back.
const MOST_TURNED_AWAY: u32 = 3;
/// When to come back after every endpoint turned a call away.
const BUSY_RETRY: Duration = Duration::from_millis(120);
/// An idempotent call is sent to a second endpoint after this many times its objective. Within the objective almost
/// all calls are answered.
const SILENCE_FACTOR: f64 = 1.6;

enum CallEnd {
    /// To be passed on.
    Answer(WholeAnswer),
    /// A failure of the endpoint's own, passed on unless another attempt succeeds.
    Fallback(WholeAnswer),
    Failure(AttemptFailure),
}

/// Forwards a plain call and returns the endpoint's answer.
pub(super) async fn forward_call(
    context: &Arc<GatewayContext>,
    caller: &CallerRequest,
) -> Result<Response<AnswerBody>> {
    let ledger = AttemptLedger::for_route(&caller.route, MOST_TURNED_AWAY);
    let mut run = CallRun { context, caller, tried: Vec::new(), ledger, fallback: None, last: CallTrace::default() };
    let outcome = run.run().await;
    let attempts = run.ledger.attempts();
    match &outcome {
        Ok(response) => {
            request_log::answered(context, caller, response.status().as_u16(), &run.last, attempts);
            // A failure of the endpoint's own may have come before the request could do harm.
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
    caller: &'a CallerRequest,
    tried: Vec<EndpointId>,
    ledger: AttemptLedger,
    fallback: Option<WholeAnswer>,
    last: CallTrace,
}

impl CallRun<'_> {
    async fn run(&mut self) -> Result<Response<AnswerBody>> {
        loop {
            let place = match self.place() {
                Ok(place) => place,
                Err(lack) => return self.give_up(lack.reason, lack.pause.max(BUSY_RETRY)),
            };
            self.last = CallTrace { endpoint: Some(EndpointId::clone(place.id())), known_ms: place.known_ms };
            let end = self.attempt(&place).await;
            let failure = match end {
                CallEnd::Answer(answer) => return Ok(answer.into_response()),
                CallEnd::Fallback(answer) => {
                    self.fallback = Some(answer);
                    AttemptFailure::Failed
                }
                CallEnd::Failure(failure) => failure,
            };
            request_log::attempt_failed(self.context, self.caller, place.id(), failure, None);
            check_crash(self.context, self.caller, &place.target, failure).await;
            self.tried.push(EndpointId::clone(place.id()));
            if let Some(reason) = end_attempt(self.context, self.caller, &mut self.ledger, failure) {
                return self.give_up(reason, BUSY_RETRY);
            }
        }
    }

    fn give_up(&mut self, reason: StopReason, retry_after: Duration) -> Result<Response<AnswerBody>> {
        match self.fallback.take() {
            Some(answer) => Ok(answer.into_response()),
            None => Err(self.ledger.end(reason, 0, retry_after)),
        }
    }

    /// Takes a place for the next attempt.
    ///
    /// # Errors
    ///
    /// Why there is none.
    fn place(&self) -> std::result::Result<EndpointPlace, EndpointLack> {
        let rule = self.context.rollouts.rule(&self.caller.service, self.tried.is_empty()).unwrap_or_default();
        let query = RouteQuery::new(&self.caller.service).avoid(&self.tried).versions(&rule);
        let kept = self.context.pool.rested(Duration::ZERO);
        let query = query.repeatable(self.caller.route.has_second_attempt()).prefer(&kept);
        EndpointPlace::take_any(self.context, &query).ok_or_else(|| self.context.endpoints.lack(&query))
    }

    async fn attempt(&self, place: &EndpointPlace) -> CallEnd {
        let left = self.caller.time_left(self.context.timer.now());
        let limit = self.attempt_limit(left);
        let sent_at = self.context.timer.now();
        let late = if limit < left { AttemptFailure::Silent } else { AttemptFailure::Expired };
        let end = self.context.timer.within(limit, self.exchange(place)).await;
        let end = end.unwrap_or(CallEnd::Failure(late));
        let failure = match &end {
            CallEnd::Answer(_) => None,
            CallEnd::Fallback(_) => Some(AttemptFailure::Failed),
            CallEnd::Failure(failure) => Some(*failure),
        };
        self.context.endpoints.note_outcome(place.id(), failure);
        let took = self.context.timer.now().since(sent_at);
        note_version(self.context, self.caller, &place.target, failure, VersionTimes { first: Some(took), gap: None });
        end
    }

    /// How long this attempt may take: all that is left, unless another endpoint may be tried after it.
    fn attempt_limit(&self, left: Duration) -> Duration {
        if self.caller.route.kind != RequestKind::Idempotent || self.ledger.is_last() {
            return left;
        }
        left.min(self.caller.route.objective.mul_f64(SILENCE_FACTOR))
    }

    async fn exchange(&self, place: &EndpointPlace) -> CallEnd {
        let caller = self.caller;
        let headers = AttemptHeaders {
            endpoint: Some(Name::clone(&place.target.entry)),
            account: caller.account.as_ref().map(|account| Arc::clone(&account.name)),
            time_left: caller.time_left(self.context.timer.now()),
            ..AttemptHeaders::default()
        };
        let answer = match send_attempt(self.context, caller, &place.target, &headers).await {
            Ok(answer) => answer,
            Err(failure) => return CallEnd::Failure(failure),
        };
        if let Some(load) = answer.head.load {
            self.context.endpoints.note_load(place.id(), load);
        }
        let verdict = judge_answer(caller.route.kind, &caller.head.attempt_id, &place.target.entry, &answer.head);
        if verdict == AnswerVerdict::Fail(AttemptFailure::Garbled) {
            return CallEnd::Failure(AttemptFailure::Garbled);
        }
        let whole = match answer.read_whole(self.context, place.id()).await {
            Ok(whole) => whole,
            Err(failure) => return CallEnd::Failure(failure),
        };
        match verdict {
            AnswerVerdict::Pass => CallEnd::Answer(whole),
            AnswerVerdict::PassOrRetry => CallEnd::Fallback(whole),
            AnswerVerdict::Fail(failure) => CallEnd::Failure(failure),
        }
    }
}
