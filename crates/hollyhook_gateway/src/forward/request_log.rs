//! Log events and metrics of a request's life cycle, with the same fields for every kind of request.

use std::time::Duration;

use hollyhook_core::{AccountName, CapacityShortage, EndpointId, Error, RunState, StreamOrigin};
use hollyhook_platform::AttemptHeaders;
use hollyhook_telemetry::MetricMeasure;

use super::attempt::EndpointSlot;
use super::lost_run::LostRun;
use super::stream_timing::{StreamResume, StreamTiming};
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;
use crate::origin::FoundOrigin;

/// The last endpoint that a call was sent to.
#[derive(Debug, Default)]
pub(super) struct CallTrace {
    pub(super) endpoint: Option<EndpointId>,
    /// Age of this host's endpoint list when the endpoint was chosen, in milliseconds; `None` before the first list.
    pub(super) known_ms: Option<u64>,
}

/// Logs that an attempt is sent to an endpoint.
pub(super) fn attempt_placed(
    context: &GatewayContext,
    caller: &CallerRequest,
    slot: &EndpointSlot,
    headers: &AttemptHeaders,
) {
    let age_ms = age_ms(context, caller);
    let backup_at = headers.backup_at.map(|address| address.to_string());
    let prompt_at = headers.prompt_at.map(|address| address.to_string());
    // The own part of the prompt identifies a generation across its caller's attempts, each of which has its own id.
    let own_part = caller.head.prompt.and_then(|prompt| prompt.own_part);
    let prompt = own_part.map(|part| format!("{part:x}"));
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, endpoint = %slot.target.id,
        zone = %slot.target.group.zone, version = %slot.target.version, open = slot.open, known_ms = slot.known_ms,
        first_attempt = caller.head.first_attempt.as_deref(), left_ms = headers.time_left.as_millis() as u64,
        cursor = headers.cursor,
        is_from_backup = headers.backup_from.is_some(), backup_at, prompt_at, prompt,
        parts = format!("{:x?}", caller.head.shared_parts), age_ms, "attempt.placed");
}

/// Records that no probed engine has capacity for the priority of a stream; `endpoint` is the best of them.
pub(super) fn awaits_capacity(
    context: &GatewayContext,
    caller: &CallerRequest,
    endpoint: &EndpointId,
    shortage: CapacityShortage,
    pause: Duration,
) {
    context.recorder.count(match shortage {
        CapacityShortage::Memory => "placements_short_of_memory",
        CapacityShortage::Reading => "placements_short_of_reading",
        CapacityShortage::Headroom => "placements_short_of_headroom",
    });
    let age_ms = age_ms(context, caller);
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, endpoint = %endpoint,
        priority = caller.priority(), shortage = shortage.as_str(), pause_ms = pause.as_millis() as u64, age_ms,
        "placement.awaits_capacity");
}

/// Records that a stream is placed without headroom for higher priorities, since it can't wait longer.
pub(super) fn placed_without_headroom(context: &GatewayContext, caller: &CallerRequest, endpoint: &EndpointId) {
    context.recorder.count("placements_without_headroom");
    let age_ms = age_ms(context, caller);
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, endpoint = %endpoint,
        priority = caller.priority(), age_ms, "placement.without_headroom");
}

/// Records which software versions may continue a stream that its caller takes up, and how that was found.
pub(super) fn origin_found(context: &GatewayContext, caller: &CallerRequest, found: &FoundOrigin) {
    let (counter, version) = match &found.origin {
        StreamOrigin::Open => ("origins_open", None),
        StreamOrigin::Version(version) => ("origins_found", Some(&**version)),
        StreamOrigin::Unknown => ("origins_unknown", None),
        StreamOrigin::Untraceable => ("origins_untraceable", None),
    };
    context.recorder.count(counter);
    tracing::info!(request = %caller.head.attempt_id, first_attempt = caller.head.first_attempt.as_deref(), version,
        outcome = counter, source = found.source.as_str(), "stream.origin");
}

/// Logs that an attempt at an endpoint failed.
pub(super) fn attempt_failed(
    context: &GatewayContext,
    caller: &CallerRequest,
    endpoint: &EndpointId,
    lost: LostRun,
    last_event: Option<u64>,
) {
    let age_ms = age_ms(context, caller);
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, endpoint = %endpoint,
        failure = lost.failure.as_str(), last_event, events_ms = lost.run_time.as_millis() as u64, age_ms,
        "attempt.failed");
}

/// Records that an attempt is suspected, because its endpoint has sent nothing for `silent`.
pub(super) fn attempt_suspected(
    context: &GatewayContext,
    caller: &CallerRequest,
    endpoint: &EndpointId,
    silent: Duration,
) {
    context.recorder.count("attempts_suspected");
    log_silence(context, caller, endpoint, silent, "attempt.suspected");
}

/// Records that a suspected attempt has gone on, or that its endpoint still works on it.
pub(super) fn attempt_trusted(
    context: &GatewayContext,
    caller: &CallerRequest,
    endpoint: &EndpointId,
    silent: Duration,
) {
    context.recorder.count("attempts_trusted_again");
    log_silence(context, caller, endpoint, silent, "attempt.trusted");
}

/// Records that an attempt is closed because another one has answered first.
pub(super) fn attempt_cancelled(
    context: &GatewayContext,
    caller: &CallerRequest,
    endpoint: &EndpointId,
    silent: Duration,
) {
    context.recorder.count("attempts_cancelled");
    log_silence(context, caller, endpoint, silent, "attempt.cancelled");
}

/// Records that an attempt is closed because the one at `successor` has taken the request over.
pub(super) fn attempt_taken_over(
    context: &GatewayContext,
    caller: &CallerRequest,
    endpoint: &EndpointId,
    successor: Option<&EndpointId>,
    silent: Duration,
) {
    context.recorder.count("attempts_taken_over");
    let age_ms = age_ms(context, caller);
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, endpoint = %endpoint,
        successor = successor.map(|id| &**id), silent_ms = silent.as_millis() as u64, age_ms, "attempt.taken_over");
}

fn log_silence(
    context: &GatewayContext,
    caller: &CallerRequest,
    endpoint: &EndpointId,
    silent: Duration,
    change: &'static str,
) {
    let age_ms = age_ms(context, caller);
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, endpoint = %endpoint,
        silent_ms = silent.as_millis() as u64, age_ms, "{change}");
}

/// Logs that an endpoint crashed while it ran a request.
pub(super) fn crashed(context: &GatewayContext, caller: &CallerRequest, endpoint: &EndpointId, run_time: Duration) {
    let age_ms = age_ms(context, caller);
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, endpoint = %endpoint,
        digest = %caller.digest(), parts = format!("{:x?}", caller.head.shared_parts),
        events_ms = run_time.as_millis() as u64, age_ms, "request.crashed_endpoint");
}

/// Records that a stream resumed after an attempt was lost.
pub(super) fn resumed(context: &GatewayContext, caller: &CallerRequest, resume: &StreamResume) {
    context.recorder.record_cause(MetricMeasure::ResumeLatency, resume.cause, resume.span);
    let pause_ms = resume.span.as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, cause = resume.cause, pause_ms,
        "stream.resumed");
}

/// Records that a plain call was answered with an endpoint's response; `last` is the last attempt.
pub(super) fn answered(context: &GatewayContext, caller: &CallerRequest, status: u16, last: &CallTrace, attempts: u32) {
    let age = context.timer.now().since(caller.arrived);
    context.recorder.count("requests_answered");
    context.recorder.record(MetricMeasure::PlainCall, &account_label(caller), &caller.route.name, &[age]);
    let age_ms = age.as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, service = %caller.service,
        site_version = caller.site_version, status, endpoint = last.endpoint.as_deref(), known_ms = last.known_ms,
        attempts, age_ms, "request.answered");
}

/// Records that a stream was delivered to its end.
pub(super) fn streamed(context: &GatewayContext, caller: &CallerRequest, timing: &StreamTiming, attempts: u32) {
    let age_ms = age_ms(context, caller);
    let account = account_label(caller);
    context.recorder.count("requests_streamed");
    if let Some(first) = timing.first() {
        let first = first.since(caller.arrived);
        context.recorder.record(MetricMeasure::FirstToken, &account, &caller.route.name, &[first]);
    }
    context.recorder.record(MetricMeasure::LongestGap, &account, &caller.route.name, &[timing.longest_gap()]);
    if !timing.resumes().is_empty() {
        context.recorder.record(MetricMeasure::ResumeLatency, &account, &caller.route.name, timing.resumes());
    }
    let first_ms = timing.first().map(|first| first.since(caller.arrived).as_millis() as u64);
    let longest_gap_ms = timing.longest_gap().as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, service = %caller.service,
        site_version = caller.site_version, status = 200, attempts, age_ms, first_ms, longest_gap_ms,
        cursor = caller.head.cursor, "request.streamed");
}

/// Records that a request ended with an error: refused, cut off, or with an unknown outcome.
pub(super) fn ended(context: &GatewayContext, caller: &CallerRequest, error: &Error, attempts: u32) {
    context.recorder.count(ended_counter(error));
    let age_ms = age_ms(context, caller);
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, service = %caller.service,
        site_version = caller.site_version, kind = %error.kind(), attempts, age_ms,
        reason = %error.message(), "request.ended");
}

/// Time since the request arrived at this host, in milliseconds.
fn age_ms(context: &GatewayContext, caller: &CallerRequest) -> u64 {
    context.timer.now().since(caller.arrived).as_millis() as u64
}

/// Account label of a request's metrics; `public` for a request without an account.
fn account_label(caller: &CallerRequest) -> AccountName {
    let account = caller.account.as_ref().map(|account| AccountName::clone(&account.name));
    account.unwrap_or_else(|| "public".into())
}

fn ended_counter(error: &Error) -> &'static str {
    match error.get_run() {
        RunState::NotRun => "requests_refused",
        RunState::Partial => "requests_cut_off",
        RunState::Unknown => "requests_outcome_unknown",
    }
}
