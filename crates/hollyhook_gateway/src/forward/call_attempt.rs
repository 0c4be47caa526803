use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use hollyhook_core::{AnswerVerdict, AttemptFailure, AttemptKey, EndpointId, Name, TimePoint, VersionOutcome};
use hollyhook_platform::AttemptHeaders;

use super::attempt::{EndpointSlot, send_attempt};
use super::attempt_times::{AttemptTimes, record_version_outcome};
use super::buffered_response::BufferedResponse;
use super::request_log::CallTrace;
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;
use crate::path::EndpointTarget;
use crate::sync::OwnedFuture;

/// Fraction of the route's latency objective without a response after which the path to the endpoint is checked.
const SILENCE_FACTOR: f64 = 0.5;
/// Maximum time without a response after which the path is checked.
const MAX_SILENCE: Duration = Duration::from_millis(300);

/// What an attempt at a plain call has come to.
pub(super) enum CallOutcome {
    /// The endpoint's response, to be returned to the caller.
    Response(BufferedResponse),
    /// The endpoint's error response, returned to the caller unless another attempt succeeds.
    Fallback(BufferedResponse),
    Failure(AttemptFailure),
}

impl CallOutcome {
    /// The failure that is recorded for the endpoint.
    pub(super) fn failure(&self) -> Option<AttemptFailure> {
        match self {
            Self::Response(_) => None,
            Self::Fallback(_) => Some(AttemptFailure::Failed),
            Self::Failure(failure) => Some(*failure),
        }
    }

    /// What the outcome shows about the endpoint's software version.
    pub(super) fn version_outcome(&self) -> Option<VersionOutcome> {
        match self {
            Self::Response(response) | Self::Fallback(response) => {
                Some(VersionOutcome::of_answer(response.parts.status.as_u16()))
            }
            Self::Failure(failure) => VersionOutcome::of_failure(*failure),
        }
    }
}

/// One open attempt at a plain call. Dropping it closes its connection and releases its slot.
pub(super) struct CallAttempt {
    pub(super) key: AttemptKey,
    pub(super) slot: EndpointSlot,
    pub(super) sent_at: TimePoint,
    /// When the attempt is suspected if it has not ended; `None` if no other attempt may be made beside it.
    pub(super) suspect_at: Option<TimePoint>,
    outcome: OwnedFuture<CallOutcome>,
}

impl CallAttempt {
    /// Sends the call to the endpoint of `slot`.
    pub(super) fn send(
        context: &Arc<GatewayContext>,
        caller: &Arc<CallerRequest>,
        key: AttemptKey,
        slot: EndpointSlot,
        suspect_at: Option<TimePoint>,
    ) -> Self {
        let sent_at = context.timer.now();
        let exchange = CallExchange {
            context: Arc::clone(context),
            caller: Arc::clone(caller),
            target: slot.target.clone(),
            suspect_at,
        };
        let outcome = OwnedFuture::new(async move { exchange.run_watched().await });
        Self { key, slot, sent_at, suspect_at, outcome }
    }

    /// Waits for the end of the attempt.
    pub(super) fn poll_outcome(&mut self, task: &mut Context<'_>) -> Poll<CallOutcome> {
        self.outcome.poll(task)
    }

    /// Time since the call was sent.
    pub(super) fn age(&self, context: &GatewayContext) -> Duration {
        context.timer.now().since(self.sent_at)
    }

    /// The time that counts as that of a call: the age, but only until the attempt is suspected, since its endpoint may
    /// have paused.
    pub(super) fn call_time(&self, context: &GatewayContext) -> Duration {
        let age = self.age(context);
        self.suspect_at.map_or(age, |at| at.since(self.sent_at).min(age))
    }

    pub(super) fn trace(&self) -> CallTrace {
        CallTrace { endpoint: Some(EndpointId::clone(self.slot.id())), known_ms: self.slot.known_ms }
    }

    /// Records the end of the attempt for its endpoint and for the endpoint's software version.
    pub(super) fn record_outcome(&self, context: &GatewayContext, caller: &CallerRequest, outcome: &CallOutcome) {
        context.endpoints.record_outcome(self.slot.id(), outcome.failure());
        let times = AttemptTimes { first: Some(self.age(context)), gap: None };
        record_version_outcome(context, caller, &self.slot.target, outcome.version_outcome(), times);
    }
}

/// The exchange of a request and its response with one endpoint.
struct CallExchange {
    context: Arc<GatewayContext>,
    caller: Arc<CallerRequest>,
    target: EndpointTarget,
    /// From when on a response does not show how long calls take, since the endpoint may have paused.
    suspect_at: Option<TimePoint>,
}

impl CallExchange {
    /// Exchanges request and response, and checks the path to the endpoint if the response takes unusually long.
    ///
    /// A partition drops packets silently: only a new connection shows that the path is lost.
    async fn run_watched(&self) -> CallOutcome {
        let mut exchange = pin!(self.run());
        let silence = self.caller.route.latency_objective.mul_f64(SILENCE_FACTOR).min(MAX_SILENCE);
        if let Some(outcome) = self.context.timer.within(silence, exchange.as_mut()).await {
            return outcome;
        }
        self.context.connector.check_if_silent(&self.target, silence);
        exchange.await
    }

    async fn run(&self) -> CallOutcome {
        let Self { context, caller, target, suspect_at } = self;
        let headers = AttemptHeaders {
            endpoint: Some(Name::clone(&target.entry)),
            account: caller.account.as_ref().map(|account| Arc::clone(&account.name)),
            time_left: caller.time_left(context.timer.now()),
            ..AttemptHeaders::default()
        };
        let response = match send_attempt(context, caller, target, &headers, |_sent_at| {}).await {
            Ok(response) => response,
            Err(failure) => return CallOutcome::Failure(failure),
        };
        let load = response.head.load;
        let head_took = context.timer.now().since(response.sent_at);
        let verdict = response.verdict(caller);
        if verdict == AnswerVerdict::Fail(AttemptFailure::Garbled) {
            return CallOutcome::Failure(AttemptFailure::Garbled);
        }
        let buffered = match response.read_for_caller(context, caller, target).await {
            Ok(buffered) => buffered,
            Err(failure) => return CallOutcome::Failure(failure),
        };
        match verdict {
            AnswerVerdict::PassOrRetry if buffered.is_whole() => CallOutcome::Fallback(buffered),
            AnswerVerdict::Pass | AnswerVerdict::PassOrRetry => {
                let is_in_time = suspect_at.is_none_or(|at| context.timer.now() < at);
                if buffered.parts.status.is_success() && is_in_time {
                    context.endpoints.record_call_time(&target.id, head_took, load);
                }
                CallOutcome::Response(buffered)
            }
            AnswerVerdict::Fail(failure) => CallOutcome::Failure(failure),
        }
    }
}
