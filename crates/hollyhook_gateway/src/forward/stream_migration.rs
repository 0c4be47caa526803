use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{EndpointId, EngineSpeed, MigrationPlan, TimePoint};
use hollyhook_platform::BackupSource;

use super::endpoint_call::order_copy;
use super::endpoint_probe::probe_quickly;
use super::engine_choice::{BackupLocation, EngineChooser};
use super::live_attempt::LiveAttempt;
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;

/// Time limit for an engine to stop a run and to send the rest of its KV cache.
const MIGRATION_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a running stream is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The times at which a stream was last checked and last migrated.
#[derive(Debug, Default)]
pub(super) struct StreamMigration {
    checked_at: Option<TimePoint>,
    migrated_at: Option<TimePoint>,
}

impl StreamMigration {
    /// Whether a check of the stream is due; if so, it is recorded as done.
    fn begin_check(&mut self, now: TimePoint) -> bool {
        if self.checked_at.is_some_and(|at| now.since(at) < CHECK_INTERVAL) {
            return false;
        }
        self.checked_at = Some(now);
        true
    }

    /// Whether an engine has been ordered since `sent_at` to stop the run; its answer may have been lost.
    pub(super) fn has_ordered_since(&self, sent_at: TimePoint) -> bool {
        self.migrated_at.is_some_and(|at| at >= sent_at)
    }

    /// Stops a stream at its engine if it would miss its deadline there and end in time at the engine that holds its
    /// backup; returns the backup to resume from.
    ///
    /// The stream continues at its engine if that engine does not stop it or does not know its run.
    pub(super) async fn try_migrate(
        &mut self,
        context: &Arc<GatewayContext>,
        caller: &Arc<CallerRequest>,
        live: &LiveAttempt,
        last_event: Option<u64>,
    ) -> Option<BackupLocation> {
        let now = context.timer.now();
        if !self.begin_check(now) {
            return None;
        }
        let plan = self.plan(now, caller, live, last_event).filter(MigrationPlan::is_late)?;
        let backup = live.replicator.as_ref()?.location()?;
        let speed = speed_of(context, caller, &backup).await?;
        if !plan.gains_at(speed) || !context.begin_migration(live.slot.id()) || !context.try_retry(&caller.service) {
            return None;
        }
        self.migrated_at = Some(now);
        let location = stop_run(context, caller, live, &backup).await;
        log_migration(context, caller, live.slot.id(), &backup.id, location.is_some());
        location
    }

    /// The stream's expected remaining work; `None` if it is not known.
    ///
    /// Needs the caller's estimate of the output: the limit on it is often many times as long, so that nearly every stream
    /// would look late.
    fn plan(
        &self,
        now: TimePoint,
        caller: &CallerRequest,
        live: &LiveAttempt,
        last_event: Option<u64>,
    ) -> Option<MigrationPlan> {
        let event_tokens = caller.engine?.event_tokens?;
        let events = caller.head.prompt?.expected_tokens?.div_ceil(event_tokens);
        let events_left = events.saturating_sub(last_event.unwrap_or_default());
        let plan = MigrationPlan::new(events_left, live.meter.event_time(now)?, caller.time_left(now));
        Some(plan.since_last(self.migrated_at.map(|at| now.since(at))))
    }
}

/// The speed of the engine that holds a backup; `None` if that engine may not continue the stream or does not report.
async fn speed_of(
    context: &Arc<GatewayContext>,
    caller: &CallerRequest,
    backup: &BackupLocation,
) -> Option<EngineSpeed> {
    let filter = context.rollouts.version_filter(&caller.service, false).unwrap_or_default();
    let chooser = EngineChooser { context, caller, tried: &[], versions: &filter };
    let (record, _source) = chooser.usable_backup(backup)?;
    let candidate = probe_quickly(context, vec![record]).await.pop()?;
    let report = candidate.report?;
    // The stream would have to wait for the prompts ahead of it.
    (!report.has_pending_prompts()).then_some(candidate.speed)
}

/// Asks the engine to stop the run and to send the rest of the KV cache to the engine that holds the stream's backup.
///
/// Returns `None` if the run may still be in progress. If the engine stopped the run but the rest did not arrive, the
/// earlier backup is returned.
async fn stop_run(
    context: &Arc<GatewayContext>,
    caller: &CallerRequest,
    live: &LiveAttempt,
    backup: &BackupLocation,
) -> Option<BackupLocation> {
    let address = live.slot.target.address;
    let target = context.endpoints.table().get(&backup.id)?.address;
    let order = hollyhook_platform::encode_migration_request(&caller.head.attempt_id, target).ok()?;
    let response = order_copy(context, &live.slot.target, order, MIGRATION_TIMEOUT).await?;
    let handle = hollyhook_platform::decode_backup_handle(&response.body).ok();
    match (response.parts.status.is_success(), handle) {
        (true, Some(name)) => {
            let source = BackupSource { address, name };
            Some(BackupLocation { id: EndpointId::clone(&backup.id), source, is_on_demand: true })
        }
        // An answer with a handle states that the run has stopped, also if the rest could not be sent.
        (false, Some(_)) => Some(backup.clone()),
        (_, None) => None,
    }
}

fn log_migration(
    context: &GatewayContext,
    caller: &CallerRequest,
    from: &EndpointId,
    to: &EndpointId,
    is_stopped: bool,
) {
    context.recorder.count(if is_stopped { "streams_migrated" } else { "migrations_failed" });
    let left_ms = caller.time_left(context.timer.now()).as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, endpoint = %from, target = %to, is_stopped, left_ms,
        "stream.migrated");
}
