use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::task::JoinHandle;
use hollyhook_core::{
    AttemptFailure, AttemptLedger, AttemptRace, EndpointId, RaceStep, RequestKind, Result, StopReason, TimePoint,
};
use http::Response;

use super::attempt::EndpointSlot;
use super::buffered_response::BufferedResponse;
use super::call_attempt::{CallAttempt, CallOutcome};
use super::request_log::{self, CallTrace};
use crate::front::{CallerRequest, ResponseBody};
use crate::gateway::GatewayContext;
use crate::queue::QueueTurn;

/// Maximum number of attempts in all rounds that are rejected or fail to connect. The caller's time and the retry budget
/// end the rounds of most calls.
const MAX_REJECTED_TOTAL: u32 = 30;
/// An attempt at an idempotent call is suspected after this multiple of the route's latency objective, so that another
/// endpoint can be tried. Almost all calls are answered within the objective.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 1.6;
/// How often a call whose attempts are all suspected looks for an endpoint that has not been found silent.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Why a call ends without an answer, and when its caller should try again.
#[derive(Debug)]
pub(super) struct CallStop {
    pub(super) reason: StopReason,
    pub(super) retry_after: Duration,
}

/// A plain call over all attempts at it.
///
/// An attempt at an idempotent call that takes too long is suspected and stays open, and another one may be made beside
/// it; the first usable answer wins. The call ends without an answer only if no attempt is open or its time is up.
pub(super) struct CallRun<'a> {
    pub(super) context: &'a Arc<GatewayContext>,
    pub(super) caller: &'a Arc<CallerRequest>,
    pub(super) race: AttemptRace,
    pub(super) attempts: Vec<CallAttempt>,
    /// When the next search for an endpoint for an attempt beside those that are suspected may begin.
    search_at: TimePoint,
    /// Running checks whether endpoints of failed attempts have crashed. No attempt begins before they have ended.
    pub(super) checks: Vec<JoinHandle<()>>,
    /// The endpoints that are not asked again in this round, with the outcome of the attempt at each.
    pub(super) tried: Vec<(EndpointId, AttemptFailure)>,
    /// Rejections of this round by endpoints that were full.
    pub(super) rejections: u32,
    /// The number of rounds that have ended because endpoints rejected the call.
    pub(super) rounds: u32,
    /// Whether the call has asked for a turn.
    pub(super) has_waited: bool,
    /// Whether the next attempt is still to be charged to the retry budget.
    pub(super) owes_retry: bool,
    /// The turn with which the next attempt is made.
    pub(super) turn: Option<QueueTurn>,
    pub(super) ledger: AttemptLedger,
    pub(super) fallback: Option<BufferedResponse>,
    /// The endpoint whose response was received last.
    pub(super) answered_by: CallTrace,
}

/// What an open call waits for.
enum CallSignal {
    /// The attempt at this index has ended.
    Ended(usize, Box<CallOutcome>),
    /// All crash checks have ended.
    Checked,
}

impl<'a> CallRun<'a> {
    pub(super) fn new(context: &'a Arc<GatewayContext>, caller: &'a Arc<CallerRequest>) -> Self {
        Self {
            context,
            caller,
            race: AttemptRace::default(),
            attempts: Vec::new(),
            search_at: TimePoint::ZERO,
            checks: Vec::new(),
            tried: Vec::new(),
            rejections: 0,
            rounds: 0,
            has_waited: false,
            owes_retry: false,
            turn: None,
            ledger: AttemptLedger::for_route(&caller.route, MAX_REJECTED_TOTAL),
            fallback: None,
            answered_by: CallTrace::default(),
        }
    }

    /// Makes attempts until one is answered or no further one may be made.
    pub(super) async fn run(&mut self) -> Result<Response<ResponseBody>> {
        match self.run_attempts().await {
            Ok(response) => Ok(response.into_response()),
            Err(CallStop { reason, retry_after }) => match self.fallback.take() {
                Some(response) => Ok(response.into_response()),
                None => Err(self.ledger.final_error(reason, 0, retry_after)),
            },
        }
    }

    async fn run_attempts(&mut self) -> std::result::Result<BufferedResponse, CallStop> {
        if self.context.queues.must_wait(&self.caller.service, self.caller.priority()) {
            let turn = self.wait_for_turn().await;
            let turn =
                turn.map_err(|refused| CallStop { reason: refused.stop_reason(), retry_after: refused.retry_after })?;
            self.turn = Some(turn);
        }
        loop {
            match self.race.next_step(&self.ledger) {
                RaceStep::Begin => self.begin().await?,
                RaceStep::BeginBeside => self.begin_beside(),
                RaceStep::Wait => {}
            }
            let timer = &self.context.timer;
            match timer.within(self.wait_limit(), poll_fn(|task| self.poll_signal(task))).await {
                Some(CallSignal::Ended(index, outcome)) => {
                    if let Some(response) = self.end(index, *outcome).await? {
                        return Ok(response);
                    }
                }
                Some(CallSignal::Checked) => {}
                None => self.handle_timeout().await?,
            }
        }
    }

    fn poll_signal(&mut self, task: &mut Context<'_>) -> Poll<CallSignal> {
        for (index, attempt) in self.attempts.iter_mut().enumerate() {
            if let Poll::Ready(outcome) = attempt.poll_outcome(task) {
                return Poll::Ready(CallSignal::Ended(index, Box::new(outcome)));
            }
        }
        let is_checking = !self.checks.is_empty();
        self.checks.retain_mut(|check| Pin::new(check).poll(task).is_pending());
        if is_checking && self.checks.is_empty() { Poll::Ready(CallSignal::Checked) } else { Poll::Pending }
    }

    /// How long to wait for a signal at most.
    fn wait_limit(&self) -> Duration {
        let now = self.context.timer.now();
        let trusted = self.attempts.iter().filter(|attempt| !self.race.is_suspected(attempt.key));
        let suspicions = trusted.filter_map(|attempt| attempt.suspect_at);
        let is_searching = self.race.next_step(&self.ledger) == RaceStep::BeginBeside;
        let next = suspicions.chain(is_searching.then_some(now + SEARCH_INTERVAL)).min();
        let time_left = self.caller.time_left(now);
        next.map_or(time_left, |at| at.since(now).min(time_left))
    }

    /// Suspects attempts that have taken too long; ends all of them when the caller's time is up.
    async fn handle_timeout(&mut self) -> std::result::Result<(), CallStop> {
        let now = self.context.timer.now();
        if self.caller.time_left(now).is_zero() {
            while let Some(attempt) = self.attempts.pop() {
                attempt.record_outcome(self.context, self.caller, &CallOutcome::Failure(AttemptFailure::Expired));
                self.record_unanswered(&attempt);
                self.fail(attempt, AttemptFailure::Expired).await?;
            }
            return Ok(());
        }
        for attempt in &self.attempts {
            let is_due = attempt.suspect_at.is_some_and(|at| at <= now);
            if is_due && self.race.suspect(attempt.key) {
                let id = attempt.slot.id();
                // An endpoint that answers other requests is slow with this one, not silent.
                if !self.context.endpoints.is_alive(id) {
                    self.context.endpoints.record_silence(id);
                }
                request_log::attempt_suspected(self.context, self.caller, id, attempt.age(self.context));
            }
        }
        Ok(())
    }

    /// Begins an attempt while none is open, after a wait for room if necessary.
    async fn begin(&mut self) -> std::result::Result<(), CallStop> {
        let slot = loop {
            if let Some(slot) = self.reserve_slot(false) {
                break slot;
            }
            let turn = self.turn.take();
            self.turn = self.wait_for_room(&self.routing_failure(), turn).await?;
        };
        if let Some(turn) = self.turn.take() {
            turn.end_sent();
        }
        self.send(slot);
        Ok(())
    }

    /// Begins an attempt beside those that are suspected, if an endpoint that has not been found silent admits one.
    fn begin_beside(&mut self) {
        let now = self.context.timer.now();
        if now < self.search_at || !self.checks.is_empty() || self.is_round_over() || self.is_quarantined() {
            return;
        }
        self.search_at = now + SEARCH_INTERVAL;
        let service = &self.caller.service;
        // A reserved slot counts as a send at endpoints with rate limits, so the budget is looked at before.
        if !self.context.may_retry(service) {
            return;
        }
        if let Some(slot) = self.reserve_slot(true).filter(|_| self.context.try_retry(service)) {
            self.send(slot);
        }
    }

    fn send(&mut self, slot: EndpointSlot) {
        let suspect_at = self.suspect_at(slot.id());
        let key = self.race.begin();
        self.attempts.push(CallAttempt::send(self.context, self.caller, key, slot, suspect_at));
        self.search_at = TimePoint::ZERO;
    }

    /// When an attempt that is sent now is suspected; `None` if no other attempt may follow.
    fn suspect_at(&self, id: &EndpointId) -> Option<TimePoint> {
        if self.caller.route.kind != RequestKind::Idempotent || self.ledger.is_last() {
            return None;
        }
        let objective = self.caller.route.latency_objective;
        let paced = self.context.endpoints.attempt_limit(id, objective);
        let limit = paced.unwrap_or_else(|| objective.mul_f64(ATTEMPT_TIMEOUT_FACTOR));
        Some(self.context.timer.now() + limit)
    }

    /// Whether the call is quarantined, so that no further attempt may be made.
    pub(super) fn is_quarantined(&self) -> bool {
        self.context.quarantine.refusal(|| self.caller.suspect()).is_some()
    }
}
