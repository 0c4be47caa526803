use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_channel::{Receiver, Sender};

/// Counts the connections and requests of a server and lets it stop gracefully.
#[derive(Debug, Clone)]
pub struct ConnectionGate {
    inner: Arc<GateInner>,
}

#[derive(Debug)]
struct GateInner {
    is_draining: AtomicBool,
    connections: AtomicUsize,
    requests: AtomicUsize,
    drain_sender: Sender<()>,
    drain: Receiver<()>,
    idle_sender: Sender<()>,
    idle: Receiver<()>,
}

impl ConnectionGate {
    /// An open gate.
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

    /// Stops accepting; requests that have begun go on.
    pub fn drain(&self) {
        self.inner.is_draining.store(true, Ordering::SeqCst);
        self.inner.drain_sender.close();
        self.report_idle();
    }

    /// Whether the gate is closed for new requests.
    pub fn is_draining(&self) -> bool {
        self.inner.is_draining.load(Ordering::SeqCst)
    }

    /// Waits until [`drain`](Self::drain) is called.
    pub async fn wait_draining(&self) {
        let _closed = self.inner.drain.recv().await;
    }

    /// Waits until the gate is closed and every request has ended.
    pub async fn wait_idle(&self) {
        let _closed = self.inner.idle.recv().await;
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.inner.connections.load(Ordering::SeqCst)
    }

    /// Requests that have begun and not ended.
    pub fn requests(&self) -> usize {
        self.inner.requests.load(Ordering::SeqCst)
    }

    pub(super) fn enter(&self, limit: usize) -> Option<ConnectionPass> {
        let before = self.inner.connections.fetch_add(1, Ordering::SeqCst);
        let pass = ConnectionPass { gate: self.clone() };
        (before < limit).then_some(pass)
    }

    pub(super) fn begin(&self) -> RequestPass {
        self.inner.requests.fetch_add(1, Ordering::SeqCst);
        RequestPass { gate: self.clone() }
    }

    fn report_idle(&self) {
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
pub(super) struct ConnectionPass {
    gate: ConnectionGate,
}

impl Drop for ConnectionPass {
    fn drop(&mut self) {
        self.gate.inner.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

#[derive(Debug)]
pub(super) struct RequestPass {
    gate: ConnectionGate,
}

impl Drop for RequestPass {
    fn drop(&mut self) {
        self.gate.inner.requests.fetch_sub(1, Ordering::SeqCst);
        self.gate.report_idle();
    }
}
