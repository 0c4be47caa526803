use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use hollyhook_core::EndpointId;
use hollyhook_kernel::TimerService;
use http::HeaderMap;
use http::header::HeaderName;

use super::PooledConnection;
use crate::net::dial;
use crate::sync::lock;

/// How long a connection is kept whose peer does not say how long it keeps it.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// How much earlier than its peer a connection is given up, so that no request crosses its closing.
const KEEP_MARGIN: Duration = Duration::from_millis(900);
/// Idle connections kept for one endpoint. The smallest services take about a hundred from all hosts together.
const MOST_IDLE: usize = 6;
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Idle connections by the incarnation of the endpoint that they lead to.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    timer: TimerService,
    idle: Mutex<HashMap<EndpointId, Vec<PooledConnection>>>,
}

impl ConnectionPool {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "connections";

    pub(crate) fn new(timer: TimerService) -> Self {
        Self { timer, idle: Mutex::default() }
    }

    /// A kept connection to an endpoint, the most recently used first.
    pub(crate) fn take(&self, id: &EndpointId) -> Option<PooledConnection> {
        let now = self.timer.now();
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(id)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() && now < connection.usable_until {
                return Some(connection);
            }
        }
        None
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// If none could be made within `limit`.
    pub(crate) async fn connect(&self, address: SocketAddr, limit: Duration) -> std::io::Result<PooledConnection> {
        let stream = dial(&self.timer, address, limit).await?;
        PooledConnection::start(stream).await.map_err(std::io::Error::other)
    }

    /// Keeps a connection whose answer was read to its end, as long as the answer's headers say.
    pub(crate) fn put(&self, id: &EndpointId, mut connection: PooledConnection, keep: Duration) {
        let now = self.timer.now();
        connection.usable_until = now + keep;
        connection.idle_since = now;
        let mut idle = lock(&self.idle);
        let connections = idle.entry(EndpointId::clone(id)).or_default();
        if connections.len() < MOST_IDLE {
            connections.push(connection);
        }
    }

    /// The endpoints to which a connection is kept that has been idle for at least `rest`.
    pub(crate) fn rested(&self, rest: Duration) -> Vec<EndpointId> {
        let now = self.timer.now();
        let is_rested = |connection: &PooledConnection| {
            connection.is_ready() && now < connection.usable_until && now.since(connection.idle_since) >= rest
        };
        let idle = lock(&self.idle);
        let rested = idle.iter().filter(|(_, connections)| connections.iter().any(is_rested));
        rested.map(|(id, _)| EndpointId::clone(id)).collect()
    }

    /// Closes the idle connections to an endpoint that is gone or silent.
    pub(crate) fn close_idle(&self, id: &str) {
        lock(&self.idle).remove(id);
    }

    /// Closes what its peer will close soon.
    pub(crate) fn close_expired(&self) {
        let now = self.timer.now();
        let mut idle = lock(&self.idle);
        for connections in idle.values_mut() {
            connections.retain(|connection| now < connection.usable_until && connection.is_ready());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// How long an idle connection may be used again, after an answer with these headers.
pub(crate) fn keep_time(headers: &HeaderMap) -> Duration {
    let stated = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()).and_then(stated_timeout);
    stated.map_or(DEFAULT_KEEP, |stated| stated.saturating_sub(KEEP_MARGIN))
}

fn stated_timeout(text: &str) -> Option<Duration> {
    let parts = text.split(',').map(str::trim);
    let mut timeouts = parts.filter_map(|part| part.strip_prefix("timeout="));
    timeouts.next()?.parse().ok().map(Duration::from_secs)
}
