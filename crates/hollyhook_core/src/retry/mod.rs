//! Limits on the work that failures cause: budgets for retries, and concurrency gates for probes and resumes.

mod probe_gate;
mod resume_gate;
mod retry_budget;
mod retry_window;

pub use probe_gate::{ProbeAdmission, ProbeGate, ProbeRelease};
pub use resume_gate::{ResumeGate, ResumeTicket};
pub use retry_budget::RetryBudget;
pub use retry_window::RetryWindow;
