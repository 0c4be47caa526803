use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_std::task;
use hollyhook_wire::{ConnectionGate, HttpServer};
use tide::{Response, Server};

use super::{FaultKind, FaultOrder};

/// Response header that makes [`serve`] close the connection instead of sending the response.
const CUT_HEADER: &str = "x-stand-in-cut";
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The faults in effect at a stand-in, of the kinds that are not particular to engines.
#[derive(Debug)]
pub(crate) struct FaultState {
    gate: ConnectionGate,
    is_own_process: bool,
    is_dead: AtomicBool,
    is_paused: AtomicBool,
    has_outage: AtomicBool,
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
            has_outage: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            replies_to_lose: AtomicU64::new(0),
        }
    }

    /// Applies a fault; ignores the kinds that only engines implement.
    pub(crate) fn apply(&self, order: FaultOrder) {
        match order.kind {
            FaultKind::Die => self.die(),
            FaultKind::Pause => self.is_paused.store(true, Ordering::SeqCst),
            FaultKind::Wake => self.is_paused.store(false, Ordering::SeqCst),
            FaultKind::Outage => self.has_outage.store(true, Ordering::SeqCst),
            FaultKind::Recover => self.has_outage.store(false, Ordering::SeqCst),
            FaultKind::Delay => self.delay_ms.store(order.millis, Ordering::SeqCst),
            FaultKind::LoseReply => self.replies_to_lose.store(order.count.max(1), Ordering::SeqCst),
            _ => {}
        }
    }

    /// Exits a process of its own with status 137; otherwise stops accepting connections and answering requests.
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

    pub(crate) fn has_outage(&self) -> bool {
        self.has_outage.load(Ordering::SeqCst)
    }

    /// Returns whether the current reply is to be lost, and if so, decrements the number of replies to lose.
    pub(crate) fn take_lost_reply(&self) -> bool {
        let decremented = |left: u64| left.checked_sub(1);
        self.replies_to_lose.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decremented).is_ok()
    }

    /// Sleeps for the injected delay, then waits until no pause is in effect.
    pub(crate) async fn delay_request(&self) {
        let delay = self.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            task::sleep(Duration::from_millis(delay)).await;
        }
        self.wait_pause().await;
    }

    /// Waits until no pause is in effect.
    pub(crate) async fn wait_pause(&self) {
        while self.is_paused() {
            task::sleep(PAUSE_POLL_INTERVAL).await;
        }
    }
}

/// Builds a response that makes [`serve`] close the connection without an answer.
pub(crate) fn cut_response() -> Response {
    Response::builder(500).header(CUT_HEADER, "1").build()
}

/// Serves `app` with the injected faults until the server's gate drains.
///
/// Requests below `/admin/` are neither delayed nor paused, so that a pause can be ended.
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
                faults.delay_request().await;
            }
            let response: http_types::Response = app.respond(request).await?;
            if response.header(CUT_HEADER).is_some() || faults.is_dead() {
                return Err(http_types::Error::from_str(500, "an injected fault closed the connection"));
            }
            Ok(response)
        }
    };
    server.run(handler).await;
}
