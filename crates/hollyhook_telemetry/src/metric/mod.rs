//! Counters, and histograms by client account and by class; sent to statsd too, where one is set.

mod metric_board;
mod metric_text;
mod process_usage;

pub use metric_board::{MetricBoard, MetricMeasure, MetricScope};
pub use process_usage::ProcessUsage;
