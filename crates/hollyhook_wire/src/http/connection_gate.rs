use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_channel::{Receiver, Sender};

/// Counts a server's connections and requests, limits its connections and coordinates its graceful shutdown.
#[derive(Debug, Clone)]
pub struct ConnectionGate {
    inner: Arc<GateInner>,
}

#[derive(Debug)]
struct GateInner {
    is_draining: AtomicBool,
    connections: AtomicUsize,
    requests: AtomicUsize,
    // Nothing is sent through the two channels: closing one wakes everyone who waits on its receiver.
    drain_sender: Sender<()>,
    drain: Receiver<()>,
    idle_sender: Sender<()>,
    idle: Receiver<()>,
}

impl ConnectionGate {
    /// Creates a gate that is open.
    pub fn new() -> Self {
        let (drain_sender, drain) = async_channel::bounded(1);
        let (idle_sender, idle) = async_channel::bounded(1);
        let inner = GateInner {
            is_draining: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            drain_sender,
            drain,
            idle_sender,
            idle,
        };
        Self { inner: Arc::new(inner) }
    }

    /// Starts draining: the server accepts no new connections or requests and finishes the requests already begun.
    pub fn drain(&self) {
        self.inner.is_draining.store(true, Ordering::SeqCst);
        self.inner.drain_sender.close();
        self.signal_if_idle();
    }

    /// Whether the server is draining.
    pub fn is_draining(&self) -> bool {
        self.inner.is_draining.load(Ordering::SeqCst)
    }

    /// Waits until [`drain`](Self::drain) has been called.
    pub async fn wait_draining(&self) {
        let _closed = self.inner.drain.recv().await;
    }

    /// Waits until the server is draining and every request has ended.
    pub async fn wait_idle(&self) {
        let _closed = self.inner.idle.recv().await;
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.inner.connections.load(Ordering::SeqCst)
    }

    /// The number of requests that have begun and not ended.
    pub fn requests(&self) -> usize {
        self.inner.requests.load(Ordering::SeqCst)
    }

    /// Counts a connection until the permit is dropped, or returns `None` if `limit` connections are open already.
    pub(super) fn admit_connection(&self, limit: usize) -> Option<ConnectionPermit> {
        let before = self.inner.connections.fetch_add(1, Ordering::SeqCst);
        let permit = ConnectionPermit { gate: self.clone() };
        (before < limit).then_some(permit)
    }

    /// Counts a request until the permit is dropped.
    pub(super) fn begin_request(&self) -> RequestPermit {
        self.inner.requests.fetch_add(1, Ordering::SeqCst);
        RequestPermit { gate: self.clone() }
    }

    fn signal_if_idle(&self) {
        if self.is_draining() && self.requests() == 0 {
            self.inner.idle_sender.close();
        }
    }
}

impl Default for ConnectionGate {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(Debug)]
pub(super) struct ConnectionPermit {
    gate: ConnectionGate,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.gate.inner.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

#[derive(Debug)]
pub(super) struct RequestPermit {
    gate: ConnectionGate,
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.gate.inner.requests.fetch_sub(1, Ordering::SeqCst);
        self.gate.signal_if_idle();
    }
}
