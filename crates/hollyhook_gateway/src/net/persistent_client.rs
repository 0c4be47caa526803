use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_kernel::TimerService;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::Serialize;

use super::{dial, wire_stream};
use crate::pool::PooledConnection;

/// Time limit for connecting. The store and other hosts, in the same region, accept within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response body. The store sends pages of about 1 MB. A host with a link of 1 Gbit/s sends some
/// forty thousand endpoints at once, in up to 300 bytes each.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Size of the read buffer of a connection; a page fits in a few reads.
const READ_BUFFER_BYTES: usize = 400 << 10;

/// Why an HTTP exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ExchangeError(pub(crate) &'static str);

/// HTTP client that sends one request at a time and keeps one connection open, to the server called last.
pub(crate) struct PersistentClient {
    timer: TimerService,
    connection: Option<ClientConnection>,
}

struct ClientConnection {
    address: SocketAddr,
    inner: PooledConnection,
}

impl PersistentClient {
    pub(crate) fn new(timer: TimerService) -> Self {
        Self { timer, connection: None }
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// If the connection fails, the response is too large, or the exchange takes longer than `limit`.
    pub(crate) async fn call(
        &mut self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let timer = self.timer.clone();
        let outcome = timer.within(limit, self.exchange(address, request)).await;
        outcome.unwrap_or_else(|| {
            // A connection with an unanswered request can't carry another one.
            self.connection = None;
            Err(ExchangeError("no response within the time limit"))
        })
    }

    /// Sends a JSON body with POST and reads the whole response.
    ///
    /// # Errors
    ///
    /// As [`call`](Self::call).
    pub(crate) async fn post(
        &mut self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let request = build_request(Method::POST, address, path, body)?;
        self.call(address, request, limit).await
    }

    async fn exchange(
        &mut self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let kept = self.connection.take().filter(|kept| kept.address == address && kept.inner.is_ready());
        let mut connection = match kept {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        let response = connection
            .inner
            .send(request)
            .await
            .map_err(|_error| ExchangeError("the connection failed or sent no valid response head"))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|_error| ExchangeError("the response body was truncated or too large"))?.to_bytes();
        self.connection = Some(connection);
        Ok(Response::from_parts(parts, body))
    }

    async fn connect(&self, address: SocketAddr) -> Result<ClientConnection, ExchangeError> {
        let stream = dial(&self.timer, address, CONNECT_TIMEOUT).await;
        let stream = stream.map_err(|_error| ExchangeError("connecting failed"))?;
        let inner = PooledConnection::start(wire_stream(stream), READ_BUFFER_BYTES).await;
        let inner = inner.map_err(|_error| ExchangeError("the HTTP/1.1 handshake failed"))?;
        Ok(ClientConnection { address, inner })
    }
}

impl fmt::Debug for PersistentClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeptLine").finish_non_exhaustive()
    }
}

/// Encodes a message to another host.
///
/// # Errors
///
/// If the message has no representation in JSON.
pub(crate) fn encode_message(message: &impl Serialize) -> Result<Vec<u8>, ExchangeError> {
    serde_json::to_vec(message).map_err(|_error| ExchangeError("the message can't be encoded"))
}

/// Builds a request with a JSON body, which may be empty.
pub(crate) fn build_request(
    method: http::Method,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, ExchangeError> {
    let builder = Request::builder().method(method).uri(path).header(header::HOST, address.to_string());
    let builder = builder.header(header::CONTENT_TYPE, "application/json");
    builder.body(Full::new(body.into())).map_err(|_error| ExchangeError("the request path is not a valid URI"))
}
