use std::sync::Arc;

use hollyhook_core::Result;
use http::Response;

use super::call_run::CallRun;
use super::crash_check::{record_given_up, record_survival};
use super::request_log;
use crate::front::{CallerRequest, ResponseBody};
use crate::gateway::GatewayContext;

/// Forwards a plain call and returns the endpoint's response.
pub(super) async fn forward_call(
    context: &Arc<GatewayContext>,
    caller: &Arc<CallerRequest>,
) -> Result<Response<ResponseBody>> {
    let mut run = CallRun::new(context, caller);
    let outcome = run.run().await;
    let attempts = run.ledger.attempts();
    match &outcome {
        Ok(response) => {
            request_log::answered(context, caller, response.status().as_u16(), &run.answered_by, attempts);
            // An endpoint may send an error response before the request can crash it: only a success proves survival.
            if response.status().is_success() {
                record_survival(context, caller);
            }
        }
        Err(error) => {
            request_log::ended(context, caller, error, attempts);
            record_given_up(context, caller);
        }
    }
    outcome
}
