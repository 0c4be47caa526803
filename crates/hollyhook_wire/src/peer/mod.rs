//! Remote procedure calls over `tarpc`: between daemons, and from the operator's command to a daemon.

mod peer_calls;
mod status_report;

pub use peer_calls::{HostReport, PeerCallsClient, PeerServer, connect_peer, serve_peers};
pub use status_report::{CounterRow, EndpointRow, HistogramRow, StatusReport};
