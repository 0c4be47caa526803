//! Exchange of demand between hosts: while a service is overloaded, hosts report their demand to the collector of their
//! zone, and derive from the sums the fraction of their requests that they send.

mod demand_call;
mod demand_message;
mod demand_sender;
mod demand_server;
mod demand_tracker;

pub(crate) use demand_call::DemandCall;
pub(crate) use demand_sender::DemandSender;
pub(crate) use demand_server::{answer_demand_request, is_demand_request};
pub(crate) use demand_tracker::DemandTracker;
