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
use super::bound_caller_buffers;
use super::limited_stream::{HeadOutcome, LimitedStream};
use crate::api::ApiErrorBody;

/// Limits on a server's connections and on the requests of each.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    connections: usize,
    head_bytes: usize,
    read_timeout: Duration,
    write_timeout: Duration,
    idle_timeout: Duration,
}

impl ServerLimits {
    /// Sets the maximum number of open connections; a connection beyond them is answered with `Overloaded` and closed.
    #[must_use]
    pub fn connections(mut self, number: usize) -> Self {
        self.connections = number;
        self
    }

    /// Sets the maximum size of a request head in bytes.
    #[must_use]
    pub fn head_bytes(mut self, bytes: usize) -> Self {
        self.head_bytes = bytes;
        self
    }

    /// Sets how long the rest of a request head, or the next bytes of a request body, may take to arrive.
    #[must_use]
    pub fn read_timeout(mut self, duration: Duration) -> Self {
        self.read_timeout = duration;
        self
    }

    /// Sets how long a response may stay blocked because its caller does not read it.
    #[must_use]
    pub fn write_timeout(mut self, duration: Duration) -> Self {
        self.write_timeout = duration;
        self
    }

    /// Sets how long a connection may stay idle before a request.
    #[must_use]
    pub fn idle_timeout(mut self, duration: Duration) -> Self {
        self.idle_timeout = duration;
        self
    }
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 20_000,
            // async-h1 closes the connection without a response if a head reaches 8 KiB.
            head_bytes: 8 * 1_024 - 1,
            read_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// An HTTP server with limits and graceful shutdown.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
    limits: ServerLimits,
    gate: ConnectionGate,
}

impl HttpServer {
    /// Creates a server that listens on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if the server can't listen on the address.
    pub fn bind(address: SocketAddr, limits: ServerLimits) -> Result<Self, Error> {
        let invalid = |error: std::io::Error| {
            Error::new(ErrorKind::InvalidSetting, format!("can't listen at {address}: {error}")).param("listen")
        };
        let listener = listen(address).map_err(invalid)?;
        let address = listener.local_addr().map_err(invalid)?;
        Ok(Self { listener, address, limits, gate: ConnectionGate::new() })
    }

    /// The address that the server listens on, with the port that was selected.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The gate that counts the server's requests and shuts it down.
    pub fn gate(&self) -> ConnectionGate {
        self.gate.clone()
    }

    /// Accepts connections until the gate drains.
    ///
    /// Requests that have begun continue after that; [`ConnectionGate::wait_idle`] waits for them.
    pub async fn run<F, Fut>(self, handler: F)
    where
        F: Fn(Request) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = http_types::Result<Response>> + Send + 'static,
    {
        const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
        let handler = Arc::new(handler);
        loop {
            let accept = std::pin::pin!(self.listener.accept());
            let drain = std::pin::pin!(self.gate.wait_draining());
            match select(accept, drain).await {
                Either::Left((Ok((stream, _peer)), _)) => self.spawn(stream, Arc::clone(&handler)),
                // Most likely no file descriptors are left. Open connections continue, and closing them frees
                // descriptors.
                Either::Left((Err(_), _)) => task::sleep(ACCEPT_RETRY_DELAY).await,
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
        let permit = gate.admit_connection(limits.connections);
        task::spawn(async move {
            // A token is a small write, which Nagle's algorithm would hold back to combine it with the next write.
            let _unsupported = stream.set_nodelay(true);
            let _unsupported = bound_caller_buffers(&stream);
            if permit.is_none() {
                let error = Error::new(ErrorKind::Overloaded, "this host has too many open connections")
                    .retry_after(Duration::from_secs(1));
                return write_error(&stream, &error).await;
            }
            serve_connection(stream, limits, gate, handler).await;
            drop(permit);
        });
    }
}

/// Listens on an address with a longer accept queue than the standard library's.
///
/// The standard library's queue of 128 connections overflows when 1,000 callers connect at once. The kernel then drops
/// connection attempts, and each caller concerned loses a second until it retries.
///
/// # Errors
///
/// The kernel's error if it can't listen on the address.
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
    let stream = LimitedStream::new(stream, limits.read_timeout, limits.write_timeout);
    loop {
        let head = std::pin::pin!(stream.next_head(limits.head_bytes, limits.idle_timeout));
        let drain = std::pin::pin!(gate.wait_draining());
        let head = match select(head, drain).await {
            Either::Left((head, _)) => head,
            Either::Right(((), _)) => return,
        };
        match head {
            Ok(HeadOutcome::Ready) => {}
            Ok(HeadOutcome::Ended) => return,
            Err(error) => return write_error(stream.tcp_stream(), &error).await,
        }
        let permit = gate.begin_request();
        let respond = |request: Request| {
            let handler = Arc::clone(&handler);
            async move { handler(request).await }
        };
        let mut server = Server::new(stream.clone(), respond);
        let (serve, abort) = abortable(async move { server.accept_one().await });
        let watch = DisconnectWatch::start(stream.clone(), abort);
        let outcome = serve.await;
        drop(watch);
        drop(permit);
        match outcome {
            Ok(Ok(ConnectionStatus::KeepAlive)) if !gate.is_draining() => {}
            _ => return,
        }
    }
}

/// Aborts the handling of a request when its caller disconnects.
///
/// It runs as a separate task: polled together with the request, it would make a system call for each chunk sent.
struct DisconnectWatch {
    task: Option<task::JoinHandle<()>>,
}

impl DisconnectWatch {
    fn start(stream: LimitedStream, abort: AbortHandle) -> Self {
        let task = task::spawn(async move {
            stream.closed().await;
            abort.abort();
        });
        Self { task: Some(task) }
    }
}

impl Drop for DisconnectWatch {
    fn drop(&mut self) {
        if let Some(watch) = self.task.take() {
            // The cancellation takes effect when its future is polled. `drop` can't await the future and polls it once.
            let _ended = watch.cancel().now_or_never();
        }
    }
}

/// Writes an error response directly, where the HTTP library would close the connection without a response.
async fn write_error(stream: &TcpStream, error: &Error) {
    const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
    let body = ApiErrorBody::from(error).to_json();
    let status =
        http_types::StatusCode::try_from(error.answer().status).unwrap_or(http_types::StatusCode::InternalServerError);
    let retry = error.get_retry_after().map(|duration| format!("retry-after: {}\r\n", duration.as_secs().max(1)));
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
    // Closing a connection with unread bytes resets it, and the caller might then lose the response.
    let drain = async_std::io::copy(stream.clone(), async_std::io::sink());
    let _drained = async_std::future::timeout(LINGER_TIMEOUT, drain).await;
}
