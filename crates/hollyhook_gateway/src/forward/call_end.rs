use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::join_all;
use hollyhook_core::{AttemptFailure, EndpointId, StopReason};

use super::attempt_end::end_attempt;
use super::buffered_response::BufferedResponse;
use super::call_attempt::{CallAttempt, CallOutcome};
use super::call_run::{CallRun, CallStop};
use super::crash_check::{check_crash, record_survival};
use super::lost_run::LostRun;
use super::request_log;

/// How the attempts at a call end: one wins, the others are cancelled; a failed one ends the call only if it was the
/// last that was open.
impl CallRun<'_> {
    /// Evaluates an attempt that has ended; returns the response that ends the call.
    pub(super) async fn end(
        &mut self,
        index: usize,
        outcome: CallOutcome,
    ) -> Result<Option<BufferedResponse>, CallStop> {
        let attempt = self.attempts.remove(index);
        attempt.record_outcome(self.context, self.caller, &outcome);
        match outcome {
            CallOutcome::Response(response) => return Ok(Some(self.win(attempt, response))),
            CallOutcome::Fallback(response) => {
                self.answered_by = attempt.trace();
                self.fallback = Some(response);
                self.fail(attempt, AttemptFailure::Failed).await?;
            }
            CallOutcome::Failure(failure) => self.fail(attempt, failure).await?,
        }
        Ok(None)
    }

    /// Takes the response of an attempt as that of the call, and cancels the other attempts.
    fn win(&mut self, attempt: CallAttempt, mut response: BufferedResponse) -> BufferedResponse {
        if self.race.is_suspected(attempt.key) {
            request_log::attempt_trusted(self.context, self.caller, attempt.slot.id(), attempt.age(self.context));
        }
        for loser in std::mem::take(&mut self.attempts) {
            self.cancel(&loser);
        }
        self.race.win(attempt.key);
        if response.parts.status.is_success() {
            self.clear_after_checks();
        }
        let took = attempt.call_time(self.context);
        self.context.queues.record_success(&self.caller.service, took);
        self.answered_by = attempt.trace();
        response.hold_slot(attempt.slot);
        response
    }

    /// Closes an attempt because another one has answered first.
    ///
    /// Only a suspected one is evidence about its endpoint's software version: its answer is late where that of another
    /// endpoint is not.
    fn cancel(&mut self, loser: &CallAttempt) {
        request_log::attempt_cancelled(self.context, self.caller, loser.slot.id(), loser.age(self.context));
        self.ledger.record_failure(AttemptFailure::Silent);
        if self.race.is_suspected(loser.key) {
            loser.record_outcome(self.context, self.caller, &CallOutcome::Failure(AttemptFailure::Silent));
            self.record_unanswered(loser);
        }
    }

    /// Remembers that an endpoint left the call without an answer, unless it has been heard since: a silent endpoint may
    /// have crashed, which its restart or the end of its entry would show.
    pub(super) fn record_unanswered(&self, attempt: &CallAttempt) {
        let id = attempt.slot.id();
        if self.race.is_suspected(attempt.key) && self.context.endpoints.is_silent(id) {
            self.context.quarantine.record_unanswered(self.caller.suspect(), id, Duration::ZERO);
        }
    }

    /// Records the success of the call once more after the running crash checks, since a crash that they find precedes
    /// it.
    fn clear_after_checks(&mut self) {
        let checks = std::mem::take(&mut self.checks);
        if checks.is_empty() {
            return;
        }
        let (context, caller) = (Arc::clone(self.context), Arc::clone(self.caller));
        task::spawn(async move {
            join_all(checks).await;
            record_survival(&context, &caller);
        });
    }

    /// Closes an attempt that has failed.
    ///
    /// # Errors
    ///
    /// Why the call ends, if no other attempt is open and no further one may be made.
    pub(super) async fn fail(&mut self, attempt: CallAttempt, failure: AttemptFailure) -> Result<(), CallStop> {
        self.race.remove(attempt.key);
        let id = EndpointId::clone(attempt.slot.id());
        let lost = LostRun::before_events(failure);
        request_log::attempt_failed(self.context, self.caller, &id, lost, None);
        let is_last_open = self.attempts.is_empty();
        if is_last_open {
            check_crash(self.context, self.caller, &attempt.slot.target, lost).await;
            join_all(std::mem::take(&mut self.checks)).await;
        } else {
            let (context, caller) = (Arc::clone(self.context), Arc::clone(self.caller));
            let target = attempt.slot.target.clone();
            self.checks.push(task::spawn(async move { check_crash(&context, &caller, &target, lost).await }));
        }
        let is_full = failure == AttemptFailure::Rejected && !self.is_paused(&id);
        self.tried.push((id, failure));
        self.rejections += u32::from(is_full);
        drop(attempt);
        if is_last_open {
            return self.go_on_after(failure, is_full).await;
        }
        self.ledger.record_failure(failure);
        if is_full {
            self.context.queues.record_rejection(&self.caller.service, false);
        }
        Ok(())
    }

    /// Decides whether the call goes on after its last open attempt has failed, and waits for the next round if it has
    /// to.
    async fn go_on_after(&mut self, failure: AttemptFailure, is_full: bool) -> Result<(), CallStop> {
        let reason = end_attempt(self.context, self.caller, &mut self.ledger, failure);
        let may_wait = self.may_wait_after(reason);
        if is_full {
            self.context.queues.record_rejection(&self.caller.service, may_wait);
        }
        if may_wait {
            self.owes_retry = reason == Some(StopReason::BudgetExhausted);
            self.turn = Some(self.wait_for_next_round().await?);
            return Ok(());
        }
        match reason.or_else(|| self.is_round_over().then_some(StopReason::NotRunLimit)) {
            Some(reason) => Err(self.stop_after(reason)),
            None => Ok(()),
        }
    }
}
