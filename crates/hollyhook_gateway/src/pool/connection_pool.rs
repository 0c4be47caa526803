use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollyhook_core::{EndpointId, Name};
use hollyhook_kernel::TimerService;
use hollyhook_wire::bound_endpoint_buffers;
use http::HeaderMap;
use http::header::HeaderName;

use super::PooledConnection;
use crate::net::{UsageMeter, WireIo, dial, metered_stream};
use crate::path::{TunnelLease, TunnelStream};
use crate::sync::lock;

/// How long an idle connection is kept if the peer states no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// How much earlier than the peer's timeout an idle connection expires, so that no request is sent while the peer
/// closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(900);
/// Maximum number of idle connections kept for one endpoint. Endpoints of the smallest services accept about a hundred
/// connections from all hosts together.
const MAX_IDLE_PER_ENDPOINT: usize = 6;
/// Size of the read buffer of a connection to an endpoint, which is held while the caller does not read.
const READ_BUFFER_BYTES: usize = 64 << 10;
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Pool of idle connections, by the incarnation of the endpoint that they lead to.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    timer: TimerService,
    meter: Arc<UsageMeter>,
    idle: Mutex<HashMap<EndpointId, Vec<PooledConnection>>>,
}

impl ConnectionPool {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "connections";

    pub(crate) fn new(timer: TimerService, meter: Arc<UsageMeter>) -> Self {
        Self { timer, meter, idle: Mutex::default() }
    }

    /// Takes an idle connection to an endpoint for a request, the most recently used first; `None` if none is usable.
    ///
    /// A connection on which the request with the same attempt id was answered before is passed over, since a late second
    /// answer to it would carry the right id.
    pub(crate) fn take(&self, id: &EndpointId, attempt_id: Option<&Name>) -> Option<PooledConnection> {
        let now = self.timer.now();
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(id)?;
        connections.retain(|connection| connection.is_ready() && now < connection.usable_until);
        let is_usable = |connection: &PooledConnection| attempt_id.is_none_or(|id| !connection.has_carried(id));
        let index = connections.iter().rposition(is_usable)?;
        Some(connections.remove(index))
    }

    /// Opens a new connection, which is not in the pool.
    ///
    /// # Errors
    ///
    /// If the connection can't be established within `limit`, or the HTTP/1.1 handshake fails.
    pub(crate) async fn connect(&self, address: SocketAddr, limit: Duration) -> std::io::Result<PooledConnection> {
        let stream = dial(&self.timer, address, limit).await?;
        if let Err(error) = bound_endpoint_buffers(stream.get_ref()) {
            tracing::debug!(%address, %error, "endpoint.buffers_not_bounded");
        }
        PooledConnection::start(metered_stream(stream, &self.meter), READ_BUFFER_BYTES)
            .await
            .map_err(std::io::Error::other)
    }

    /// Performs the HTTP/1.1 handshake on a tunnel to an endpoint; the connection is not in the pool.
    ///
    /// # Errors
    ///
    /// If the handshake fails.
    pub(crate) async fn start_tunnel(
        &self,
        tunnel: WireIo<TunnelStream>,
        lease: TunnelLease,
    ) -> hyper::Result<PooledConnection> {
        let connection = PooledConnection::start(tunnel, READ_BUFFER_BYTES).await?;
        Ok(connection.through_host(lease))
    }

    /// Returns a connection to the pool for `keep`, or closes it if the pool of the endpoint is full.
    ///
    /// The last response on the connection must have been read to its end.
    pub(crate) fn put(&self, id: &EndpointId, mut connection: PooledConnection, keep: Duration) {
        let now = self.timer.now();
        connection.usable_until = now + keep;
        connection.idle_since = now;
        let mut idle = lock(&self.idle);
        let connections = idle.entry(EndpointId::clone(id)).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(connection);
        }
    }

    /// The endpoints to which a usable connection has been idle for at least `min_idle`.
    pub(crate) fn idle_for(&self, min_idle: Duration) -> Vec<EndpointId> {
        let now = self.timer.now();
        let is_idle_enough = |connection: &PooledConnection| {
            connection.is_ready() && now < connection.usable_until && now.since(connection.idle_since) >= min_idle
        };
        let idle = lock(&self.idle);
        let matching = idle.iter().filter(|(_, connections)| connections.iter().any(is_idle_enough));
        matching.map(|(id, _)| EndpointId::clone(id)).collect()
    }

    /// The endpoints to which idle connections are kept.
    pub(crate) fn idle_ids(&self) -> Vec<EndpointId> {
        lock(&self.idle).keys().map(EndpointId::clone).collect()
    }

    /// Closes the idle connections to an endpoint that lead through other hosts.
    pub(crate) fn close_idle_tunnels(&self, id: &EndpointId) {
        self.retain_idle(id, |connection| !connection.is_tunnel());
    }

    /// Closes the idle connections to an endpoint that this host opened directly.
    pub(crate) fn close_idle_direct(&self, id: &EndpointId) {
        self.retain_idle(id, PooledConnection::is_tunnel);
    }

    fn retain_idle(&self, id: &EndpointId, is_kept: impl Fn(&PooledConnection) -> bool) {
        if let Some(connections) = lock(&self.idle).get_mut(id) {
            connections.retain(is_kept);
        }
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn close_idle(&self, id: &str) {
        lock(&self.idle).remove(id);
    }

    /// Closes the idle connections that have expired or that their peer has closed.
    pub(crate) fn close_expired(&self) {
        let now = self.timer.now();
        let mut idle = lock(&self.idle);
        for connections in idle.values_mut() {
            connections.retain(|connection| now < connection.usable_until && connection.is_ready());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// How long a connection may stay idle after a response with these headers.
pub(crate) fn keep_alive_time(headers: &HeaderMap) -> Duration {
    let stated = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()).and_then(stated_timeout);
    stated.map_or(DEFAULT_KEEP_ALIVE, |stated| stated.saturating_sub(KEEP_ALIVE_MARGIN))
}

fn stated_timeout(text: &str) -> Option<Duration> {
    let parts = text.split(',').map(str::trim);
    let mut timeouts = parts.filter_map(|part| part.strip_prefix("timeout="));
    timeouts.next()?.parse().ok().map(Duration::from_secs)
}
