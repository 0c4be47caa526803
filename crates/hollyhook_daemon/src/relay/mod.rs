//! Drives a generation: reports events to its `GenerationRelay` and performs the actions that the relay returns.

mod attempt_link;
mod caller_link;
mod latency_tracker;
mod relay_driver;
mod takeover;
mod trace_store;

pub(crate) use caller_link::{CallerLink, RelayReply};
pub(crate) use relay_driver::{RelayDriver, RelayTask};
pub(crate) use takeover::{GenerationStart, resolve_start};
pub(crate) use trace_store::TraceStore;
