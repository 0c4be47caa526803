//! Log lines for what is decided about a request, in one form.

use hollyhook_core::{AccountName, AttemptFailure, EndpointId, Error, RunState};
use hollyhook_platform::AttemptHeaders;
use hollyhook_telemetry::MetricMeasure;

use super::attempt::EndpointPlace;
use super::stream_pace::{StreamPace, StreamResume};
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;

/// The last endpoint that a call was sent to.
#[derive(Debug, Default)]
pub(super) struct CallTrace {
    pub(super) endpoint: Option<EndpointId>,
    /// How old what the host knew of endpoints was when it was chosen, in milliseconds.
    pub(super) known_ms: Option<u64>,
}

/// An attempt is sent to an endpoint.
pub(super) fn attempt_placed(
    context: &GatewayContext,
    caller: &CallerRequest,
    place: &EndpointPlace,
    headers: &AttemptHeaders,
) {
    let age_ms = context.timer.now().since(caller.arrived).as_millis() as u64;
    let backup_at = headers.backup_at.map(|address| address.to_string());
    let prompt_at = headers.prompt_at.map(|address| address.to_string());
    // Names the generation over all attempts of its caller, each of which has an id of its own.
    let own_part = caller.head.prompt.and_then(|prompt| prompt.own_part);
    let prompt = own_part.map(|part| format!("{part:x}"));
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, endpoint = %place.target.id,
        zone = %place.target.zone, open = place.open, known_ms = place.known_ms,
        left_ms = headers.time_left.as_millis() as u64, cursor = headers.cursor,
        is_from_backup = headers.backup_from.is_some(), backup_at, prompt_at, prompt, age_ms, "attempt.placed");
}

/// An attempt at an endpoint was of no use.
pub(super) fn attempt_failed(
    context: &GatewayContext,
    caller: &CallerRequest,
    endpoint: &EndpointId,
    failure: AttemptFailure,
    last_event: Option<u64>,
) {
    let age_ms = context.timer.now().since(caller.arrived).as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, endpoint = %endpoint,
        failure = failure.as_str(), last_event, age_ms, "attempt.failed");
}

/// An endpoint ended that had begun to run a request.
pub(super) fn crashed(context: &GatewayContext, caller: &CallerRequest, endpoint: &EndpointId) {
    let age_ms = context.timer.now().since(caller.arrived).as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, endpoint = %endpoint,
        digest = %caller.digest(), age_ms, "request.crashed_endpoint");
}

/// A stream goes on after a loss.
pub(super) fn resumed(context: &GatewayContext, caller: &CallerRequest, resume: &StreamResume) {
    context.board.record_cause(MetricMeasure::ResumeLatency, resume.cause, resume.span);
    let pause_ms = resume.span.as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, cause = resume.cause, pause_ms,
        "stream.resumed");
}

/// A request got its last answer, from the last endpoint that was tried.
pub(super) fn answered(context: &GatewayContext, caller: &CallerRequest, status: u16, last: &CallTrace, attempts: u32) {
    let age = context.timer.now().since(caller.arrived);
    context.board.count("requests_answered");
    context.board.record(MetricMeasure::PlainCall, &account_label(caller), &caller.route.name, &[age]);
    let age_ms = age.as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, service = %caller.service,
        site_version = caller.site_version, status, endpoint = last.endpoint.as_deref(), known_ms = last.known_ms, attempts,
        age_ms, "request.answered");
}

/// A stream reached its end.
pub(super) fn streamed(context: &GatewayContext, caller: &CallerRequest, pace: &StreamPace, attempts: u32) {
    let age_ms = context.timer.now().since(caller.arrived).as_millis() as u64;
    let account = account_label(caller);
    context.board.count("requests_streamed");
    if let Some(first) = pace.first() {
        let first = first.since(caller.arrived);
        context.board.record(MetricMeasure::FirstToken, &account, &caller.route.name, &[first]);
    }
    context.board.record(MetricMeasure::LongestGap, &account, &caller.route.name, &[pace.longest_gap()]);
    if !pace.resumes().is_empty() {
        context.board.record(MetricMeasure::ResumeLatency, &account, &caller.route.name, pace.resumes());
    }
    let first_ms = pace.first().map(|first| first.since(caller.arrived).as_millis() as u64);
    let longest_gap_ms = pace.longest_gap().as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, service = %caller.service,
        site_version = caller.site_version, status = 200, attempts, age_ms, first_ms, longest_gap_ms, cursor = caller.head.cursor, "request.streamed");
}

/// A request was refused, or its outcome is not known.
pub(super) fn ended(context: &GatewayContext, caller: &CallerRequest, error: &Error, attempts: u32) {
    context.board.count(ended_counter(error));
    let age_ms = context.timer.now().since(caller.arrived).as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, service = %caller.service,
        site_version = caller.site_version, kind = %error.kind(), attempts, age_ms, reason = %error.message(), "request.ended");
}

/// Whom a request's times are counted for.
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
