use std::io;
use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{AttemptFailure, Error, ErrorKind, StopReason};
use http::{Request, header};
use http_body_util::Full;

use super::attempt::EndpointTarget;
use super::request_log;
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;
use crate::pool::{PooledConnection, SendFault};
use crate::store::QuarantineWriter;

/// How long an endpoint may take to refuse a connection, or to break it; a host whose process has ended refuses within a round
/// trip, and so does what accepts connections in its place.
const CHECK_TIMEOUT: Duration = Duration::from_millis(60);
/// Connections in a row that have to break until an endpoint is taken for ended: endpoints that live reset some.
const BROKEN_CHECKS: usize = 2;
/// How long a connection to a plain endpoint, which can't be asked without taking a place there, has to hold.
const HOLD_TIME: Duration = Duration::from_millis(10);

/// How long an attempt has to send events until the request is no longer suspected to end its endpoint.
pub(super) const SURVIVAL: Duration = Duration::from_secs(1);

/// Notes against a request that the endpoint ended that had begun to run it, if that is so.
///
/// A broken connection alone says little: endpoints that live reset some, and links do. One whose process has ended
/// refuses the next connections, or breaks each. Where neither can be told, since nothing answers at all, the break is kept
/// until the endpoint's next start or the end of its entry explains it.
pub(super) async fn check_crash(
    context: &Arc<GatewayContext>,
    caller: &CallerRequest,
    target: &EndpointTarget,
    failure: AttemptFailure,
) {
    let is_cut_off = matches!(failure, AttemptFailure::Broken | AttemptFailure::Garbled);
    let has_ended = is_cut_off && has_ended(context, caller, target).await;
    if !has_ended && (is_cut_off || failure == AttemptFailure::Silent) {
        context.quarantine.record_unanswered(caller.digest(), &target.id);
    }
    if has_ended {
        context.board.count("endpoint_crashes");
        request_log::crashed(context, caller, &target.id);
        context.quarantine.record_crash(caller.digest(), &target.id);
        QuarantineWriter::wake(context);
    }
}

/// Notes that an endpoint ran a request and did not end.
pub(super) fn record_survival(context: &Arc<GatewayContext>, caller: &CallerRequest) {
    context.quarantine.record_survival(|| caller.digest());
    QuarantineWriter::wake(context);
}

/// Notes that a request is no longer tried.
pub(super) fn record_given_up(context: &Arc<GatewayContext>, caller: &CallerRequest) {
    context.quarantine.record_given_up(|| caller.digest());
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

async fn has_ended(context: &GatewayContext, caller: &CallerRequest, target: &EndpointTarget) -> bool {
    for _check in 0..BROKEN_CHECKS {
        let is_broken = match context.pool.connect(target.address, CHECK_TIMEOUT).await {
            Ok(connection) if caller.engine.is_some() => breaks_when_asked(context, target, connection).await,
            Ok(connection) => {
                context.timer.wait(HOLD_TIME).await;
                !connection.is_ready()
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return true,
            Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
        };
        if !is_broken {
            return false;
        }
    }
    true
}

/// Whether a new connection to an engine breaks when the engine is asked for its report, which needs no place there.
async fn breaks_when_asked(
    context: &GatewayContext,
    target: &EndpointTarget,
    mut connection: PooledConnection,
) -> bool {
    let request = Request::get(hollyhook_platform::report_path()).header(header::HOST, target.address.to_string());
    let Ok(request) = request.body(Full::default()) else {
        return false;
    };
    let sent = context.timer.within(CHECK_TIMEOUT, connection.send(request)).await;
    matches!(sent, Some(Err(SendFault::Broken | SendFault::Unsent(_))))
}
