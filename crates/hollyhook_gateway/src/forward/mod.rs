//! Forwarding of requests to endpoints and of responses to callers, with retries and resumed streams.

mod attempt;
mod attempt_end;
mod attempt_times;
mod backup_replicator;
mod body_end;
mod buffered_response;
mod call_attempt;
mod call_choice;
mod call_end;
mod call_run;
mod call_wait;
mod crash_check;
mod endpoint_call;
mod endpoint_check;
mod endpoint_probe;
mod endpoint_reply;
mod engine_choice;
mod event_stream;
mod live_attempt;
mod lost_run;
mod plain_call;
mod request_log;
mod response_rest;
mod stream_migration;
mod stream_run;
mod stream_timing;

use std::sync::Arc;

use async_std::task;
use http::Response;

use crate::demand::DemandCall;
use crate::front::{CallerRequest, ResponseBody, error_response};
use crate::gateway::GatewayContext;

/// Forwards an admitted request; returns the endpoint's response, or an error response.
pub(crate) async fn forward(context: &Arc<GatewayContext>, caller: CallerRequest) -> Response<ResponseBody> {
    crash_check::await_verdict(context, &caller).await;
    if let Some(error) = crash_check::quarantine_error(context, &caller) {
        request_log::ended(context, &caller, &error, 0);
        return error_response(&error);
    }
    context.count_first_send(&caller.service);
    let call = DemandCall::begin(context, &caller);
    let outcome = if caller.route.kind.is_stream() {
        event_stream::forward_stream(context, caller).await
    } else {
        plain_call::forward_call(context, &Arc::new(caller)).await
    };
    if let Some(call) = call {
        call.finish(&outcome);
    }
    outcome.unwrap_or_else(|error| error_response(&error))
}

/// Lets a caller's connection send what it has buffered, before its response body fails.
///
/// The connection sends only while the body is pending, and drops what is left after an error.
async fn let_connection_flush() {
    task::yield_now().await;
}
