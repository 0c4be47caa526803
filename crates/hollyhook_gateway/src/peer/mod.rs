//! What hosts of a zone tell each other of what they read of the platform's store.

mod feed_board;
mod feed_message;
mod feed_server;
mod host_register;
mod peer_client;

pub(crate) use feed_board::FeedBoard;
pub(crate) use feed_server::serve_peers;
pub(crate) use host_register::HostRegister;
pub(crate) use peer_client::{PeerClient, PeerFault, PeerQuestion, PeerRole};
