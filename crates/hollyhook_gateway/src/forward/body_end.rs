use http::header::TRANSFER_ENCODING;
use hyper::body::Body;

use super::attempt::OpenResponse;
use super::endpoint_probe::is_reporting;
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;
use crate::path::{ConnectionProbe, EndpointTarget, ProbeOutcome};

impl OpenResponse {
    /// Whether the response states its end, by a length or by a last chunk; otherwise the connection's end is its end.
    pub(super) fn has_stated_end(&self) -> bool {
        let is_chunked = self.parts.headers.get_all(TRANSFER_ENCODING).iter().next_back().is_some_and(|coding| {
            coding.to_str().is_ok_and(|text| text.trim_end().to_ascii_lowercase().ends_with("chunked"))
        });
        is_chunked || self.body.size_hint().exact().is_some()
    }

    /// Whether the body, which has ended, is whole: its end was stated, or its endpoint outlived it.
    pub(super) async fn has_whole_body(
        &self,
        context: &GatewayContext,
        caller: &CallerRequest,
        target: &EndpointTarget,
    ) -> bool {
        self.has_stated_end() || has_survived(context, caller, target).await
    }
}

/// Whether the endpoint lives that has closed the connection of an answer without a stated end.
///
/// A call that may be repeated is sent elsewhere if that is in doubt; one that may not be would lose its answer.
pub(super) async fn has_survived(context: &GatewayContext, caller: &CallerRequest, target: &EndpointTarget) -> bool {
    let has_survived = match test_process(context, target).await {
        ProbeOutcome::Answered => true,
        ProbeOutcome::Broken => false,
        ProbeOutcome::Silent => !caller.route.is_retryable(),
    };
    count(context, has_survived);
    has_survived
}

/// Whether the engine lives that has closed the connection of a stream without a stated end.
///
/// The kernel of a process that was killed closes its connections in the same way, but nobody answers after that.
pub(super) async fn is_engine_alive(context: &GatewayContext, target: &EndpointTarget) -> bool {
    let is_alive = if context.endpoints.has_engines(&target.group.service) {
        is_reporting(context, target).await
    } else {
        test_process(context, target).await == ProbeOutcome::Answered
    };
    count(context, is_alive);
    is_alive
}

/// Tests by a new connection whether an endpoint that can't be asked without a slot lives. `Broken` only if it is refused:
/// an endpoint that has too many connections resets further ones.
async fn test_process(context: &GatewayContext, target: &EndpointTarget) -> ProbeOutcome {
    match context.connector.connect(target).await {
        Ok(connection) => match ConnectionProbe::Hold.test(context, target, connection).await {
            ProbeOutcome::Broken => ProbeOutcome::Silent,
            outcome => outcome,
        },
        Err(error) if error.is_process_gone() => ProbeOutcome::Broken,
        Err(_) => ProbeOutcome::Silent,
    }
}

fn count(context: &GatewayContext, is_believed: bool) {
    context.recorder.count(if is_believed { "closed_ends_believed" } else { "closed_ends_refused" });
}
