//! Log lines for what is decided about a request, in one form.

use hollyhook_core::{AttemptFailure, EndpointId, Error};

use crate::front::CallerRequest;
use crate::gateway::GatewayContext;

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

/// A request got its last answer.
pub(super) fn answered(context: &GatewayContext, caller: &CallerRequest, status: u16, attempts: u32) {
    let age_ms = context.timer.now().since(caller.arrived).as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, service = %caller.service,
        status, attempts, age_ms, "request.answered");
}

/// A request was refused, or its outcome is not known.
pub(super) fn ended(context: &GatewayContext, caller: &CallerRequest, error: &Error, attempts: u32) {
    let age_ms = context.timer.now().since(caller.arrived).as_millis() as u64;
    tracing::info!(request = %caller.head.attempt_id, route = %caller.route.name, service = %caller.service,
        kind = %error.kind(), attempts, age_ms, reason = %error.message(), "request.ended");
}
