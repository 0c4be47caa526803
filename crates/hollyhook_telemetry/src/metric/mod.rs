//! Counters, and histograms by client account and by class; sent to statsd too, where one is set.

mod metric_recorder;
mod metric_text;
mod process_usage;

pub use metric_recorder::{MetricMeasure, MetricRecorder, MetricScope};
pub use process_usage::ProcessUsage;
