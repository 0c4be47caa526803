//! Log output through `tracing`, as text or JSON: limited in rate, and written without blocking the caller.

mod log_limiter;
mod log_output;

pub use log_limiter::LogLimiter;
pub use log_output::{LogGuard, LogTarget, init_log};
