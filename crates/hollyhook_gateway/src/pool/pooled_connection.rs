use std::net::TcpStream;

use async_io::Async;
use async_std::task;
use bytes::Bytes;
use futures::future::{AbortHandle, abortable};
use hollyhook_core::TimePoint;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};

use crate::net::{WireStream, wire_stream};

/// Why a request got no answer head.
#[derive(Debug)]
pub(crate) enum SendFault {
    /// No byte of it was written; here it is again.
    Unsent(Box<Request<Full<Bytes>>>),
    /// What came is not an answer in the protocol.
    Garbled,
    /// The connection broke.
    Broken,
}

/// One connection that is used for one request at a time.
///
/// Dropping it closes the connection, which tells an endpoint to stop working on what was sent.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Until when the peer keeps it open while idle; set when it is put back.
    pub(super) usable_until: TimePoint,
    /// When it was put back.
    pub(super) idle_since: TimePoint,
}

impl PooledConnection {
    /// Starts to speak HTTP/1.1 on a new connection.
    pub(crate) async fn start(stream: Async<TcpStream>) -> hyper::Result<Self> {
        let (sender, connection) = http1::handshake::<WireStream, Full<Bytes>>(wire_stream(stream)).await?;
        let (driver, handle) = abortable(connection);
        task::spawn(async move {
            // What goes wrong on the connection is told to whoever waits for an answer on it.
            let _outcome = driver.await;
        });
        Ok(Self { sender, driver: handle, usable_until: TimePoint::ZERO, idle_since: TimePoint::ZERO })
    }

    /// Whether it can take a request now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendFault> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut fault) => Err(match fault.take_message() {
                Some(request) => SendFault::Unsent(Box::new(request)),
                None if fault.error().is_parse() => SendFault::Garbled,
                None => SendFault::Broken,
            }),
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
