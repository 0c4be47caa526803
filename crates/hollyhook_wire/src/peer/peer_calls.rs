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

/// The largest message between daemons, in bytes.
const MAX_FRAME: usize = 20 << 20;

/// What a daemon says of itself to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host's name.
    pub host: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The version of the configuration that it runs.
    pub config_version: u64,
    /// A digest of that configuration, in hexadecimal.
    pub config_digest: Name,
    /// Whether it is stopping.
    pub is_draining: bool,
    /// Generations that it relays.
    pub generations: u32,
}

/// The calls that a daemon answers to others.
mod service {
    use hollyhook_core::{GenerationId, Name};

    use super::{HostReport, StatusReport};

    /// The calls that a daemon answers to others.
    #[tarpc::service]
    pub trait PeerCalls {
        /// What the daemon says of itself.
        async fn report() -> HostReport;
        /// What the daemon shows an operator.
        async fn status() -> Option<StatusReport>;
        /// The trace of a generation, one JSON object a line, if the daemon has kept it.
        async fn trace(generation: GenerationId) -> Option<Name>;
    }
}

use service::PeerCalls;
pub use service::PeerCallsClient;

/// Answers the calls of other daemons and of the operator's command with what closures say. A builder.
#[derive(Clone)]
pub struct PeerServer {
    report: Arc<dyn Fn() -> HostReport + Send + Sync>,
    status: Arc<dyn Fn() -> Option<StatusReport> + Send + Sync>,
    trace: Arc<dyn Fn(GenerationId) -> Option<Name> + Send + Sync>,
}

impl PeerServer {
    /// A server that calls `report` for each request for a host's report, and knows nothing else.
    pub fn new(report: impl Fn() -> HostReport + Send + Sync + 'static) -> Self {
        Self { report: Arc::new(report), status: Arc::new(|| None), trace: Arc::new(|_generation| None) }
    }

    /// The same server with a status.
    #[must_use]
    pub fn status(mut self, status: impl Fn() -> StatusReport + Send + Sync + 'static) -> Self {
        self.status = Arc::new(move || Some(status()));
        self
    }

    /// The same server with traces.
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

/// Answers other daemons at a listener until the task is dropped.
pub async fn serve_peers(listener: TcpListener, server: PeerServer) {
    const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let server = server.clone();
        task::spawn(async move {
            let transport = transport(stream);
            let requests = BaseChannel::with_defaults(transport).execute(server.serve());
            // Each request in its own task, so that a slow one holds up no other.
            requests.for_each(|answer| async { drop(task::spawn(answer)) }).await;
        });
    }
}

/// Connects to another daemon.
///
/// # Errors
///
/// `NoEndpoint` if it can't be reached within `limit`.
pub async fn connect_peer(address: SocketAddr, limit: Duration) -> Result<PeerCallsClient> {
    let unreachable = |what: &str| Error::new(ErrorKind::NoEndpoint, format!("no daemon answers at {address}: {what}"));
    let connected = async_std::future::timeout(limit, TcpStream::connect(address)).await;
    let stream =
        connected.map_err(|_late| unreachable("timed out"))?.map_err(|error| unreachable(&error.to_string()))?;
    let client = PeerCallsClient::new(tarpc::client::Config::default(), transport(stream));
    task::spawn(async move {
        let _closed = client.dispatch.await;
    });
    Ok(client.client)
}

type PeerTransport<I, O> =
    tarpc::serde_transport::Transport<tokio_util::compat::Compat<TcpStream>, I, O, Bincode<I, O>>;

fn transport<I, O>(stream: TcpStream) -> PeerTransport<I, O>
where
    I: for<'de> Deserialize<'de>,
    O: Serialize,
{
    let _unsupported = stream.set_nodelay(true);
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME);
    let framed = tokio_util::codec::Framed::new(stream.compat(), codec);
    tarpc::serde_transport::new(framed, Bincode::default())
}
