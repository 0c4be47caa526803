//! HTTP/1.1 by `async-h1`, with the limits, timeouts and graceful shutdown that `async-h1` itself lacks.

mod body_sender;
mod connection_gate;
mod http_client;
mod http_server;
mod limited_stream;
mod request_head;
mod socket_buffers;

pub use body_sender::{BodySender, body_channel, read_body};
pub use connection_gate::ConnectionGate;
pub use http_client::{ClientResponse, HttpClient};
pub use http_server::{HttpServer, ServerLimits, listen};
pub use socket_buffers::{bound_caller_buffers, bound_endpoint_buffers};
