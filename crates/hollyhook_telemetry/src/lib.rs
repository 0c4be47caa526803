//! What a process tells its operators: log lines, counters and histograms.

mod log;
mod metric;

pub use log::{LogGuard, LogLimiter, LogTarget, init_log};
pub use metric::{MetricMeasure, MetricRecorder, MetricScope, ProcessUsage};
