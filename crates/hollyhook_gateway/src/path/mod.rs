//! Connections to endpoints: opened directly, or as a tunnel through another host while this one has no network path.

mod connect_error;
mod connect_race;
mod connection_probe;
mod endpoint_connector;
mod endpoint_target;
mod path_inquiry;
mod path_question;
mod path_tracker;
mod tunnel_client;
mod tunnel_request;
mod tunnel_server;
mod tunnel_stream;
mod tunnel_traffic;

pub(crate) use connect_error::{ConnectError, RemoteFinding};
pub(crate) use connection_probe::{ConnectionProbe, ProbeOutcome};
pub(crate) use endpoint_connector::EndpointConnector;
pub(crate) use endpoint_target::EndpointTarget;
pub(crate) use path_tracker::{PathTracker, TunnelLease};
pub(crate) use tunnel_request::is_tunnel_request;
pub(crate) use tunnel_server::TunnelServer;
pub(crate) use tunnel_stream::TunnelStream;
