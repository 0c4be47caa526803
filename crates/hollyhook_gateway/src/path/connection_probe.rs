use std::time::Duration;

use http::{Request, header};
use http_body_util::Full;

use super::EndpointTarget;
use super::connect_error::is_refused;
use crate::gateway::GatewayContext;
use crate::pool::{PooledConnection, SendError};

/// Time limit for an endpoint to refuse a connection, to break it or to answer on it. The machine of a crashed process
/// refuses within one round trip, and so does a proxy that accepts connections in its place.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// How long a connection to a plain service instance must stay open to show that the process lives.
const HOLD_TIME: Duration = Duration::from_millis(10);

/// What a test of a new connection showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// The endpoint answered or, where it can't be asked, kept the connection open.
    Answered,
    /// The connection was refused, or broke.
    Broken,
    /// Neither.
    Silent,
}

/// How new connections to the endpoints of a service are tested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionProbe {
    /// An engine is asked for its report, which needs no slot there.
    Report,
    /// A plain service instance, which can't be asked without a slot, must keep the connection open for [`HOLD_TIME`].
    Hold,
}

impl ConnectionProbe {
    /// The probe for the endpoints of a service, as the configuration describes them.
    pub(crate) fn for_service(context: &GatewayContext, service: &str) -> Self {
        if context.endpoints.has_engines(service) { Self::Report } else { Self::Hold }
    }

    /// Tests a new connection to an endpoint.
    pub(crate) async fn test(
        self,
        context: &GatewayContext,
        target: &EndpointTarget,
        mut connection: PooledConnection,
    ) -> ProbeOutcome {
        let timer = &context.timer;
        if self == Self::Hold {
            timer.wait(HOLD_TIME).await;
            return if connection.is_ready() { ProbeOutcome::Answered } else { ProbeOutcome::Broken };
        }
        let request = Request::get(hollyhook_platform::report_path()).header(header::HOST, target.address.to_string());
        let Ok(request) = request.body(Full::default()) else {
            return ProbeOutcome::Silent;
        };
        match timer.within(PROBE_TIMEOUT, connection.send(request)).await {
            Some(Ok(_) | Err(SendError::Garbled)) => ProbeOutcome::Answered,
            Some(Err(SendError::Broken | SendError::Unsent(_))) => ProbeOutcome::Broken,
            None => ProbeOutcome::Silent,
        }
    }

    /// Whether one of several endpoints answers on a new connection that this host opens itself.
    pub(crate) async fn is_any_answered(self, context: &GatewayContext, targets: &[EndpointTarget]) -> bool {
        // One after the other: most often the first one answers, and each test takes a new connection.
        for target in targets {
            if self.test_directly(context, target).await == ProbeOutcome::Answered {
                return true;
            }
        }
        false
    }

    /// Tests a new connection to an endpoint that this host opens itself.
    pub(crate) async fn test_directly(self, context: &GatewayContext, target: &EndpointTarget) -> ProbeOutcome {
        let connected = context.timer.within(PROBE_TIMEOUT, context.connector.connect_directly(target)).await;
        match connected {
            Some(Ok(connection)) => self.test(context, target, connection).await,
            Some(Err(error)) if is_refused(error.kind()) => ProbeOutcome::Broken,
            Some(Err(_)) | None => ProbeOutcome::Silent,
        }
    }
}
