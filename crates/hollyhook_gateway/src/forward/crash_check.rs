use std::io::ErrorKind;
use std::time::Duration;

use hollyhook_core::AttemptFailure;

use super::attempt::EndpointTarget;
use super::request_log;
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;

/// How long an endpoint may take to refuse a connection; a host whose process has ended refuses within a round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(60);

/// How long an attempt has to send events until the request is no longer suspected to end its endpoint.
pub(super) const SURVIVAL: Duration = Duration::from_secs(1);

/// Notes against a request that the endpoint ended that had begun to run it, if that is so.
///
/// A broken connection alone says little: endpoints that live reset some, and links do. One whose process has ended
/// refuses the next connection.
pub(super) async fn check_crash(
    context: &GatewayContext,
    caller: &CallerRequest,
    target: &EndpointTarget,
    failure: AttemptFailure,
) {
    if failure == AttemptFailure::Broken && has_ended(context, target).await {
        context.board.count("endpoint_crashes");
        request_log::crashed(context, caller, &target.id);
    }
}

async fn has_ended(context: &GatewayContext, target: &EndpointTarget) -> bool {
    let connected = context.pool.connect(target.address, CHECK_TIMEOUT).await;
    connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}
