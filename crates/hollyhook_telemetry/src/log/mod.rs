//! Log lines by `tracing`, as text or JSON, bounded in volume and never blocking.

mod log_limiter;
mod log_output;

pub use log_limiter::LogLimiter;
pub use log_output::{LogGuard, LogTarget, init_log};
