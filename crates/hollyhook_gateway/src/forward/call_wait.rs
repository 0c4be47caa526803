use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{AttemptFailure, EndpointId, QueueRefusal, RequestQueue, StopReason};

use super::call_run::{CallRun, CallStop};
use crate::gateway::RoutingFailure;
use crate::lease::LeaseBorrower;
use crate::queue::{QueueTurn, RefusedWait, queue_request};
use crate::quota::QuotaBorrower;

/// Maximum number of consecutive attempts that are rejected or fail to connect. After them, a call that was rejected
/// waits in the queue, and any other call is answered with a request to retry later.
const MAX_REJECTED: u32 = 3;
/// Maximum number of such attempts in one turn. One endpoint of a busy service may be full while another has a free
/// slot.
const MAX_REJECTED_IN_TURN: u32 = 2;
/// Time between the first and the second round of a call that endpoints rejected, which doubles with each further
/// round. A slot of an endpoint becomes free within the time of a call, usually about 10 ms.
const ROUND_SPACING: Duration = Duration::from_millis(10);
/// Maximum number of times that the time between two rounds doubles.
const MAX_SPACING_DOUBLINGS: u32 = 5;
/// Minimum Retry-After delay if no endpoint admits a call.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(120);
/// How often a request that waits for room at endpoints checks whether there is some.
pub(super) const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Fraction of the route's latency objective for which a call waits for room.
const ROOM_WAIT_FACTOR: f64 = 0.5;

/// The waits of a call for a turn, for room at endpoints and between rounds. A call that has an open attempt never
/// waits for anything else.
impl CallRun<'_> {
    /// Whether the call should wait for a further turn, after its endpoints rejected it.
    ///
    /// A call whose retry budget is exhausted waits for the budget to recover.
    pub(super) fn may_wait_after(&self, reason: Option<StopReason>) -> bool {
        let is_allowed = match reason {
            None => self.is_round_over(),
            Some(reason) => reason == StopReason::BudgetExhausted,
        };
        is_allowed && self.rejections > 0 && self.context.queues.is_enabled()
    }

    /// Whether the limit of this round on attempts that did not run is reached.
    pub(super) fn is_round_over(&self) -> bool {
        let limit = if self.has_waited { MAX_REJECTED_IN_TURN } else { MAX_REJECTED };
        self.tried.iter().filter(|(_, failure)| counts_in_round(*failure)).count() >= limit as usize
    }

    /// Whether an endpoint has stated how long this host is to send it no requests.
    pub(super) fn is_paused(&self, id: &EndpointId) -> bool {
        let now = self.context.timer.now();
        !self.context.endpoints.table().terms_mut().pause_left(now, id).is_zero()
    }

    /// Waits for a turn with which the endpoints that did not run the call may be asked again.
    ///
    /// The wait before it doubles with each round.
    pub(super) async fn wait_for_next_round(&mut self) -> Result<QueueTurn, CallStop> {
        self.rejections = 0;
        self.tried.retain(|(_, failure)| !failure.is_not_run() || *failure == AttemptFailure::WrongIncarnation);
        loop {
            let spacing = ROUND_SPACING * 2_u32.pow(self.rounds.min(MAX_SPACING_DOUBLINGS));
            self.rounds += 1;
            let reserved = self.caller.deadline.since(self.caller.arrived).mul_f64(RequestQueue::RESERVED_TIME);
            if self.caller.time_left(self.context.timer.now()) <= spacing + reserved {
                return Err(self.stop_after(StopReason::NotRunLimit));
            }
            let closes_in = self.context.queues.closes_in().unwrap_or(spacing);
            self.context.timer.wait(spacing.min(closes_in)).await;
            let turn = self.wait_for_turn().await.map_err(|refused| self.stop_of(refused))?;
            if self.is_quarantined() {
                return Err(self.stop_after(StopReason::Quarantined));
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
    pub(super) async fn wait_for_room(
        &mut self,
        failure: &RoutingFailure,
        turn: Option<QueueTurn>,
    ) -> Result<Option<QueueTurn>, CallStop> {
        QuotaBorrower::spawn_if_needed(self.context);
        LeaseBorrower::spawn_if_needed(self.context);
        let queues = &Arc::clone(&self.context.queues);
        let no_endpoint = CallStop { reason: failure.reason, retry_after: failure.pause.max(BUSY_RETRY_AFTER) };
        if !queues.is_enabled() {
            if failure.awaits_room && self.may_wait_for_room() {
                self.context.timer.wait(ROOM_CHECK_INTERVAL).await;
                return Ok(None);
            }
            return Err(no_endpoint);
        }
        if failure.awaits_room {
            let turn = if let Some(turn) = turn {
                queues.wait_for_room(&self.caller.service, turn).await
            } else {
                queues.record_full(&self.caller.service, self.caller.priority());
                self.wait_for_turn().await
            };
            return turn.map(Some).map_err(|refused| self.stop_of(refused));
        }
        if self.rejections > 0 {
            return self.wait_for_next_round().await.map(Some);
        }
        Err(no_endpoint)
    }

    /// Waits for the call's turn among those that wait at this host.
    pub(super) async fn wait_for_turn(&mut self) -> Result<QueueTurn, RefusedWait> {
        self.has_waited = true;
        self.context.queues.wait(&self.caller.service, queue_request(self.caller)).await
    }

    /// Why the call is not sent again after its queue refused it, and when to try again.
    fn stop_of(&self, refused: RefusedWait) -> CallStop {
        let was_sent = self.ledger.attempts() > 0 && refused.refusal == QueueRefusal::TooLate;
        let reason = if was_sent { StopReason::NotRunLimit } else { refused.stop_reason() };
        CallStop { reason, retry_after: refused.retry_after }
    }

    /// Whether an answer that is sent after the wait for room may still be within the latency objective.
    fn may_wait_for_room(&self) -> bool {
        let now = self.context.timer.now();
        let waited = now.since(self.caller.arrived);
        let limit = self.caller.route.latency_objective.mul_f64(ROOM_WAIT_FACTOR);
        waited < limit && !self.caller.time_left(now).is_zero()
    }

    /// Ends the call for `reason`; it may be tried again when this host expects capacity for its priority.
    pub(super) fn stop_after(&self, reason: StopReason) -> CallStop {
        let retry_after = self.context.queues.retry_after(&self.caller.service, self.caller.priority());
        CallStop { reason, retry_after }
    }
}

/// Whether an attempt that failed counts against the limit on attempts of one round that did not run.
fn counts_in_round(failure: AttemptFailure) -> bool {
    failure.is_not_run() && failure != AttemptFailure::WrongIncarnation
}
