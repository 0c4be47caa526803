use std::io;
use std::net::{IpAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_std::task;
use bytes::Bytes;
use hollyhook_core::{EndpointId, StopPhase};
use hollyhook_wire::bound_endpoint_buffers;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use super::connect_error::is_refused;
use super::tunnel_request::{requested_endpoint, switching_protocols};
use super::tunnel_traffic::TunnelTraffic;
use super::{ConnectionProbe, EndpointTarget};
use crate::gateway::GatewayContext;
use crate::net::{dial, text_response};
use crate::sync::{CountGuard, CountLimit};

/// Time limit for connecting to an endpoint for another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for another endpoint to answer this host. The host that asks for the tunnel waits for 250 ms in all.
const SIBLING_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of tunnels through this host. Each takes two file descriptors, of which a process has 4,100 on the
/// smallest hosts.
const MAX_TUNNELS: usize = 300;

/// Connects other hosts to endpoints that they can't reach themselves.
///
/// A tunnel carries bytes only; all decisions about the requests sent through it stay with the host that asked for it.
/// It ends at the endpoint: this host connects directly, never through a further host.
#[derive(Debug)]
pub(crate) struct TunnelServer {
    context: Arc<GatewayContext>,
    tunnels: CountLimit,
}

/// Why a tunnel is refused.
#[derive(Debug, Clone, Copy)]
struct TunnelRefusal {
    status: StatusCode,
    reason: &'static str,
}

impl TunnelRefusal {
    const MALFORMED: Self =
        Self { status: StatusCode::BAD_REQUEST, reason: "the request must name an endpoint and ask for an upgrade" };
    const FOREIGN: Self = Self { status: StatusCode::FORBIDDEN, reason: "only registered hosts may open tunnels" };
    const UNKNOWN: Self = Self { status: StatusCode::NOT_FOUND, reason: "this host does not know the endpoint" };
    const STOPPING: Self = Self { status: StatusCode::SERVICE_UNAVAILABLE, reason: "this host is stopping" };
    const FULL: Self =
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason: "this host has as many tunnels as it bears" };
    const NO_PATH: Self =
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason: "this host has no path to the endpoint either" };
    const UNREACHABLE: Self = Self { status: StatusCode::BAD_GATEWAY, reason: "the endpoint accepts no connection" };
    const UNDECIDED: Self = Self {
        status: StatusCode::GATEWAY_TIMEOUT,
        reason: "the endpoint accepts no connection, or this host has lost its path to it",
    };

    fn into_response(self) -> Response<Full<Bytes>> {
        text_response(self.status, self.reason)
    }
}

impl TunnelServer {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Self {
        Self { context, tunnels: CountLimit::new(MAX_TUNNELS) }
    }

    /// Answers a request for a tunnel from a host at the address `sender`, and carries the tunnel in a task of its own.
    pub(crate) async fn answer(&self, mut request: Request<Incoming>, sender: IpAddr) -> Response<Full<Bytes>> {
        match self.connect(&request, sender).await {
            Ok((endpoint, guard)) => {
                self.context.recorder.count("tunnels_served");
                let traffic = TunnelTraffic::new(Arc::clone(&self.context), endpoint);
                let upgrade = hyper::upgrade::on(&mut request);
                task::spawn(async move {
                    traffic.carry(upgrade).await;
                    drop(guard);
                });
                switching_protocols()
            }
            Err(refusal) => {
                self.context.recorder.count("tunnels_refused");
                tracing::info!(%sender, status = refusal.status.as_u16(), reason = refusal.reason, "tunnel.refused");
                refusal.into_response()
            }
        }
    }

    async fn connect(
        &self,
        request: &Request<Incoming>,
        sender: IpAddr,
    ) -> Result<(Async<TcpStream>, CountGuard), TunnelRefusal> {
        let context = &self.context;
        if !context.paths.is_host(sender) {
            return Err(TunnelRefusal::FOREIGN);
        }
        let id = requested_endpoint(request).ok_or(TunnelRefusal::MALFORMED)?;
        let target = self.find(&id).ok_or(TunnelRefusal::UNKNOWN)?;
        if context.phase() != StopPhase::Serving {
            return Err(TunnelRefusal::STOPPING);
        }
        if context.paths.is_lost(&target.group) {
            return Err(TunnelRefusal::NO_PATH);
        }
        let guard = self.tunnels.try_acquire().ok_or(TunnelRefusal::FULL)?;
        let began_at = context.timer.now();
        let endpoint = match dial(&context.timer, target.address, CONNECT_TIMEOUT).await {
            Ok(endpoint) => endpoint,
            Err(error) => return Err(self.refusal(&target, error.kind()).await),
        };
        context.connector.record_connected(&target, context.timer.now().since(began_at));
        if let Err(error) = bound_endpoint_buffers(endpoint.get_ref()) {
            tracing::debug!(address = %target.address, %error, "endpoint.buffers_not_bounded");
        }
        Ok((endpoint, guard))
    }

    /// The refusal if this host can't connect to an endpoint.
    ///
    /// The endpoint is at fault only if its machine refuses and another one of its group answers on a new connection
    /// afterwards: all hosts of a zone may lose their paths at once, and open connections may outlive the loss, as may
    /// sockets that accept new ones on the way.
    async fn refusal(&self, target: &EndpointTarget, error: io::ErrorKind) -> TunnelRefusal {
        let context = &self.context;
        if !is_refused(error) {
            return TunnelRefusal::UNDECIDED;
        }
        let has_path = context.timer.within(SIBLING_TIMEOUT, self.is_sibling_heard(target)).await;
        if has_path == Some(true) { TunnelRefusal::UNREACHABLE } else { TunnelRefusal::UNDECIDED }
    }

    /// Whether another endpoint of the target's group answers this host.
    async fn is_sibling_heard(&self, target: &EndpointTarget) -> bool {
        let probe = ConnectionProbe::for_service(&self.context, &target.group.service);
        probe.is_any_answered(&self.context, &self.context.connector.siblings(target)).await
    }

    fn find(&self, id: &EndpointId) -> Option<EndpointTarget> {
        self.context.endpoints.table().get(id).map(EndpointTarget::from)
    }
}
