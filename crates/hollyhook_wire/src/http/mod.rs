//! HTTP by `async-h1`, with the limits, deadlines and graceful stop that it leaves to its user.

mod body_feed;
mod connection_gate;
mod guarded_stream;
mod http_client;
mod http_server;
mod request_head;

pub use body_feed::{BodySender, body_channel, read_body};
pub use connection_gate::ConnectionGate;
pub use http_client::{ClientAnswer, HttpClient};
pub use http_server::{HttpServer, ServerLimits, listen};
