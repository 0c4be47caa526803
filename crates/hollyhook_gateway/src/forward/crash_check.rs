use std::io;
use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{AttemptFailure, Error, ErrorKind, StopReason};

use super::attempt::EndpointTarget;
use super::request_log;
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;
use crate::store::QuarantineWriter;

/// How long an endpoint may take to refuse a connection; a host whose process has ended refuses within a round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(60);

/// How long an attempt has to send events until the request is no longer suspected to end its endpoint.
pub(super) const SURVIVAL: Duration = Duration::from_secs(1);

/// Notes against a request that the endpoint ended that had begun to run it, if that is so.
///
/// A broken connection alone says little: endpoints that live reset some, and links do. One whose process has ended
/// refuses the next connection.
pub(super) async fn check_crash(
    context: &Arc<GatewayContext>,
    caller: &CallerRequest,
    target: &EndpointTarget,
    failure: AttemptFailure,
) {
    let is_cut_off = matches!(failure, AttemptFailure::Broken | AttemptFailure::Garbled);
    if is_cut_off && has_ended(context, target).await {
        context.board.count("endpoint_crashes");
        request_log::crashed(context, caller, &target.id);
        context.quarantine.note_end(caller.digest(), &target.id);
        QuarantineWriter::wake(context);
    }
}

/// Notes that an endpoint ran a request and did not end.
pub(super) fn note_survival(context: &Arc<GatewayContext>, caller: &CallerRequest) {
    context.quarantine.note_survival(|| caller.digest());
    QuarantineWriter::wake(context);
}

/// Notes that a request is no longer tried.
pub(super) fn note_given_up(context: &Arc<GatewayContext>, caller: &CallerRequest) {
    context.quarantine.note_given_up(|| caller.digest());
    QuarantineWriter::wake(context);
}

/// The refusal of a request that ends the endpoints which run it, at whichever host they ended.
///
/// Each endpoint that ends takes down what others have running there, so that one more try is paid by others.
pub(super) fn refuse(context: &GatewayContext, caller: &CallerRequest) -> Option<Error> {
    let left = context.quarantine.refusal(|| caller.digest())?;
    let error = Error::new(ErrorKind::Quarantined, StopReason::Quarantined.as_str());
    Some(error.retry_after(left))
}

async fn has_ended(context: &GatewayContext, target: &EndpointTarget) -> bool {
    let connected = context.pool.connect(target.address, CHECK_TIMEOUT).await;
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}
