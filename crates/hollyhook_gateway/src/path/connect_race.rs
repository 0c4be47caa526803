use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::{BoxFuture, FutureExt};
use futures::stream::{FuturesUnordered, StreamExt};
use hollyhook_core::{ConnectOrder, EndpointId, Name};

use super::connect_error::RemoteFinding;
use super::tunnel_client::TunnelError;
use super::{ConnectError, EndpointConnector, EndpointTarget};
use crate::pool::PooledConnection;
use crate::sync::CountGuard;

/// A way to open a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectWay {
    Direct,
    /// Directly, once all ways before have failed.
    LastDirect,
    Tunnel,
}

enum WayOutcome {
    Direct(io::Result<PooledConnection>),
    Tunnel { host: Name, connection: Result<PooledConnection, TunnelError> },
}

/// What became of the direct connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DirectState {
    NotTried,
    Pending,
    Failed(io::ErrorKind),
}

/// Tries the ways to an endpoint one after the other, without waiting for the end of those before (RFC 8305); the first
/// connection that is opened wins.
pub(super) struct ConnectRace<'a> {
    connector: &'a Arc<EndpointConnector>,
    target: &'a EndpointTarget,
    running: FuturesUnordered<BoxFuture<'static, WayOutcome>>,
    direct: DirectState,
    elsewhere: RemoteFinding,
    asked: Vec<Name>,
    /// Whether the path is known to be lost; if not, asking other hosts is speculative.
    is_lost: bool,
    speculation: Option<CountGuard>,
}

impl<'a> ConnectRace<'a> {
    pub(super) fn new(connector: &'a Arc<EndpointConnector>, target: &'a EndpointTarget) -> Self {
        let elsewhere = if connector.paths.has_other_hosts() { RemoteFinding::Unknown } else { RemoteFinding::NoHost };
        Self {
            connector,
            target,
            running: FuturesUnordered::new(),
            direct: DirectState::NotTried,
            elsewhere,
            asked: Vec::new(),
            is_lost: false,
            speculation: None,
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Why none of the ways led to the endpoint.
    pub(super) async fn run(mut self) -> Result<PooledConnection, ConnectError> {
        let (ways, head_start) = self.ways();
        for way in ways {
            if way == ConnectWay::LastDirect
                && let Some(connection) = self.finish_running().await
            {
                return Ok(connection);
            }
            if !self.start(way) {
                continue;
            }
            let timer = Arc::clone(&self.connector.timer);
            let outcome = timer.within(head_start, self.running.next()).await.flatten();
            if let Some(connection) = outcome.and_then(|outcome| self.finish(outcome)) {
                return Ok(connection);
            }
        }
        self.finish_running().await.ok_or_else(|| self.error())
    }

    /// Waits until one of the ways that were started has led to a connection, or all have failed.
    async fn finish_running(&mut self) -> Option<PooledConnection> {
        while let Some(outcome) = self.running.next().await {
            if let Some(connection) = self.finish(outcome) {
                return Some(connection);
            }
        }
        None
    }

    /// The ways to try, and how long each may take before the next one is tried.
    fn ways(&mut self) -> (Vec<ConnectWay>, Duration) {
        match self.connector.paths.order(self.target) {
            ConnectOrder::DirectFirst { head_start, hosts } => {
                let mut ways = vec![ConnectWay::Direct];
                ways.resize(1 + hosts, ConnectWay::Tunnel);
                (ways, head_start)
            }
            ConnectOrder::TunnelFirst { head_start, hosts } => {
                self.is_lost = true;
                let mut ways = vec![ConnectWay::Tunnel; hosts];
                ways.push(ConnectWay::Direct);
                (ways, head_start)
            }
            ConnectOrder::TunnelUnlessFailed { head_start, hosts } => {
                self.is_lost = true;
                let mut ways = vec![ConnectWay::Tunnel; hosts];
                ways.push(ConnectWay::LastDirect);
                (ways, head_start)
            }
        }
    }

    /// Starts a way; returns false if there is no host to ask, or none may be asked now.
    fn start(&mut self, way: ConnectWay) -> bool {
        let started = match way {
            ConnectWay::Direct | ConnectWay::LastDirect => {
                self.direct = DirectState::Pending;
                Some(self.open_direct())
            }
            ConnectWay::Tunnel => self.open_through_host(),
        };
        let has_started = started.is_some();
        self.running.extend(started);
        has_started
    }

    fn open_direct(&self) -> BoxFuture<'static, WayOutcome> {
        let (connector, target) = (Arc::clone(self.connector), self.target.clone());
        async move { WayOutcome::Direct(connector.connect_directly(&target).await) }.boxed()
    }

    fn open_through_host(&mut self) -> Option<BoxFuture<'static, WayOutcome>> {
        if !self.is_lost && self.speculation.is_none() {
            self.speculation = Some(self.connector.paths.begin_speculation()?);
        }
        let record = self.connector.paths.choose_host(&self.asked)?;
        self.asked.push(Name::clone(&record.host));
        let (connector, id) = (Arc::clone(self.connector), EndpointId::clone(&self.target.id));
        let opening = async move {
            let connection = connector.open_tunnel(&record, &id).await;
            WayOutcome::Tunnel { host: record.host, connection }
        };
        Some(opening.boxed())
    }

    /// Records what became of one way; returns its connection if it has one.
    fn finish(&mut self, outcome: WayOutcome) -> Option<PooledConnection> {
        match outcome {
            WayOutcome::Direct(Ok(connection)) => Some(connection),
            WayOutcome::Direct(Err(error)) => {
                self.direct = DirectState::Failed(error.kind());
                None
            }
            WayOutcome::Tunnel { host, connection: Ok(connection) } => {
                self.connector.recorder.count("tunnels_opened");
                self.record_bypass(host);
                Some(connection)
            }
            WayOutcome::Tunnel { host, connection: Err(error) } => {
                self.record_refusal(&host, error);
                None
            }
        }
    }

    /// Records that another host reached the endpoint, unless this host still may: then once its own connection fails.
    fn record_bypass(&mut self, host: Name) {
        match self.direct {
            DirectState::NotTried => {}
            DirectState::Failed(_) => self.connector.record_bypassed(self.target, &host),
            DirectState::Pending => {
                let (connector, target) = (Arc::clone(self.connector), self.target.clone());
                let mut running = std::mem::take(&mut self.running);
                task::spawn(async move {
                    while let Some(outcome) = running.next().await {
                        match outcome {
                            WayOutcome::Direct(Err(_)) => return connector.record_bypassed(&target, &host),
                            WayOutcome::Direct(Ok(_)) => return,
                            WayOutcome::Tunnel { .. } => {}
                        }
                    }
                });
            }
        }
    }

    fn record_refusal(&mut self, host: &Name, error: TunnelError) {
        self.connector.recorder.count("tunnels_failed");
        if self.connector.record_refusal(host, error) == RemoteFinding::Unreachable {
            self.elsewhere = RemoteFinding::Unreachable;
        }
    }

    fn error(&self) -> ConnectError {
        let direct = match self.direct {
            DirectState::Failed(kind) => kind,
            DirectState::NotTried | DirectState::Pending => io::ErrorKind::NotConnected,
        };
        ConnectError { direct, elsewhere: self.elsewhere }
    }
}
