use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{
    AttemptBasis, EndpointId, Error, Name, RaceStep, Result, StopReason, StreamOrigin, VersionFilter,
};
use hollyhook_platform::AttemptHeaders;

use super::attempt_close::BUSY_RETRY_AFTER;
use super::stream_attempt::StreamAttempt;
use super::{SEARCH_INTERVAL, StreamRun};
use crate::forward::call_wait::ROOM_CHECK_INTERVAL;
use crate::forward::engine_choice::{BackupLocation, EngineChoice, EngineChooser};
use crate::forward::request_log;
use crate::gateway::RoutingFailure;
use crate::lease::LeaseBorrower;
use crate::origin::find_origin;
use crate::queue::{RefusedWait, queue_request};
use crate::quota::QuotaBorrower;
use crate::sync::OwnedFuture;

/// How long a stream whose attempts are all suspected waits before it looks for an engine again after the retry budget
/// allowed no further attempt.
const BUDGET_INTERVAL: Duration = Duration::from_millis(500);

/// How long an attempt waits for a lease of a slot or a send, in a few exchanges with hosts of the region.
const LEASE_WAIT: Duration = Duration::from_millis(100);

/// Choosing engines and beginning attempts.
impl StreamRun {
    /// Begins to look for a responsive engine, unless a search is under way or has just ended.
    pub(super) fn begin_search(&mut self) {
        let now = self.context.timer.now();
        if self.search.is_some() || now < self.search_at || !self.sequencer.can_resume() {
            return;
        }
        if !self.context.may_retry(&self.caller.service) {
            self.search_at = now + BUDGET_INTERVAL;
            return;
        }
        self.search_at = now + SEARCH_INTERVAL;
        let (context, caller) = (Arc::clone(&self.context), Arc::clone(&self.caller));
        let Some(versions) = self.known_versions() else {
            return;
        };
        let tried = self.tried.clone();
        let resume_from = self.attempts.iter().find_map(StreamAttempt::backup).or_else(|| self.resume_from.clone());
        let unanswered = self.attempts.iter().filter(|attempt| attempt.watch.is_unanswered());
        let silent: Vec<_> = unanswered.map(|attempt| attempt.target.clone()).collect();
        self.search = Some(OwnedFuture::new(async move {
            let chooser = EngineChooser { context: &context, caller: &caller, tried: &tried, versions: &versions };
            chooser.choose_responsive(resume_from, &silent).await
        }));
    }

    /// The versions that may write the next events; `None` if the stream's version is not known.
    fn known_versions(&self) -> Option<VersionFilter> {
        let (service, rollouts) = (&self.caller.service, &self.context.rollouts);
        match self.origin.as_ref()? {
            StreamOrigin::Version(version) => rollouts.continuation_filter(service, version),
            StreamOrigin::Open => Some(self.record_filter(rollouts.version_filter(service, false))),
            StreamOrigin::Unknown | StreamOrigin::Untraceable => None,
        }
    }

    /// Begins an attempt beside those that are suspected, unless the retry budget is exhausted.
    pub(super) fn begin_beside(&mut self, choice: Option<EngineChoice>) {
        if self.race.next_step(&self.ledger) != RaceStep::BeginBeside {
            return;
        }
        let Some(choice) = choice else {
            return;
        };
        if !self.context.try_retry(&self.caller.service) {
            self.search_at = self.context.timer.now() + BUDGET_INTERVAL;
            return;
        }
        if choice.from.is_some() {
            // The new attempt uses the backup, which the suspected one must not free.
            self.resume_from = None;
            let _used = self.attempts.iter().find_map(StreamAttempt::take_backup);
        }
        self.begin_attempt(choice);
    }

    /// Chooses the engine of the next attempt; a stream that has not begun waits until there is room for it.
    ///
    /// # Errors
    ///
    /// The error for the caller if no engine may continue the stream or admits the request in time.
    pub(super) async fn choose_at_turn(&mut self) -> Result<EngineChoice> {
        let queues = Arc::clone(&self.context.queues);
        let caller = Arc::clone(&self.caller);
        let (service, priority) = (&caller.service, caller.priority());
        let may_wait = self.may_wait_for_turn();
        let mut turn = None;
        let begun = self.context.timer.now();
        if may_wait && queues.must_wait(service, priority) {
            let waited = queues.wait(service, queue_request(&caller)).await;
            turn = Some(waited.map_err(|refused| self.refused_error(refused))?);
        }
        loop {
            let failure = match self.choose_engine().await? {
                Ok(choice) => {
                    if let Some(turn) = turn {
                        turn.end_sent();
                    }
                    return Ok(choice);
                }
                Err(failure) => failure,
            };
            QuotaBorrower::spawn_if_needed(&self.context);
            LeaseBorrower::spawn_if_needed(&self.context);
            if failure.awaits_room && !may_wait && self.context.timer.now().since(begun) < LEASE_WAIT {
                self.context.timer.wait(ROOM_CHECK_INTERVAL).await;
                continue;
            }
            if !may_wait || !failure.awaits_room {
                let retry = failure.pause.max(BUSY_RETRY_AFTER);
                return Err(self.ledger.final_error(failure.reason, self.sequencer.delivered(), retry));
            }
            let waited = if let Some(turn) = turn.take() {
                queues.wait_for_room(service, turn).await
            } else {
                queues.record_full(service, priority);
                queues.wait(service, queue_request(&caller)).await
            };
            turn = Some(waited.map_err(|refused| self.refused_error(refused))?);
        }
    }

    /// Whether the stream may wait for its turn: neither this host nor an earlier one has delivered an event.
    fn may_wait_for_turn(&self) -> bool {
        let has_begun = self.caller.head.cursor.is_some() || self.sequencer.delivered() > 0;
        !has_begun && self.context.queues.is_enabled()
    }

    fn refused_error(&self, refused: RefusedWait) -> Error {
        self.ledger.final_error(refused.stop_reason(), self.sequencer.delivered(), refused.retry_after)
    }

    /// Chooses the engine of the next attempt; the inner error says why no engine admits the request now.
    ///
    /// # Errors
    ///
    /// The error for the caller if no engine may continue the stream.
    async fn choose_engine(&mut self) -> Result<std::result::Result<EngineChoice, RoutingFailure>> {
        let resume_from = self.resume_from.take();
        let origin = self.origin().await;
        let (service, context) = (&self.caller.service, &self.context);
        let filter = match &origin {
            StreamOrigin::Version(version) => {
                let filter = context.rollouts.continuation_filter(service, version);
                filter.ok_or_else(|| self.stop_error(StopReason::NoEndpoint))?
            }
            StreamOrigin::Open => self.record_filter(context.rollouts.version_filter(service, self.is_first())),
            StreamOrigin::Unknown | StreamOrigin::Untraceable => {
                return Err(self.stop_error(StopReason::OriginUnknown));
            }
        };
        let chooser = EngineChooser { context, caller: &self.caller, tried: &self.tried, versions: &filter };
        let choice = match origin {
            StreamOrigin::Open if filter.only.is_some() => self.choose_any_version(chooser, resume_from).await,
            _ => chooser.choose(resume_from).await,
        };
        Ok(choice)
    }

    /// Chooses an engine of the version that a roll-out moves requests to, or of another one if it has no room.
    async fn choose_any_version(
        &self,
        chooser: EngineChooser<'_>,
        resume_from: Option<BackupLocation>,
    ) -> std::result::Result<EngineChoice, RoutingFailure> {
        if let Ok(choice) = chooser.choose(resume_from).await {
            return Ok(choice);
        }
        let filter = self.record_filter(self.context.rollouts.fallback_filter(&self.caller.service));
        EngineChooser { versions: &filter, ..chooser }.choose(None).await
    }

    /// Restricts a filter to versions whose streams can be told from those of others after the loss of all hosts.
    fn record_filter(&self, filter: Option<VersionFilter>) -> VersionFilter {
        let (versions, service) = (&self.context.versions, &self.caller.service);
        let mut filter = filter.unwrap_or_default().recorded(versions.admitted(service));
        filter.except.extend(versions.closed(service));
        filter
    }

    /// Which versions may write the next events.
    async fn origin(&mut self) -> StreamOrigin {
        if let Some(origin) = &self.origin {
            return origin.clone();
        }
        let caller = &self.caller;
        let found = find_origin(&self.context, &caller.service, caller.head.first_attempt.as_ref()).await;
        request_log::origin_found(&self.context, caller, &found);
        self.origin.insert(found.origin).clone()
    }

    pub(super) fn begin_attempt(&mut self, choice: EngineChoice) {
        let EngineChoice { slot, from, backup, prompt_at } = choice;
        let basis = match (&from, self.sequencer.last()) {
            (Some(_), _) => AttemptBasis::Copy,
            (None, Some(_)) => AttemptBasis::Cursor,
            (None, None) => AttemptBasis::Start,
        };
        let headers = AttemptHeaders {
            endpoint: Some(Name::clone(&slot.target.entry)),
            account: self.caller.account.as_ref().map(|account| Arc::clone(&account.name)),
            time_left: self.caller.time_left(self.context.timer.now()),
            priority: Some(self.caller.priority()),
            weights: self.weights,
            cursor: self.sequencer.last(),
            backup_at: backup.as_ref().map(|backup| backup.source.address),
            backup_from: from,
            prompt_at,
        };
        request_log::attempt_placed(&self.context, &self.caller, &slot, &headers);
        if self.caller.engine.is_some() && self.sequencer.last().is_none() {
            let first_attempt = self.caller.first_attempt();
            self.context.snapshots.record_attempt(first_attempt, &self.caller.service, &slot.target.version);
        }
        let is_first = self.is_first();
        self.tried.push(EndpointId::clone(slot.id()));
        let key = self.race.begin_from(basis);
        let attempt = StreamAttempt::send(&self.context, &self.caller, key, slot, backup, headers, is_first);
        self.attempts.push(attempt);
    }

    /// Whether the next attempt begins the generation rather than resuming it.
    fn is_first(&self) -> bool {
        self.tried.is_empty() && self.caller.head.cursor.is_none()
    }
}
