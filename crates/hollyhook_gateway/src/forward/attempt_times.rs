use std::time::Duration;

use hollyhook_core::VersionOutcome;

use crate::front::CallerRequest;
use crate::gateway::{AttemptEvidence, GatewayContext};
use crate::path::EndpointTarget;

/// Durations of one attempt.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AttemptTimes {
    /// Time from sending the request to the response, or to the first event of a stream.
    pub(super) first: Option<Duration>,
    /// Mean gap between two events of a stream.
    pub(super) gap: Option<Duration>,
}

/// Records an attempt as evidence about the software version of its endpoint; `None` if it is none.
pub(super) fn record_version_outcome(
    context: &GatewayContext,
    caller: &CallerRequest,
    target: &EndpointTarget,
    outcome: Option<VersionOutcome>,
    times: AttemptTimes,
) {
    let Some(outcome) = outcome else {
        return;
    };
    context.rollouts.record_attempt(&AttemptEvidence {
        service: &caller.service,
        route: &caller.route.name,
        endpoint: &target.id,
        zone: &target.group.zone,
        version: &target.version,
        outcome,
        first: times.first,
        gap: times.gap,
    });
}
