use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};
use hdrhistogram::Histogram;
use hollyhook_core::{Error, ErrorKind, Name, Result};
use hollyhook_wire::{CounterRow, HistogramRow};

/// The duration that a histogram measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MetricMeasure {
    /// From the arrival of a request to its first token.
    FirstToken,
    /// Between two successive tokens of a stream, if no attempt was lost between them.
    BetweenTokens,
    /// The longest time between two successive events of one stream.
    LongestGap,
    /// From the last token before an attempt was lost to the first token after the stream resumed. If a caller resumes
    /// a stream at a gateway with a cursor, from the arrival of that request.
    ResumeLatency,
    /// From the arrival of a request to its acceptance by an endpoint.
    QueueWait,
    /// From the arrival of a request to its refusal by the queue of its service.
    RefusedWait,
    /// From the arrival of a plain call to its answer.
    PlainCall,
}

impl MetricMeasure {
    /// Returns the measure's name in metrics and reports.
    pub const fn label(self) -> &'static str {
        match self {
            Self::FirstToken => "first_token",
            Self::BetweenTokens => "between_tokens",
            Self::LongestGap => "longest_gap",
            Self::ResumeLatency => "resume_latency",
            Self::QueueWait => "queue_wait",
            Self::RefusedWait => "refused_wait",
            Self::PlainCall => "plain_call",
        }
    }
}

/// The kind of name that a histogram is kept for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MetricScope {
    /// A client account.
    Account,
    /// A class of requests: the request class of a service, or in a gateway the route.
    Class,
    /// A cause, such as the reason why an attempt was lost.
    Cause,
}

impl MetricScope {
    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Account => "account",
            Self::Class => "class",
            Self::Cause => "cause",
        }
    }

    /// Maximum number of names with a histogram of their own, for each measure. It leaves room for the 1,200 accounts
    /// expected within two years, and for the few dozen classes in use.
    const fn max_names(self) -> usize {
        match self {
            Self::Account => 1_500,
            Self::Class => 64,
            Self::Cause => 16,
        }
    }

    /// Significant decimal digits that a histogram keeps. A histogram with one digit takes about 2 KB, one with three
    /// digits about 40 KB; accounts are many, so their histograms keep only one.
    const fn significant_digits(self) -> u8 {
        match self {
            Self::Account => 1,
            Self::Class | Self::Cause => 3,
        }
    }
}

/// Name of the histogram that all further names of a scope share once the scope has its maximum number of names.
const OVERFLOW_NAME: &str = "others";

/// The longest duration that a histogram records, in microseconds; longer ones are recorded as this value.
const MAX_MICROS: u64 = 600_000_000;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HistogramKey {
    pub(super) measure: MetricMeasure,
    pub(super) scope: MetricScope,
    pub(super) name: Name,
}

/// Records the counters, gauges and latency histograms of a process.
#[derive(Debug, Default)]
pub struct MetricRecorder {
    counters: Mutex<BTreeMap<&'static str, u64>>,
    gauges: Mutex<BTreeMap<&'static str, u64>>,
    histograms: Mutex<BTreeMap<HistogramKey, Histogram<u32>>>,
    statsd: Option<StatsdClient>,
}

impl MetricRecorder {
    /// The name that the service is registered under.
    pub const NAME: &'static str = "metrics";

    /// Creates a recorder that also sends its metrics to a statsd address, tagged with the name of the host.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if no UDP socket can be opened for the address.
    pub fn with_statsd(address: SocketAddr, host: &str) -> Result<Self> {
        let invalid = |error: &dyn std::fmt::Display| {
            Error::new(ErrorKind::InvalidSetting, format!("can't send to statsd at {address}: {error}")).param("statsd")
        };
        let local: SocketAddr = if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
        let socket = UdpSocket::bind(local).map_err(|error| invalid(&error))?;
        socket.set_nonblocking(true).map_err(|error| invalid(&error))?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(|error| invalid(&error))?;
        // The sink sends from its own thread, so that no request waits for the network.
        let sink = QueuingMetricSink::builder().with_capacity(16_384).build(sink);
        let client = StatsdClient::builder("hollyhook", sink).with_tag("host", host).build();
        Ok(Self { statsd: Some(client), ..Self::default() })
    }

    /// Increments a counter by one.
    pub fn count(&self, counter: &'static str) {
        self.count_by(counter, 1);
    }

    /// Increments a counter by `number`.
    pub fn count_by(&self, counter: &'static str, number: u64) {
        *lock(&self.counters).entry(counter).or_default() += number;
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.count(counter, number);
        }
    }

    /// Sets the current value of a gauge, which [`to_text`](Self::to_text) contains.
    pub fn set_gauge(&self, gauge: &'static str, value: u64) {
        lock(&self.gauges).insert(gauge, value);
    }

    /// Returns the values of all gauges.
    pub(super) fn gauges(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.gauges).clone()
    }

    /// Sends the metrics buffered for statsd, which are otherwise sent only when they fill a datagram.
    pub fn flush(&self) {
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.flush();
        }
    }

    /// Returns the value of a counter, 0 if it was never incremented.
    pub fn counter(&self, counter: &str) -> u64 {
        lock(&self.counters).get(counter).copied().unwrap_or_default()
    }

    /// Records durations in the histograms of a client account and of a class.
    pub fn record(&self, measure: MetricMeasure, account: &Name, class: &str, durations: &[Duration]) {
        let mut histograms = lock(&self.histograms);
        add(&mut histograms, measure, MetricScope::Account, Name::clone(account), durations);
        add(&mut histograms, measure, MetricScope::Class, class.into(), durations);
        drop(histograms);
        if let Some(statsd) = &self.statsd {
            for duration in durations {
                let _dropped = statsd.time_with_tags(measure.label(), *duration).with_tag("class", class).try_send();
            }
        }
    }

    /// Records a duration in the histogram of its cause.
    pub fn record_cause(&self, measure: MetricMeasure, cause: &'static str, duration: Duration) {
        add(&mut lock(&self.histograms), measure, MetricScope::Cause, cause.into(), &[duration]);
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.time_with_tags(measure.label(), duration).with_tag("cause", cause).try_send();
        }
    }

    pub(super) fn visit_histograms(&self, mut visit: impl FnMut(&HistogramKey, &Histogram<u32>)) {
        lock(&self.histograms).iter().for_each(|(key, histogram)| visit(key, histogram));
    }

    /// Returns the values of all counters.
    pub fn counter_rows(&self) -> Vec<CounterRow> {
        let counters = lock(&self.counters);
        counters.iter().map(|(name, value)| CounterRow { counter: (*name).into(), value: *value }).collect()
    }

    /// Returns the count and the quantiles of each histogram.
    pub fn histogram_rows(&self) -> Vec<HistogramRow> {
        let histograms = lock(&self.histograms);
        histograms
            .iter()
            .map(|(key, histogram)| HistogramRow {
                measure: key.measure.label().into(),
                scope: key.scope.label().into(),
                name: Name::clone(&key.name),
                count: histogram.len(),
                p50_us: histogram.value_at_quantile(0.5),
                p95_us: histogram.value_at_quantile(0.95),
                p99_us: histogram.value_at_quantile(0.99),
                max_us: histogram.max(),
            })
            .collect()
    }
}

fn add(
    histograms: &mut BTreeMap<HistogramKey, Histogram<u32>>,
    measure: MetricMeasure,
    scope: MetricScope,
    name: Name,
    durations: &[Duration],
) {
    let key = bounded_key(histograms, HistogramKey { measure, scope, name });
    let digits = key.scope.significant_digits();
    let histogram = histograms.entry(key).or_insert_with(|| new_histogram(digits));
    for duration in durations {
        histogram.saturating_record((duration.as_micros() as u64).max(1));
    }
}

/// Returns the key, or that of the shared overflow histogram if the key is new and its scope is full.
///
/// The limit bounds memory, because names come from outside the process.
fn bounded_key(histograms: &BTreeMap<HistogramKey, Histogram<u32>>, key: HistogramKey) -> HistogramKey {
    let is_in_scope = |other: &&HistogramKey| other.measure == key.measure && other.scope == key.scope;
    if histograms.contains_key(&key) || histograms.keys().filter(is_in_scope).count() < key.scope.max_names() {
        return key;
    }
    HistogramKey { name: OVERFLOW_NAME.into(), ..key }
}

fn new_histogram(digits: u8) -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_MICROS, digits).expect("the histogram's bounds and digits are constant and valid")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
