//! The exchange of the store's contents between hosts: a few hosts of a zone read the store and update the others.

mod feed_message;
mod feed_server;
mod feed_state;
mod host_registrar;
mod peer_client;

pub(crate) use feed_server::serve_peers;
pub(crate) use feed_state::FeedState;
pub(crate) use host_registrar::HostRegistrar;
pub(crate) use peer_client::{PeerClient, PeerError, PeerRequest, PeerRole};
