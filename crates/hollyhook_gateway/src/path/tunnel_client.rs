use std::time::Duration;

use hollyhook_core::{EndpointId, HostRecord};
use hollyhook_kernel::TimerService;
use hollyhook_wire::bound_endpoint_buffers;
use http::StatusCode;
use hyper::client::conn::http1;

use super::tunnel_request::build_tunnel_request;
use super::tunnel_stream::TunnelStream;
use crate::net::{DriverGuard, WireIo, WireStream, dial, wire_stream};

/// Time limit for connecting to another host, which is usually in the same region.
const HOST_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for a tunnel, which includes the other host's connection to the endpoint.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);
/// Read buffer while the tunnel is requested; the answer is a short head.
const HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Why another host opened no tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TunnelError {
    /// The host could not connect to the endpoint either, though it has a path to others of the group.
    Unreachable,
    /// The host could not connect to the endpoint either, and does not know why.
    Undecided,
    /// The host did not answer, or opens no tunnel to this endpoint.
    Unavailable,
}

/// Opens a tunnel to an endpoint through another host; the returned connection behaves like one to the endpoint.
///
/// # Errors
///
/// Why the host opened none.
pub(super) async fn open_tunnel(
    timer: &TimerService,
    host: &HostRecord,
    endpoint: &EndpointId,
) -> Result<WireIo<TunnelStream>, TunnelError> {
    let opened = timer.within(TUNNEL_TIMEOUT, request_tunnel(timer, host, endpoint)).await;
    opened.unwrap_or(Err(TunnelError::Unavailable))
}

async fn request_tunnel(
    timer: &TimerService,
    host: &HostRecord,
    endpoint: &EndpointId,
) -> Result<WireIo<TunnelStream>, TunnelError> {
    let request = build_tunnel_request(host, endpoint).ok_or(TunnelError::Unavailable)?;
    let stream = dial(timer, host.address, HOST_CONNECT_TIMEOUT).await.map_err(|_error| TunnelError::Unavailable)?;
    if let Err(error) = bound_endpoint_buffers(stream.get_ref()) {
        tracing::debug!(host = %host.host, %error, "endpoint.buffers_not_bounded");
    }
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_BUFFER_BYTES);
    let handshake = builder.handshake(wire_stream(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_error| TunnelError::Unavailable)?;
    // It has ended by itself once the connection has become a tunnel.
    let _driver = DriverGuard::spawn(connection.with_upgrades());
    let response = sender.send_request(request).await.map_err(|_error| TunnelError::Unavailable)?;
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => {}
        StatusCode::BAD_GATEWAY => return Err(TunnelError::Unreachable),
        StatusCode::GATEWAY_TIMEOUT => return Err(TunnelError::Undecided),
        _ => return Err(TunnelError::Unavailable),
    }
    let upgraded = hyper::upgrade::on(response).await.map_err(|_error| TunnelError::Unavailable)?;
    let parts = upgraded.downcast::<WireStream>().map_err(|_upgraded| TunnelError::Unavailable)?;
    Ok(wire_stream(TunnelStream::new(parts.io.into_inner(), &parts.read_buf)))
}
