//! Log lines by `tracing`, as text or JSON, bounded in volume and never blocking.

mod log_output;
mod log_volume;

pub use log_output::{LogGuard, LogTarget, init_log};
pub use log_volume::LogVolume;
