use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_kernel::TimerService;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};

use super::dial;
use crate::pool::PooledConnection;

/// How long a connection may take; the store and other hosts answer within milliseconds from within the region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The most bytes of one answer: the store states about 1 MB a page, and a host with a link of 1 Gbit/s tells some forty thousand
/// endpoints at once, in up to 300 bytes each.
const MOST_BYTES: usize = 16 << 20;

/// Why a call gave nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ExchangeError(pub(crate) &'static str);

/// Calls one server after another over one kept connection.
pub(crate) struct PersistentClient {
    timer: TimerService,
    connection: Option<LineConnection>,
}

struct LineConnection {
    address: SocketAddr,
    inner: PooledConnection,
}

impl PersistentClient {
    pub(crate) fn new(timer: TimerService) -> Self {
        Self { timer, connection: None }
    }

    /// Sends a request and reads the whole answer, or gives up after `limit`.
    pub(crate) async fn call(
        &mut self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let timer = self.timer.clone();
        let outcome = timer.within(limit, self.exchange(address, request)).await;
        outcome.unwrap_or_else(|| {
            // A connection on which an answer was lost returns nothing further.
            self.connection = None;
            Err(ExchangeError("no answer in time"))
        })
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
        let response = connection.inner.send(request).await.map_err(|_fault| ExchangeError("the connection broke"))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MOST_BYTES).collect().await;
        let body = body.map_err(|_error| ExchangeError("the answer was cut off"))?.to_bytes();
        self.connection = Some(connection);
        Ok(Response::from_parts(parts, body))
    }

    async fn connect(&self, address: SocketAddr) -> Result<LineConnection, ExchangeError> {
        let stream = dial(&self.timer, address, CONNECT_TIMEOUT).await;
        let stream = stream.map_err(|_error| ExchangeError("no connection"))?;
        let inner = PooledConnection::start(stream).await.map_err(|_error| ExchangeError("no connection"))?;
        Ok(LineConnection { address, inner })
    }
}

impl fmt::Debug for PersistentClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeptLine").finish_non_exhaustive()
    }
}

/// A request for a path; the body is empty for most.
pub(crate) fn build_request(
    method: http::Method,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, ExchangeError> {
    let builder = Request::builder().method(method).uri(path).header(header::HOST, address.to_string());
    let builder = builder.header(header::CONTENT_TYPE, "application/json");
    builder.body(Full::new(body.into())).map_err(|_error| ExchangeError("the path is not valid"))
}
