use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_io::Async;
use async_std::net::TcpStream as HostStream;
use bytes::Bytes;
use futures::future::{Either, select};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use hollyhook_core::{FrameBuffer, StopPhase, TimePoint};
use hollyhook_wire::bound_caller_buffers;
use hyper::upgrade::OnUpgrade;
use socket2::SockRef;

use crate::gateway::GatewayContext;
use crate::net::{WireIo, detect_dead_peer, reset_on_close};

const BUFFER_BYTES: usize = 16 << 10;
/// How long the host may take to close its side after the endpoint has closed its own.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a tunnel through a stopping host checks whether it is idle.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long the endpoint must have sent nothing, after it had the last word, for the tunnel to count as idle. A pause
/// between the events of a stream is shorter.
const IDLE_TIME: Duration = Duration::from_millis(700);

/// Carries the bytes of one tunnel.
pub(super) struct TunnelTraffic {
    context: Arc<GatewayContext>,
    endpoint: Async<TcpStream>,
    activity: TunnelActivity,
}

/// When each side last sent something, in microseconds of the timer service.
#[derive(Debug, Default)]
struct TunnelActivity {
    from_host_us: AtomicU64,
    from_endpoint_us: AtomicU64,
}

impl TunnelActivity {
    /// Whether the tunnel carries no request: the endpoint sent the last bytes, some time ago.
    fn is_idle(&self, now: TimePoint) -> bool {
        let from_host = self.from_host_us.load(Ordering::Relaxed);
        let from_endpoint = self.from_endpoint_us.load(Ordering::Relaxed);
        from_endpoint >= from_host && now.since(TimePoint::from_micros(from_endpoint)) >= IDLE_TIME
    }
}

impl TunnelTraffic {
    pub(super) fn new(context: Arc<GatewayContext>, endpoint: Async<TcpStream>) -> Self {
        Self { context, endpoint, activity: TunnelActivity::default() }
    }

    /// Carries bytes in both directions until one side closes or resets its connection.
    ///
    /// If the host's side ends, the endpoint's connection is reset, so that the endpoint stops working on the request.
    pub(super) async fn carry(self, upgrade: OnUpgrade) {
        let Some((host, early)) = host_stream(upgrade).await else {
            return;
        };
        if let Err(error) = set_options(&host) {
            tracing::debug!(%error, "tunnel.options_not_set");
        }
        let _request = self.context.load.begin();
        let upward = pin!(self.copy_up(&host, &early));
        let downward = pin!(self.copy_down(&host));
        let idle = pin!(self.wait_until_idle_in_stop());
        match select(upward, select(downward, idle)).await {
            Either::Right((Either::Left((Err(_), _)), _)) => end_with_reset(&host),
            Either::Right((Either::Left((Ok(()), _)), upward)) => {
                let _closed = host.shutdown(Shutdown::Write);
                let _closed = self.context.timer.within(CLOSE_TIMEOUT, upward).await;
            }
            // The host has closed its side, or its next request goes elsewhere.
            Either::Left(_) | Either::Right((Either::Right(_), _)) => {}
        }
    }

    /// Copies from the host to the endpoint until the host's side ends.
    async fn copy_up(&self, mut host: &HostStream, early: &[u8]) -> io::Result<()> {
        let mut endpoint = &self.endpoint;
        endpoint.write_all(early).await?;
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = host.read(&mut buffer).await?;
            if read == 0 {
                return Ok(());
            }
            self.note(&self.activity.from_host_us);
            endpoint.write_all(&buffer[..read]).await?;
        }
    }

    /// Copies from the endpoint to the host, in frames, until the endpoint's side ends.
    async fn copy_down(&self, mut host: &HostStream) -> io::Result<()> {
        let mut endpoint = &self.endpoint;
        let mut buffer = FrameBuffer::default();
        loop {
            let read = endpoint.read(buffer.payload_mut()).await?;
            if read == 0 {
                return host.write_all(FrameBuffer::end_frame()).await;
            }
            self.note(&self.activity.from_endpoint_us);
            host.write_all(buffer.frame(read)).await?;
        }
    }

    fn note(&self, sent_at: &AtomicU64) {
        sent_at.store(self.context.timer.now().as_micros(), Ordering::Relaxed);
    }

    /// Waits until this host is stopping and the tunnel carries no request.
    async fn wait_until_idle_in_stop(&self) {
        loop {
            self.context.timer.wait(STOP_CHECK_INTERVAL).await;
            let is_stopping = self.context.phase() != StopPhase::Serving;
            if is_stopping && self.activity.is_idle(self.context.timer.now()) {
                return;
            }
        }
    }
}

/// The connection to the host, and bytes that the host sent before it had the answer; `None` if the connection ended.
async fn host_stream(upgrade: OnUpgrade) -> Option<(HostStream, Bytes)> {
    let upgraded = upgrade.await.ok()?;
    let parts = upgraded.downcast::<WireIo<HostStream>>().ok()?;
    Some((parts.io.into_inner(), parts.read_buf))
}

fn set_options(host: &HostStream) -> io::Result<()> {
    bound_caller_buffers(host)?;
    detect_dead_peer(&SockRef::from(host))
}

/// Makes the connection end with a reset, so that a truncated response does not look complete.
fn end_with_reset(host: &HostStream) {
    if let Err(error) = reset_on_close(&SockRef::from(host)) {
        tracing::warn!(%error, "tunnel.reset_failed");
    }
}
