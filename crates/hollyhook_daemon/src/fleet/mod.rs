//! What a host knows of the endpoints, and what it shares between its requests.

mod cancel_service;
mod fleet_table;
mod host_context;
mod load_poller;
mod probe_service;
mod resume_service;

pub(crate) use cancel_service::{CancelOrder, run_cancels};
pub(crate) use fleet_table::FleetTable;
pub(crate) use host_context::HostContext;
pub(crate) use load_poller::{run_load_polls, take_report};
pub(crate) use probe_service::ProbeService;
pub(crate) use resume_service::{ResumePass, ResumeService};
