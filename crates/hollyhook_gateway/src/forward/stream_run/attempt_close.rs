use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use hollyhook_core::{AttemptFailure, AttemptKey, EndpointId, Error, RaceClosure, Result, StopReason, VersionOutcome};

use super::stream_attempt::{AttemptState, StreamAttempt};
use super::{StreamRun, StreamStep};
use crate::forward::attempt_end::end_attempt;
use crate::forward::attempt_times::record_version_outcome;
use crate::forward::crash_check::{check_crash, record_given_up, record_if_crashed, record_survival};
use crate::forward::lost_run::LostRun;
use crate::forward::request_log;
use crate::path::EndpointTarget;

/// Retry-After delay if every engine rejected a generation.
pub(super) const BUSY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Closing attempts, and ending the stream.
impl StreamRun {
    /// Closes the attempts that may not go on beside another one.
    pub(super) fn settle_race(&mut self) {
        self.record_sent();
        let Some(RaceClosure { kept, closed }) = self.race.settle(self.context.timer.now()) else {
            return;
        };
        // It may have found a copy of an attempt that is being closed.
        self.search = None;
        for key in closed {
            let Some(attempt) = self.take_attempt(key) else {
                continue;
            };
            let silent = self.context.timer.now().since(attempt.watch.silent_since());
            if key < kept {
                let successor = self.attempts.iter().find(|attempt| attempt.key == kept);
                let successor = successor.map(|successor| &successor.target.id);
                let id = &attempt.target.id;
                request_log::attempt_taken_over(&self.context, &self.caller, id, successor, silent);
                // One that was made on demand is freed with its attempt.
                self.resume_from = attempt.backup().filter(|backup| !backup.is_on_demand).or(self.resume_from.take());
            } else {
                request_log::attempt_cancelled(&self.context, &self.caller, &attempt.target.id, silent);
            }
            self.close(&attempt, kept);
        }
    }

    /// Closes an attempt that `winner` has outrun.
    pub(super) fn cancel(&mut self, key: AttemptKey, winner: AttemptKey) {
        let Some(attempt) = self.take_attempt(key) else {
            return;
        };
        let silent = self.context.timer.now().since(attempt.watch.silent_since());
        request_log::attempt_cancelled(&self.context, &self.caller, &attempt.target.id, silent);
        self.close(&attempt, winner);
    }

    /// Records which requests have been sent.
    pub(super) fn record_sent(&mut self) {
        for attempt in &self.attempts {
            if let Some(at) = attempt.sent_at() {
                self.race.record_sent(attempt.key, at);
            }
        }
    }

    fn take_attempt(&mut self, key: AttemptKey) -> Option<StreamAttempt> {
        let index = self.attempts.iter().position(|attempt| attempt.key == key)?;
        Some(self.attempts.remove(index))
    }

    /// Counts an attempt that is being closed in favour of `kept`.
    fn close(&mut self, attempt: &StreamAttempt, kept: AttemptKey) {
        let now = self.context.timer.now();
        self.ledger.record_failure(AttemptFailure::Silent);
        self.run_time += attempt.event_span(now);
        if attempt.key < kept {
            self.timing.record_loss(AttemptFailure::Silent.as_str());
        }
        if self.context.endpoints.is_silent(&attempt.target.id) {
            let times = attempt.times(now);
            let failure = AttemptFailure::Silent;
            let outcome = VersionOutcome::of_failure(failure);
            record_version_outcome(&self.context, &self.caller, &attempt.target, outcome, times);
            self.context.endpoints.record_outcome(&attempt.target.id, Some(failure));
            self.check_crash_beside(&attempt.target, failure);
        }
    }

    pub(super) fn complete(&mut self, index: usize) {
        let mut attempt = self.attempts.swap_remove(index);
        self.attempts.clear();
        self.search = None;
        if let AttemptState::Live(live) = std::mem::replace(&mut attempt.state, AttemptState::Closed) {
            self.first_head.get_or_insert_with(|| live.response.parts.clone());
            self.context.endpoints.record_outcome(live.slot.id(), None);
            live.record_run(&self.context);
            let times = live.times(self.context.timer.now());
            let outcome = Some(VersionOutcome::Good);
            record_version_outcome(&self.context, &self.caller, &live.slot.target, outcome, times);
            let live = *live;
            live.response.release(&self.context, live.slot.id());
        }
        if let Some(first) = self.timing.first() {
            let took = self.context.timer.now().since(first);
            self.context.queues.record_success(&self.caller.service, took);
        }
        record_survival(&self.context, &self.caller);
        request_log::streamed(&self.context, &self.caller, &self.timing, self.ledger.attempts() + 1);
    }

    pub(super) fn finish_with_error(&mut self, error: Error) -> Error {
        self.has_ended = true;
        self.attempts.clear();
        self.search = None;
        request_log::ended(&self.context, &self.caller, &error, self.ledger.attempts());
        record_given_up(&self.context, &self.caller);
        error
    }

    /// Closes an attempt that is lost.
    ///
    /// # Errors
    ///
    /// The error for the caller if no attempt is open any more and no further one may be made.
    pub(super) async fn abandon(&mut self, index: usize, failure: AttemptFailure) -> Result<StreamStep> {
        let attempt = self.attempts.remove(index);
        self.race.remove(attempt.key);
        let is_last_open = self.attempts.is_empty();
        if is_last_open {
            self.timing.record_loss(failure.as_str());
        }
        // Dropping the attempt closes its connection, which stops the generation at its engine.
        let target = attempt.target.clone();
        let now = self.context.timer.now();
        let outcome = VersionOutcome::of_failure(failure);
        record_version_outcome(&self.context, &self.caller, &target, outcome, attempt.times(now));
        self.run_time += attempt.event_span(now);
        self.resume_from = attempt.take_backup().or_else(|| self.resume_from.take());
        drop(attempt);
        if is_last_open {
            check_crash(&self.context, &self.caller, &target, self.lost_run(failure)).await;
        } else {
            self.check_crash_beside(&target, failure);
        }
        self.record_failure(&target.id, failure, is_last_open)?;
        Ok(StreamStep::Continue)
    }

    /// Checks in the background whether the engine of a lost attempt has crashed.
    fn check_crash_beside(&self, target: &EndpointTarget, failure: AttemptFailure) {
        let (context, caller, target) = (Arc::clone(&self.context), Arc::clone(&self.caller), target.clone());
        let lost = self.lost_run(failure);
        task::spawn(async move { record_if_crashed(&context, &caller, &target, lost).await });
    }

    fn lost_run(&self, failure: AttemptFailure) -> LostRun {
        LostRun { failure, run_time: self.run_time }
    }

    fn record_failure(&mut self, id: &EndpointId, failure: AttemptFailure, is_last_open: bool) -> Result<()> {
        self.context.endpoints.record_outcome(id, Some(failure));
        let lost = self.lost_run(failure);
        request_log::attempt_failed(&self.context, &self.caller, id, lost, self.sequencer.last());
        if !is_last_open {
            self.ledger.record_failure(failure);
            return Ok(());
        }
        let reason = if self.sequencer.can_resume() {
            end_attempt(&self.context, &self.caller, &mut self.ledger, failure)
        } else {
            self.ledger.record_failure(failure);
            Some(StopReason::NotRepeatable)
        };
        match reason {
            Some(reason) => Err(self.stop_error(reason)),
            None => Ok(()),
        }
    }

    pub(super) fn stop_error(&self, reason: StopReason) -> Error {
        self.ledger.final_error(reason, self.sequencer.delivered(), BUSY_RETRY_AFTER)
    }
}
