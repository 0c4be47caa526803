use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{AbortHandle, Either, FutureExt, abortable, select};
use hollyhook_core::{Error, ErrorKind};
use http_types::{Request, Response};
use socket2::{Domain, Protocol, Socket, Type};

use super::ConnectionGate;
use super::guarded_stream::{GuardedStream, HeadOutcome};
use crate::api::ApiErrorBody;

/// What a server bears from one caller.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    connections: usize,
    head_bytes: usize,
    read_timeout: Duration,
    write_timeout: Duration,
    idle_timeout: Duration,
}

impl ServerLimits {
    /// Open connections at a time; one more is told to come back.
    #[must_use]
    pub fn connections(mut self, number: usize) -> Self {
        self.connections = number;
        self
    }

    /// Bytes of a request's head.
    #[must_use]
    pub fn head_bytes(mut self, bytes: usize) -> Self {
        self.head_bytes = bytes;
        self
    }

    /// Silence within a request.
    #[must_use]
    pub fn read_timeout(mut self, span: Duration) -> Self {
        self.read_timeout = span;
        self
    }

    /// How long a caller may not take what is sent.
    #[must_use]
    pub fn write_timeout(mut self, span: Duration) -> Self {
        self.write_timeout = span;
        self
    }

    /// Silence between requests.
    #[must_use]
    pub fn idle_timeout(mut self, span: Duration) -> Self {
        self.idle_timeout = span;
        self
    }
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 20_000,
            // async-h1 gives up without an answer above 8 KiB.
            head_bytes: 8 * 1_024 - 1,
            read_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// Accepts connections and answers their requests, under limits and with a graceful stop.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
    limits: ServerLimits,
    gate: ConnectionGate,
}

impl HttpServer {
    /// A server that listens at `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if the address can't be listened at.
    pub fn bind(address: SocketAddr, limits: ServerLimits) -> Result<Self, Error> {
        let wrong = |error: std::io::Error| {
            Error::new(ErrorKind::InvalidSetting, format!("can't listen at {address}: {error}")).param("listen")
        };
        let listener = listen(address).map_err(wrong)?;
        let address = listener.local_addr().map_err(wrong)?;
        Ok(Self { listener, address, limits, gate: ConnectionGate::new() })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The gate that counts its requests and stops it.
    pub fn gate(&self) -> ConnectionGate {
        self.gate.clone()
    }

    /// Serves until the gate drains. Requests that have begun go on; wait for them at the gate.
    pub async fn run<F, Fut>(self, handler: F)
    where
        F: Fn(Request) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = http_types::Result<Response>> + Send + 'static,
    {
        const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
        let handler = Arc::new(handler);
        loop {
            let accept = std::pin::pin!(self.listener.accept());
            let drain = std::pin::pin!(self.gate.wait_draining());
            match select(accept, drain).await {
                Either::Left((Ok((stream, _peer)), _)) => self.spawn(stream, Arc::clone(&handler)),
                // Out of descriptors, most likely; the connections that are open go on.
                Either::Left((Err(_), _)) => task::sleep(ACCEPT_PAUSE).await,
                Either::Right(((), _)) => return,
            }
        }
    }

    fn spawn<F, Fut>(&self, stream: TcpStream, handler: Arc<F>)
    where
        F: Fn(Request) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = http_types::Result<Response>> + Send + 'static,
    {
        let limits = self.limits.clone();
        let gate = self.gate.clone();
        let pass = gate.enter(limits.connections);
        task::spawn(async move {
            // A token is a small write; waiting to join it with the next one would delay it.
            let _unsupported = stream.set_nodelay(true);
            if pass.is_none() {
                let error = Error::new(ErrorKind::Overloaded, "this host has too many open connections")
                    .retry_after(Duration::from_secs(1));
                return refuse(&stream, &error).await;
            }
            serve_connection(stream, limits, gate, handler).await;
            drop(pass);
        });
    }
}

/// Listens with a longer queue than the standard library's 128, which a thousand callers at once overflow; the
/// kernel then drops the connections that are being made, and each costs its caller a second.
///
/// # Errors
///
/// Whatever the kernel has against the address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    const BACKLOG: i32 = 4_096;
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(std::net::TcpListener::from(socket).into())
}

async fn serve_connection<F, Fut>(stream: TcpStream, limits: ServerLimits, gate: ConnectionGate, handler: Arc<F>)
where
    F: Fn(Request) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    let guard = GuardedStream::new(stream, limits.read_timeout, limits.write_timeout);
    loop {
        let head = std::pin::pin!(guard.next_head(limits.head_bytes, limits.idle_timeout));
        let drain = std::pin::pin!(gate.wait_draining());
        let head = match select(head, drain).await {
            Either::Left((head, _)) => head,
            Either::Right(((), _)) => return,
        };
        match head {
            Ok(HeadOutcome::Ready) => {}
            Ok(HeadOutcome::Ended) => return,
            Err(error) => return refuse(guard.stream(), &error).await,
        }
        let pass = gate.begin();
        let endpoint = |request: Request| {
            let handler = Arc::clone(&handler);
            async move { handler(request).await }
        };
        let mut server = Server::new(guard.clone(), endpoint);
        let (serve, abort) = abortable(async move { server.accept_one().await });
        let watch = HangUpWatch::start(guard.clone(), abort);
        let outcome = serve.await;
        drop(watch);
        drop(pass);
        match outcome {
            Ok(Ok(ConnectionStatus::KeepAlive)) if !gate.is_draining() => {}
            _ => return,
        }
    }
}

/// Ends the work for a request when its caller hangs up.
///
/// A task of its own: polled together with the work, it would ask the kernel again for each piece sent.
struct HangUpWatch {
    task: Option<task::JoinHandle<()>>,
}

impl HangUpWatch {
    fn start(guard: GuardedStream, abort: AbortHandle) -> Self {
        let task = task::spawn(async move {
            guard.hung_up().await;
            abort.abort();
        });
        Self { task: Some(task) }
    }
}

impl Drop for HangUpWatch {
    fn drop(&mut self) {
        if let Some(watch) = self.task.take() {
            // Cancelling takes effect when the handle is polled, which needs a task of its own here.
            let _ended = watch.cancel().now_or_never();
        }
    }
}

/// Writes an answer by hand, where the HTTP library would end the connection without one.
async fn refuse(stream: &TcpStream, error: &Error) {
    const LINGER: Duration = Duration::from_millis(200);
    let body = ApiErrorBody::from(error).to_json();
    let status =
        http_types::StatusCode::try_from(error.answer().status).unwrap_or(http_types::StatusCode::InternalServerError);
    let retry = error.get_retry_after().map(|span| format!("retry-after: {}\r\n", span.as_secs().max(1)));
    let text = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/json\r\n{}content-length: {}\r\nconnection: close\r\n\r\n{body}",
        u16::from(status),
        status.canonical_reason(),
        retry.unwrap_or_default(),
        body.len(),
    );
    let mut writer = stream.clone();
    if writer.write_all(text.as_bytes()).await.is_err() {
        return;
    }
    let _closed = stream.shutdown(std::net::Shutdown::Write);
    // Closing with unread bytes would reset the connection, and the caller might lose the answer.
    let drain = async_std::io::copy(stream.clone(), async_std::io::sink());
    let _drained = async_std::future::timeout(LINGER, drain).await;
}
