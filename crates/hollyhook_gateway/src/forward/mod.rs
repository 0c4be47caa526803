//! Carrying a request to endpoints and the answer back.

mod attempt;
mod attempt_end;
mod backup_keeper;
mod crash_check;
mod endpoint_probe;
mod engine_choice;
mod event_stream;
mod live_attempt;
mod plain_call;
mod request_log;
mod silence_watch;
mod stream_pace;
mod version_note;

use std::sync::Arc;

use http::Response;

use crate::front::{AnswerBody, CallerRequest, own_answer};
use crate::gateway::GatewayContext;

/// Serves an admitted request.
pub(crate) async fn forward(context: &Arc<GatewayContext>, caller: CallerRequest) -> Response<AnswerBody> {
    if let Some(error) = crash_check::refuse(context, &caller) {
        request_log::ended(context, &caller, &error, 0);
        return own_answer(&error);
    }
    context.count_first_send(&caller.service);
    let outcome = if caller.route.kind.is_stream() {
        event_stream::forward_stream(context, caller).await
    } else {
        plain_call::forward_call(context, &caller).await
    };
    outcome.unwrap_or_else(|error| own_answer(&error))
}
