//! The endpoint table and the services that all requests of a host share, such as probes, resumes and cancellations.

mod cancel_service;
mod fleet_table;
mod host_context;
mod load_poller;
mod probe_service;
mod resume_service;

pub(crate) use cancel_service::{CancelCommand, run_cancels};
pub(crate) use fleet_table::FleetTable;
pub(crate) use host_context::HostContext;
pub(crate) use load_poller::{apply_load_report, run_load_polls};
pub(crate) use probe_service::ProbeService;
pub(crate) use resume_service::{ResumePermit, ResumeService};
