//! The queue of requests that wait for a service without free capacity, and how fast a host sends them.

mod account_line;
mod dispatch_rate;
mod dispatch_share;
mod priority_level;
mod queue_request;
mod rate_meter;
mod request_queue;
mod room_gate;

pub use dispatch_rate::DispatchRate;
pub use queue_request::{QueueLimits, QueueRefusal, QueueRequest};
pub use request_queue::RequestQueue;
pub use room_gate::RoomGate;
