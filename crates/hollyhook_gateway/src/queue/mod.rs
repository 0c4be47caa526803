//! The queues of requests that wait for services without free capacity.

mod caller_place;
mod queue_ticket;
mod queue_turn;
mod queue_verdict;
mod service_queue;
mod service_queues;

pub(crate) use caller_place::queue_request;
pub(crate) use queue_turn::QueueTurn;
pub(crate) use queue_verdict::RefusedWait;
pub(crate) use service_queues::ServiceQueues;
