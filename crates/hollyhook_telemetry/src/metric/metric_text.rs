use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

use super::metric_recorder::HistogramKey;
use super::{MetricMeasure, MetricRecorder, ProcessUsage};

/// Upper bounds of the histogram buckets in the metrics text, in seconds. They suit plain calls as well as generations;
/// longer durations are counted in a last bucket without a bound.
const BUCKET_BOUNDS: [f64; 13] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.7, 1.0, 2.5, 4.5, 25.0];
const MICROS_PER_SECOND: f64 = 1e6;

impl MetricRecorder {
    /// Encodes all counters, gauges and histograms, and the process's memory and processor time, in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// If a metric can't be encoded as text.
    pub fn to_text(&self) -> Result<String, fmt::Error> {
        let mut registry = Registry::with_prefix("hollyhook");
        let snapshot = MetricSnapshot::from(self);
        registry.register_collector(Box::new(snapshot));
        let mut text = String::new();
        encode(&mut text, &registry)?;
        Ok(text)
    }
}

/// Copy of all metrics, taken for one scrape.
#[derive(Debug)]
struct MetricSnapshot {
    counters: Vec<(String, u64)>,
    gauges: BTreeMap<&'static str, u64>,
    histograms: BTreeMap<MetricMeasure, Vec<HistogramSnapshot>>,
    usage: ProcessUsage,
}

#[derive(Debug)]
struct HistogramSnapshot {
    scope: &'static str,
    name: String,
    sum: f64,
    count: u64,
    /// Upper bound of each bucket in seconds, and the number of values in this bucket alone.
    buckets: Vec<(f64, u64)>,
}

impl From<&MetricRecorder> for MetricSnapshot {
    fn from(recorder: &MetricRecorder) -> Self {
        let counters =
            recorder.counter_rows().into_iter().map(|row| (row.counter.replace('.', "_"), row.value)).collect();
        let mut histograms: BTreeMap<MetricMeasure, Vec<HistogramSnapshot>> = BTreeMap::new();
        recorder.visit_histograms(|key, histogram| {
            histograms.entry(key.measure).or_default().push(snapshot_histogram(key, histogram));
        });
        Self { counters, gauges: recorder.gauges(), histograms, usage: ProcessUsage::read() }
    }
}

fn snapshot_histogram(key: &HistogramKey, histogram: &Histogram<u32>) -> HistogramSnapshot {
    let mut buckets = Vec::with_capacity(BUCKET_BOUNDS.len() + 1);
    let mut counted = 0;
    for bound in BUCKET_BOUNDS {
        let cumulative = histogram.count_between(0, (bound * MICROS_PER_SECOND) as u64);
        buckets.push((bound, cumulative - counted));
        counted = cumulative;
    }
    buckets.push((f64::MAX, histogram.len() - counted));
    HistogramSnapshot {
        scope: key.scope.label(),
        name: key.name.to_string(),
        sum: histogram.mean() * histogram.len() as f64 / MICROS_PER_SECOND,
        count: histogram.len(),
        buckets,
    }
}

impl Collector for MetricSnapshot {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        for (name, value) in &self.counters {
            let counter = ConstCounter::new(*value);
            counter.encode(encoder.encode_descriptor(name, "See docs/OPERATIONS.md", None, MetricType::Counter)?)?;
        }
        for (name, value) in &self.gauges {
            let gauge = ConstGauge::new(value.cast_signed());
            gauge.encode(encoder.encode_descriptor(name, "See docs/OPERATIONS.md", None, MetricType::Gauge)?)?;
        }
        for (measure, rows) in &self.histograms {
            let name = format!("{}_seconds", measure.label());
            let mut family = encoder.encode_descriptor(&name, "See docs/OPERATIONS.md", None, MetricType::Histogram)?;
            for row in rows {
                let labels = [(row.scope, row.name.as_str())];
                let mut metric = family.encode_family(&labels)?;
                metric.encode_histogram::<NoLabelSet>(row.sum, row.count, &row.buckets, None)?;
            }
        }
        let memory = ConstGauge::new(self.usage.memory_bytes.cast_signed());
        memory.encode(encoder.encode_descriptor("memory_bytes", "Memory in use", None, MetricType::Gauge)?)?;
        let processor = ConstCounter::new(self.usage.cpu_ms);
        processor.encode(encoder.encode_descriptor("processor_ms", "Processor time", None, MetricType::Counter)?)
    }
}
