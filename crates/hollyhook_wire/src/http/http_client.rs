use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use async_io::Timer;
use async_std::net::TcpStream;
use futures::future::{Either, select};
use hollyhook_core::{Error, ErrorKind, Result};
use http_types::{Request, Response};

use super::bound_endpoint_buffers;

/// An HTTP client that opens a new connection for each request.
///
/// It never reuses a connection: on a reused one that has failed unnoticed, a request that was not sent could not be
/// distinguished from a request that was sent and not answered.
#[derive(Debug, Clone)]
pub struct HttpClient {
    connect_timeout: Duration,
}

impl HttpClient {
    /// Creates a client that waits up to `connect_timeout` for each connection.
    pub const fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `NotRun` if the connection can't be opened in time; nothing has been sent then.
    pub async fn connect(&self, address: SocketAddr) -> Result<TcpStream> {
        let unreachable = |detail: &str| Error::new(ErrorKind::NotRun, format!("no connection to {address}: {detail}"));
        let connect = std::pin::pin!(TcpStream::connect(address));
        let limit = std::pin::pin!(Timer::after(self.connect_timeout));
        match select(connect, limit).await {
            Either::Left((Ok(stream), _)) => {
                let _unsupported = stream.set_nodelay(true);
                let _unsupported = bound_endpoint_buffers(&stream);
                Ok(stream)
            }
            Either::Left((Err(error), _)) => Err(unreachable(&error.to_string())),
            Either::Right(_) => Err(unreachable("timed out")),
        }
    }

    /// Sends a request on a new connection and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// `NotRun` if no connection could be opened, `OutcomeUnknown` if the connection failed after that.
    pub async fn send(&self, address: SocketAddr, request: Request) -> Result<ClientResponse> {
        let stream = self.connect(address).await?;
        send_on(stream, request).await
    }

    /// Sends a request on a new connection and waits up to `limit` for the complete response: its status and body.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send), and `OutcomeUnknown` if the response is not complete within `limit`.
    pub async fn fetch(&self, address: SocketAddr, request: Request, limit: Duration) -> Result<(u16, Vec<u8>)> {
        let fetch = async {
            let mut response = self.send(address, request).await?;
            let status = response.inner.status().into();
            let body = response.inner.body_bytes().await.map_err(|error| connection_error(&error))?;
            Ok((status, body))
        };
        let expiry = std::pin::pin!(Timer::after(limit));
        match select(std::pin::pin!(fetch), expiry).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => {
                let message = format!("no complete response from {address} within {} ms", limit.as_millis());
                Err(Error::new(ErrorKind::OutcomeUnknown, message))
            }
        }
    }
}

impl HttpClient {
    /// Sends a request on an open connection and waits up to `limit` for the complete response.
    ///
    /// # Errors
    ///
    /// `OutcomeUnknown` if the connection failed or the response is not complete within `limit`; the request may have
    /// been executed.
    pub async fn exchange(&self, stream: TcpStream, request: Request, limit: Duration) -> Result<Response> {
        let exchange = async {
            let mut response = send_on(stream, request).await?;
            let body = response.inner.body_bytes().await.map_err(|error| connection_error(&error))?;
            let mut buffered = Response::new(response.inner.status());
            for (name, values) in &response.inner {
                buffered.insert_header(name, values);
            }
            buffered.set_body(body);
            Ok(buffered)
        };
        let expiry = std::pin::pin!(Timer::after(limit));
        match select(std::pin::pin!(exchange), expiry).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => {
                let message = format!("no complete response within {} ms", limit.as_millis());
                Err(Error::new(ErrorKind::OutcomeUnknown, message))
            }
        }
    }
}

/// A response whose head has been received and whose body is still to be read.
///
/// Dropping it shuts the connection down.
#[derive(Debug)]
pub struct ClientResponse {
    /// The response.
    pub inner: Response,
    stream: TcpStream,
}

impl Drop for ClientResponse {
    fn drop(&mut self) {
        let _closed = self.stream.shutdown(Shutdown::Both);
    }
}

/// Sends a request on an open connection and waits for the head of the response.
pub(crate) async fn send_on(stream: TcpStream, request: Request) -> Result<ClientResponse> {
    let guard = ShutdownGuard(Some(stream.clone()));
    let inner = async_h1::connect(stream.clone(), request).await.map_err(|error| connection_error(&error))?;
    guard.disarm();
    Ok(ClientResponse { inner, stream })
}

/// Shuts the connection down if the wait for the response fails or is cancelled.
struct ShutdownGuard(Option<TcpStream>);

impl ShutdownGuard {
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for ShutdownGuard {
    fn drop(&mut self) {
        if let Some(stream) = &self.0 {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }
}

fn connection_error(error: &http_types::Error) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, format!("the connection failed before the response was complete: {error}"))
}
