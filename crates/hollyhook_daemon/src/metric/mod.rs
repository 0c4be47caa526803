//! Counters, and histograms by client account and by class; sent to statsd too, where one is set.

mod metric_board;
mod process_usage;

pub use metric_board::{MetricBoard, MetricMeasure, MetricScope};
pub(crate) use process_usage::ProcessUsage;
