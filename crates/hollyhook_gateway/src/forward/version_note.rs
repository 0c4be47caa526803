use std::time::Duration;

use hollyhook_core::AttemptFailure;

use super::attempt::EndpointTarget;
use crate::front::CallerRequest;
use crate::gateway::{GatewayContext, VersionAnswer};

/// How long an attempt took.
#[derive(Debug, Clone, Copy)]
pub(super) struct VersionTimes {
    /// From the send to the answer, or to the first event of a stream.
    pub(super) first: Option<Duration>,
    /// Between two events of a stream, in the mean.
    pub(super) gap: Option<Duration>,
}

/// Notes an attempt as evidence about the version of its endpoint.
///
/// Only what the endpoint answered, or took too long to answer: connections break and links are cut whatever the version is,
/// and a full endpoint says nothing of it either.
pub(super) fn note_version(
    context: &GatewayContext,
    caller: &CallerRequest,
    target: &EndpointTarget,
    failure: Option<AttemptFailure>,
    times: VersionTimes,
) {
    let is_evidence =
        matches!(failure, None | Some(AttemptFailure::Failed | AttemptFailure::Silent | AttemptFailure::Expired));
    if !is_evidence {
        return;
    }
    context.rollouts.note_answer(&VersionAnswer {
        service: &caller.service,
        route: &caller.route.name,
        endpoint: &target.id,
        version: &target.version,
        is_failure: failure == Some(AttemptFailure::Failed),
        first: times.first,
        gap: times.gap,
    });
}
