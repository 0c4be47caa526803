//! Exchange of demand between hosts: while a service is overloaded, hosts tell the collector of their zone what they
//! measured, and derive from the sums which fraction of their requests they send.

mod demand_call;
mod demand_message;
mod demand_sender;
mod demand_server;
mod demand_tracker;

pub(crate) use demand_call::DemandCall;
pub(crate) use demand_sender::DemandSender;
pub(crate) use demand_server::{answer_demand_request, is_demand_request};
pub(crate) use demand_tracker::DemandTracker;
