//! Log output of a process, and its counters and latency histograms.

mod log;
mod metric;

pub use log::{LogGuard, LogLimiter, LogTarget, init_log};
pub use metric::{MetricMeasure, MetricRecorder, MetricScope, ProcessUsage};
