//! The queues of requests that wait for services without free capacity.

mod queue_request;
mod queue_ticket;
mod queue_turn;
mod queue_verdict;
mod service_queue;
mod service_queues;

pub(crate) use queue_request::queue_request;
pub(crate) use queue_turn::QueueTurn;
pub(crate) use queue_verdict::RefusedWait;
pub(crate) use service_queues::ServiceQueues;
