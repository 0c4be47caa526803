use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::StreamExt;
use hollyhook_core::{Error, ErrorKind, GenerationId, Name, Result};
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::StatusReport;

/// The maximum size of a message between daemons, in bytes.
const MAX_FRAME_BYTES: usize = 20 << 20;

/// A daemon's report on itself to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host's name.
    pub host: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The version of the configuration in force.
    pub config_version: u64,
    /// A digest of that configuration, in hexadecimal.
    pub config_digest: Name,
    /// Whether the daemon is shutting down and accepts no new requests.
    pub is_draining: bool,
    /// The number of open requests of callers, plain calls included.
    pub generations: u32,
}

/// The remote procedure calls that a daemon answers.
mod service {
    use hollyhook_core::{GenerationId, Name};

    use super::{HostReport, StatusReport};

    /// The remote procedure calls that a daemon answers.
    #[tarpc::service]
    pub trait PeerCalls {
        /// The daemon's report on itself.
        async fn report() -> HostReport;
        /// The daemon's status for operators; `None` if the daemon does not provide it.
        async fn status() -> Option<StatusReport>;
        /// The trace of a generation, one JSON object per line; `None` if the daemon has not kept it.
        async fn trace(generation: GenerationId) -> Option<Name>;
    }
}

use service::PeerCalls;
pub use service::PeerCallsClient;

/// Answers the calls of other daemons and of the operator's command.
///
/// It is built from closures that produce the answers.
#[derive(Clone)]
pub struct PeerServer {
    report: Arc<dyn Fn() -> HostReport + Send + Sync>,
    status: Arc<dyn Fn() -> Option<StatusReport> + Send + Sync>,
    trace: Arc<dyn Fn(GenerationId) -> Option<Name> + Send + Sync>,
}

impl PeerServer {
    /// Creates a server that answers `report` calls and has neither a status nor traces.
    pub fn new(report: impl Fn() -> HostReport + Send + Sync + 'static) -> Self {
        Self { report: Arc::new(report), status: Arc::new(|| None), trace: Arc::new(|_generation| None) }
    }

    /// Sets the closure that answers `status` calls.
    #[must_use]
    pub fn status(mut self, status: impl Fn() -> StatusReport + Send + Sync + 'static) -> Self {
        self.status = Arc::new(move || Some(status()));
        self
    }

    /// Sets the closure that answers `trace` calls.
    #[must_use]
    pub fn trace(mut self, trace: impl Fn(GenerationId) -> Option<Name> + Send + Sync + 'static) -> Self {
        self.trace = Arc::new(trace);
        self
    }
}

impl fmt::Debug for PeerServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerServer").finish_non_exhaustive()
    }
}

impl PeerCalls for PeerServer {
    async fn report(self, _context: tarpc::context::Context) -> HostReport {
        (self.report)()
    }

    async fn status(self, _context: tarpc::context::Context) -> Option<StatusReport> {
        (self.status)()
    }

    async fn trace(self, _context: tarpc::context::Context, generation: GenerationId) -> Option<Name> {
        (self.trace)(generation)
    }
}

/// Accepts connections of peers and answers their calls until the future is dropped.
///
/// Connections that are open when the future is dropped continue to be served.
pub async fn serve_peers(listener: TcpListener, server: PeerServer) {
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            task::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let server = server.clone();
        task::spawn(async move {
            let transport = transport(stream);
            let requests = BaseChannel::with_defaults(transport).execute(server.serve());
            // Each request runs in its own task, so that a slow request does not delay the others.
            requests.for_each(|answer| async { drop(task::spawn(answer)) }).await;
        });
    }
}

/// Connects to a daemon's peer address.
///
/// # Errors
///
/// `NoEndpoint` if the daemon can't be reached within `limit`.
pub async fn connect_peer(address: SocketAddr, limit: Duration) -> Result<PeerCallsClient> {
    let unreachable =
        |detail: &str| Error::new(ErrorKind::NoEndpoint, format!("no daemon answers at {address}: {detail}"));
    let connected = async_std::future::timeout(limit, TcpStream::connect(address)).await;
    let stream =
        connected.map_err(|_elapsed| unreachable("timed out"))?.map_err(|error| unreachable(&error.to_string()))?;
    let client = PeerCallsClient::new(tarpc::client::Config::default(), transport(stream));
    task::spawn(async move {
        let _closed = client.dispatch.await;
    });
    Ok(client.client)
}

type PeerTransport<I, O> =
    tarpc::serde_transport::Transport<tokio_util::compat::Compat<TcpStream>, I, O, Bincode<I, O>>;

/// Frames messages on a connection, with a length before each, and encodes them as Bincode.
fn transport<I, O>(stream: TcpStream) -> PeerTransport<I, O>
where
    I: for<'de> Deserialize<'de>,
    O: Serialize,
{
    let _unsupported = stream.set_nodelay(true);
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    let framed = tokio_util::codec::Framed::new(stream.compat(), codec);
    tarpc::serde_transport::new(framed, Bincode::default())
}
