//! Counters, and latency histograms by client account, class and cause; also sent to statsd if it is configured.

mod metric_recorder;
mod metric_text;
mod process_usage;

pub use metric_recorder::{MetricMeasure, MetricRecorder, MetricScope};
pub use process_usage::ProcessUsage;
