use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use async_io::Timer;
use async_std::net::TcpStream;
use futures::future::{Either, select};
use hollyhook_core::{Error, ErrorKind, Result};
use http_types::{Request, Response};

/// Opens one connection for each request, so that a request never meets a stale one.
///
/// Through a kept connection that has silently died, "not sent" could not be told from "sent, no answer".
#[derive(Debug, Clone)]
pub struct HttpClient {
    connect_timeout: Duration,
}

impl HttpClient {
    /// A client that waits that long for a connection.
    pub const fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `NotRun` if it can't be opened in time: nothing was sent.
    pub async fn connect(&self, address: SocketAddr) -> Result<TcpStream> {
        let unreachable = |what: &str| Error::new(ErrorKind::NotRun, format!("no connection to {address}: {what}"));
        let connect = std::pin::pin!(TcpStream::connect(address));
        let limit = std::pin::pin!(Timer::after(self.connect_timeout));
        match select(connect, limit).await {
            Either::Left((Ok(stream), _)) => {
                let _unsupported = stream.set_nodelay(true);
                Ok(stream)
            }
            Either::Left((Err(error), _)) => Err(unreachable(&error.to_string())),
            Either::Right(_) => Err(unreachable("timed out")),
        }
    }

    /// Sends a request on a new connection and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// `NotRun` if no connection could be opened, `OutcomeUnknown` if it broke after that.
    pub async fn send(&self, address: SocketAddr, request: Request) -> Result<ClientAnswer> {
        let stream = self.connect(address).await?;
        send_on(stream, request).await
    }

    /// Sends a request and waits for the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send), and `OutcomeUnknown` when the time is over.
    pub async fn fetch(&self, address: SocketAddr, request: Request, limit: Duration) -> Result<(u16, Vec<u8>)> {
        let fetch = async {
            let mut answer = self.send(address, request).await?;
            let status = answer.response.status().into();
            let body = answer.response.body_bytes().await.map_err(|error| broken(&error))?;
            Ok((status, body))
        };
        let expiry = std::pin::pin!(Timer::after(limit));
        match select(std::pin::pin!(fetch), expiry).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => {
                let message = format!("no whole answer from {address} within {} ms", limit.as_millis());
                Err(Error::new(ErrorKind::OutcomeUnknown, message))
            }
        }
    }
}

impl HttpClient {
    /// Sends a request on a connection that is open, and waits for the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// `OutcomeUnknown` if the connection broke or the time is over: the request may have been acted on.
    pub async fn exchange(&self, stream: TcpStream, request: Request, limit: Duration) -> Result<Response> {
        let exchange = async {
            let mut answer = send_on(stream, request).await?;
            let body = answer.response.body_bytes().await.map_err(|error| broken(&error))?;
            let mut response = Response::new(answer.response.status());
            for (name, values) in &answer.response {
                response.insert_header(name, values);
            }
            response.set_body(body);
            Ok(response)
        };
        let expiry = std::pin::pin!(Timer::after(limit));
        match select(std::pin::pin!(exchange), expiry).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => {
                let message = format!("no whole answer within {} ms", limit.as_millis());
                Err(Error::new(ErrorKind::OutcomeUnknown, message))
            }
        }
    }
}

/// The head of an answer, whose body streams, on a connection that is cut when this is dropped.
#[derive(Debug)]
pub struct ClientAnswer {
    /// The answer.
    pub response: Response,
    stream: TcpStream,
}

impl Drop for ClientAnswer {
    fn drop(&mut self) {
        let _closed = self.stream.shutdown(Shutdown::Both);
    }
}

/// Sends a request on an open connection and waits for the head of the answer.
pub(crate) async fn send_on(stream: TcpStream, request: Request) -> Result<ClientAnswer> {
    let guard = ShutdownGuard(Some(stream.clone()));
    let response = async_h1::connect(stream.clone(), request).await.map_err(|error| broken(&error))?;
    guard.disarm();
    Ok(ClientAnswer { response, stream })
}

/// Cuts the connection if the wait for the answer is given up.
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

fn broken(error: &http_types::Error) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, format!("the connection broke before the whole answer: {error}"))
}
