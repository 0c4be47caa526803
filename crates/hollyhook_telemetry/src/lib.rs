//! What a process tells its operators: log lines, counters and histograms.

mod log;
mod metric;

pub use log::{LogGuard, LogTarget, LogVolume, init_log};
pub use metric::{MetricBoard, MetricMeasure, MetricScope, ProcessUsage};
