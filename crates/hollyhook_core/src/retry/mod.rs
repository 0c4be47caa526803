//! Bounds on the work that failures cause: a budget for retries and a gate for resumes.

mod probe_gate;
mod resume_gate;
mod retry_budget;
mod retry_window;

pub use probe_gate::{ProbeAdmission, ProbeGate, ProbeRelease};
pub use resume_gate::{ResumeGate, ResumeTicket};
pub use retry_budget::RetryBudget;
pub use retry_window::RetryWindow;
