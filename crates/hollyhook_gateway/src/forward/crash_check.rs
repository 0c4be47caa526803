use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use hollyhook_core::{AttemptFailure, Error, ErrorKind, StopReason};

use super::endpoint_check::EndpointCheck;
use super::lost_run::LostRun;
use super::request_log;
use crate::front::CallerRequest;
use crate::gateway::{GatewayContext, SurvivingRun};
use crate::path::EndpointTarget;
use crate::store::QuarantineWriter;

/// How often a request that waits for the verdict on a part of its prompt checks whether there is one.
const VERDICT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a stream must have had events for the check of its lost engine not to delay its next attempt.
const BACKGROUND_RUN_TIME: Duration = Duration::from_secs(1);

/// Records a crash against a request if the endpoint that ran it has crashed, and waits until it is decided whether the
/// request may be sent again.
///
/// A stream that has had events for [`BACKGROUND_RUN_TIME`] does not wait for the check: its caller would notice the
/// pause, and most such streams are lost beside the cause of a crash.
pub(super) async fn check_crash(
    context: &Arc<GatewayContext>,
    caller: &Arc<CallerRequest>,
    target: &EndpointTarget,
    lost: LostRun,
) {
    if lost.run_time >= BACKGROUND_RUN_TIME {
        let (context, caller, target) = (Arc::clone(context), Arc::clone(caller), target.clone());
        task::spawn(async move { record_if_crashed(&context, &caller, &target, lost).await });
    } else {
        record_if_crashed(context, caller, target, lost).await;
    }
    await_verdict(context, caller).await;
}

/// Records a crash against a request if the endpoint that ran it has crashed.
///
/// A broken connection alone proves little: live endpoints and network links reset some. An endpoint whose process has
/// ended refuses the next connections or breaks each of them, of other hosts too. If that is not seen, a lost attempt
/// (`Broken`, `Garbled`, `Silent`) is remembered for a while, and counts as a crash if the endpoint turns out to have
/// restarted or its entry in the store is removed.
pub(super) async fn record_if_crashed(
    context: &Arc<GatewayContext>,
    caller: &CallerRequest,
    target: &EndpointTarget,
    lost: LostRun,
) {
    let LostRun { failure, run_time } = lost;
    let is_cut_off = matches!(failure, AttemptFailure::Broken | AttemptFailure::Garbled);
    let has_crashed = is_cut_off && has_crashed(context, target).await;
    if !has_crashed && (is_cut_off || failure == AttemptFailure::Silent) {
        context.quarantine.record_unanswered(caller.suspect(), &target.id, run_time);
    }
    if has_crashed {
        context.recorder.count("endpoint_crashes");
        request_log::crashed(context, caller, &target.id, run_time);
        context.quarantine.record_crash(caller.suspect(), &target.id, run_time);
        QuarantineWriter::spawn_if_needed(context);
    }
}

/// Whether an endpoint has crashed, as far as this host and others can tell now.
async fn has_crashed(context: &Arc<GatewayContext>, target: &EndpointTarget) -> bool {
    let (checked_by, checked) = (Arc::clone(context), target.clone());
    let check = async move { EndpointCheck::new(&checked_by, &checked).run().await };
    context.crash_checks.join(&target.id, check).await
}

/// Records that an endpoint ran a request to its end.
pub(super) fn record_survival(context: &Arc<GatewayContext>, caller: &CallerRequest) {
    context.quarantine.record_survival(|| caller.suspect());
    QuarantineWriter::spawn_if_needed(context);
}

/// Records that an attempt has sent events for `seconds`, and counts it as running for so long until the guard in `run`
/// is dropped. There is no guard if its prompt has no part that other requests may share.
pub(super) fn record_running(
    context: &Arc<GatewayContext>,
    caller: &CallerRequest,
    run: &mut Option<SurvivingRun>,
    seconds: u64,
) {
    match run {
        Some(run) => run.extend(seconds),
        None if caller.head.shared_parts.is_empty() => {}
        None => *run = Some(context.quarantine.begin_run(&caller.head.shared_parts, seconds)),
    }
    context.quarantine.record_long_run(|| caller.suspect(), seconds);
    QuarantineWriter::spawn_if_needed(context);
}

/// Records that no further attempt is made for a request.
pub(super) fn record_given_up(context: &Arc<GatewayContext>, caller: &CallerRequest) {
    context.quarantine.record_given_up(|| caller.digest());
    QuarantineWriter::spawn_if_needed(context);
}

/// Waits until it is decided whether a part of the request's prompt crashes endpoints.
///
/// Most parts are cleared within milliseconds, by requests that run well with them.
pub(super) async fn await_verdict(context: &GatewayContext, caller: &CallerRequest) {
    while let Some(left) = context.quarantine.verdict_due(&caller.head.shared_parts) {
        let time_left = caller.time_left(context.timer.now());
        if time_left.is_zero() {
            return;
        }
        context.timer.wait(left.min(VERDICT_CHECK_INTERVAL).min(time_left)).await;
    }
}

/// Returns the error for a quarantined request: one that crashed endpoints, at this host or at others.
///
/// Each crash also ends the requests of other callers that run at the endpoint, so that a further attempt would harm
/// them too.
pub(super) fn quarantine_error(context: &GatewayContext, caller: &CallerRequest) -> Option<Error> {
    let left = context.quarantine.refusal(|| caller.suspect())?;
    let error = Error::new(ErrorKind::Quarantined, StopReason::Quarantined.as_str());
    Some(error.retry_after(left))
}
