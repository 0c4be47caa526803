use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_std::task;
use hollyhook_wire::{ConnectionGate, HttpServer};
use tide::{Response, Server};

use super::{FaultCommand, FaultKind};

/// A header that tells the server to break the connection instead of answering.
const CUT_HEADER: &str = "x-stand-in-cut";
const PAUSE_POLL: Duration = Duration::from_millis(5);

/// The faults that any stand-in can suffer.
#[derive(Debug)]
pub(crate) struct FaultState {
    gate: ConnectionGate,
    is_own_process: bool,
    is_dead: AtomicBool,
    is_paused: AtomicBool,
    is_out: AtomicBool,
    delay_ms: AtomicU64,
    replies_to_lose: AtomicU64,
}

impl FaultState {
    pub(crate) fn new(gate: ConnectionGate, is_own_process: bool) -> Self {
        Self {
            gate,
            is_own_process,
            is_dead: AtomicBool::new(false),
            is_paused: AtomicBool::new(false),
            is_out: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            replies_to_lose: AtomicU64::new(0),
        }
    }

    /// Applies what concerns every stand-in.
    pub(crate) fn apply(&self, order: FaultCommand) {
        match order.kind {
            FaultKind::Die => self.die(),
            FaultKind::Pause => self.is_paused.store(true, Ordering::SeqCst),
            FaultKind::Wake => self.is_paused.store(false, Ordering::SeqCst),
            FaultKind::Outage => self.is_out.store(true, Ordering::SeqCst),
            FaultKind::Recover => self.is_out.store(false, Ordering::SeqCst),
            FaultKind::Delay => self.delay_ms.store(order.millis, Ordering::SeqCst),
            FaultKind::LoseReply => self.replies_to_lose.store(order.count.max(1), Ordering::SeqCst),
            _ => {}
        }
    }

    pub(crate) fn die(&self) {
        if self.is_own_process {
            std::process::exit(137);
        }
        self.is_dead.store(true, Ordering::SeqCst);
        self.gate.drain();
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.is_dead.load(Ordering::SeqCst)
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.is_paused.load(Ordering::SeqCst)
    }

    pub(crate) fn is_out(&self) -> bool {
        self.is_out.load(Ordering::SeqCst)
    }

    /// Whether this reply is one to lose.
    pub(crate) fn loses_reply(&self) -> bool {
        let less = |left: u64| left.checked_sub(1);
        self.replies_to_lose.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok()
    }

    /// Waits out a pause and the delay.
    pub(crate) async fn wait(&self) {
        let delay = self.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            task::sleep(Duration::from_millis(delay)).await;
        }
        self.wait_pause().await;
    }

    pub(crate) async fn wait_pause(&self) {
        while self.is_paused() {
            task::sleep(PAUSE_POLL).await;
        }
    }
}

/// An answer that breaks the connection instead.
pub(crate) fn cut_connection() -> Response {
    Response::builder(500).header(CUT_HEADER, "1").build()
}

/// Serves an app until its gate drains.
pub(crate) async fn serve<S: Clone + Send + Sync + 'static>(
    server: HttpServer,
    app: Server<S>,
    faults: Arc<FaultState>,
) {
    let handler = move |request: http_types::Request| {
        let app = app.clone();
        let faults = Arc::clone(&faults);
        async move {
            let is_admin = request.url().path().starts_with("/admin/");
            if !is_admin {
                faults.wait().await;
            }
            let response: http_types::Response = app.respond(request).await?;
            if response.header(CUT_HEADER).is_some() || faults.is_dead() {
                return Err(http_types::Error::from_str(500, "the connection is cut"));
            }
            Ok(response)
        }
    };
    server.run(handler).await;
}
