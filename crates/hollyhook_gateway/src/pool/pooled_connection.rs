use bytes::Bytes;
use hollyhook_core::{Name, TimePoint};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::rt::{Read, Write};

use crate::net::DriverGuard;
use crate::path::TunnelLease;

/// Why a request got no response head.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was written; it is returned so that it can be sent on another connection.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The peer's bytes are not a valid HTTP/1.1 response.
    Garbled,
    /// The connection failed after part of the request may have been sent.
    Broken,
}

/// HTTP/1.1 connection that carries one request at a time.
///
/// Dropping it closes the connection, which makes an endpoint stop working on the request sent on it.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    /// Dropped before the sender, so that the connection is reset rather than closed in good order.
    _driver: DriverGuard,
    sender: SendRequest<Full<Bytes>>,
    /// Present if the connection leads through another host.
    lease: Option<TunnelLease>,
    /// The attempt id of the last request that had one.
    last_attempt: Option<Name>,
    /// When the connection expires; set when it is returned to the pool.
    pub(super) usable_until: TimePoint,
    /// When the connection was returned to the pool.
    pub(super) idle_since: TimePoint,
}

impl PooledConnection {
    /// Performs the HTTP/1.1 handshake on a new connection and spawns the task that drives it.
    ///
    /// Up to `buffer_bytes` of a response are read ahead.
    pub(crate) async fn start<S>(stream: S, buffer_bytes: usize) -> hyper::Result<Self>
    where
        S: Read + Write + Unpin + Send + 'static,
    {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(buffer_bytes);
        let (sender, connection) = builder.handshake::<S, Full<Bytes>>(stream).await?;
        let driver = DriverGuard::spawn(connection);
        Ok(Self {
            _driver: driver,
            sender,
            lease: None,
            last_attempt: None,
            usable_until: TimePoint::ZERO,
            idle_since: TimePoint::ZERO,
        })
    }

    /// Marks the connection as a tunnel through another host.
    #[must_use]
    pub(super) fn through_host(mut self, lease: TunnelLease) -> Self {
        self.lease = Some(lease);
        self
    }

    /// Whether the connection leads through another host.
    pub(crate) fn is_tunnel(&self) -> bool {
        self.lease.is_some()
    }

    /// Records the attempt id of a request that is to be sent.
    pub(crate) fn record_attempt(&mut self, attempt_id: &Name) {
        self.last_attempt = Some(Name::clone(attempt_id));
    }

    /// Whether the last request with an attempt id had this one.
    ///
    /// Earlier ones don't matter: a late second answer arrives where the next answer is expected.
    pub(super) fn has_carried(&self, attempt_id: &Name) -> bool {
        self.last_attempt.as_ref() == Some(attempt_id)
    }

    /// Whether a request can be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut fault) => Err(match fault.take_message() {
                Some(request) => SendError::Unsent(Box::new(request)),
                None if fault.error().is_parse() => SendError::Garbled,
                None => SendError::Broken,
            }),
        }
    }
}
