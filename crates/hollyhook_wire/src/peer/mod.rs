//! Calls between daemons, and from the operator's command to a daemon, by `tarpc`.

mod peer_calls;
mod status_report;

pub use peer_calls::{HostReport, PeerCallsClient, PeerServer, connect_peer, serve_peers};
pub use status_report::{CounterRow, EndpointRow, HistogramRow, StatusReport};
