use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};
use hdrhistogram::Histogram;
use hollyhook_core::{Error, ErrorKind, Name, Result};
use hollyhook_wire::{CounterRow, HistogramRow};

/// What the histograms measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MetricMeasure {
    /// From the request to the first token.
    FirstToken,
    /// Between two tokens of a stream without a loss.
    BetweenTokens,
    /// The longest time between two events of a stream.
    LongestGap,
    /// From the last token before a loss to the next.
    ResumeLatency,
    /// From the request to an endpoint's acceptance.
    QueueWait,
    /// From a plain call to its answer.
    PlainCall,
}

impl MetricMeasure {
    /// The measure's name.
    pub const fn label(self) -> &'static str {
        match self {
            Self::FirstToken => "first_token",
            Self::BetweenTokens => "between_tokens",
            Self::LongestGap => "longest_gap",
            Self::ResumeLatency => "resume_latency",
            Self::QueueWait => "queue_wait",
            Self::PlainCall => "plain_call",
        }
    }
}

/// Whose histogram it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MetricScope {
    /// A client account's.
    Account,
    /// A class's.
    Class,
    /// A cause's, such as that of a loss.
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

    /// Names that have a histogram of their own: 1,200 accounts at the two-year size, and a few dozen classes in use.
    const fn most_names(self) -> usize {
        match self {
            Self::Account => 1_500,
            Self::Class => 64,
            Self::Cause => 16,
        }
    }

    /// Accounts are many, so theirs are coarse: one digit takes about 2 KB, three take about 40 KB.
    const fn digits(self) -> u8 {
        match self {
            Self::Account => 1,
            Self::Class | Self::Cause => 3,
        }
    }
}

/// The name under which the rest is counted.
const OTHERS: &str = "others";

/// The longest time that a histogram tells apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HistogramKey {
    pub(super) measure: MetricMeasure,
    pub(super) scope: MetricScope,
    pub(super) name: Name,
}

/// All counters and histograms of a process.
#[derive(Debug, Default)]
pub struct MetricRecorder {
    counters: Mutex<BTreeMap<&'static str, u64>>,
    histograms: Mutex<BTreeMap<HistogramKey, Histogram<u32>>>,
    statsd: Option<StatsdClient>,
}

impl MetricRecorder {
    /// The name that the service is registered under.
    pub const NAME: &'static str = "metrics";

    /// A board that also sends to a statsd address.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if no datagram can be sent there.
    pub fn with_statsd(address: SocketAddr, host: &str) -> Result<Self> {
        let wrong = |error: &dyn std::fmt::Display| {
            Error::new(ErrorKind::InvalidSetting, format!("can't send to statsd at {address}: {error}")).param("statsd")
        };
        let local: SocketAddr = if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
        let socket = UdpSocket::bind(local).map_err(|error| wrong(&error))?;
        socket.set_nonblocking(true).map_err(|error| wrong(&error))?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(|error| wrong(&error))?;
        // Sending happens on the sink's own thread, so that no request waits for it.
        let sink = QueuingMetricSink::builder().with_capacity(16_384).build(sink);
        let client = StatsdClient::builder("hollyhook", sink).with_tag("host", host).build();
        Ok(Self { statsd: Some(client), ..Self::default() })
    }

    /// Adds one to a counter.
    pub fn count(&self, counter: &'static str) {
        self.count_by(counter, 1);
    }

    /// Adds to a counter.
    pub fn count_by(&self, counter: &'static str, number: u64) {
        *lock(&self.counters).entry(counter).or_default() += number;
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.count(counter, number);
        }
    }

    /// Sends what is buffered for statsd, which otherwise waits for a full datagram.
    pub fn flush(&self) {
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.flush();
        }
    }

    /// The value of a counter.
    pub fn counter(&self, counter: &str) -> u64 {
        lock(&self.counters).get(counter).copied().unwrap_or_default()
    }

    /// Records times of one client account and class.
    pub fn record(&self, measure: MetricMeasure, account: &Name, class: &str, spans: &[Duration]) {
        let mut histograms = lock(&self.histograms);
        add(&mut histograms, measure, MetricScope::Account, Name::clone(account), spans);
        add(&mut histograms, measure, MetricScope::Class, class.into(), spans);
        drop(histograms);
        if let Some(statsd) = &self.statsd {
            for span in spans {
                let _dropped = statsd.time_with_tags(measure.label(), *span).with_tag("class", class).try_send();
            }
        }
    }

    /// Records a time that has a cause.
    pub fn record_cause(&self, measure: MetricMeasure, cause: &'static str, span: Duration) {
        add(&mut lock(&self.histograms), measure, MetricScope::Cause, cause.into(), &[span]);
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.time_with_tags(measure.label(), span).with_tag("cause", cause).try_send();
        }
    }

    pub(super) fn visit_histograms(&self, mut visit: impl FnMut(&HistogramKey, &Histogram<u32>)) {
        lock(&self.histograms).iter().for_each(|(key, histogram)| visit(key, histogram));
    }

    /// All counters.
    pub fn counter_rows(&self) -> Vec<CounterRow> {
        let counters = lock(&self.counters);
        counters.iter().map(|(name, value)| CounterRow { counter: (*name).into(), value: *value }).collect()
    }

    /// All histograms.
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
    spans: &[Duration],
) {
    let key = bounded(histograms, HistogramKey { measure, scope, name });
    let digits = key.scope.digits();
    let histogram = histograms.entry(key).or_insert_with(|| new_histogram(digits));
    for span in spans {
        histogram.saturating_record((span.as_micros() as u64).max(1));
    }
}

/// The key itself, or that of all others once there are too many of its scope: names come from outside.
fn bounded(histograms: &BTreeMap<HistogramKey, Histogram<u32>>, key: HistogramKey) -> HistogramKey {
    let of_scope = |other: &&HistogramKey| other.measure == key.measure && other.scope == key.scope;
    if histograms.contains_key(&key) || histograms.keys().filter(of_scope).count() < key.scope.most_names() {
        return key;
    }
    HistogramKey { name: OTHERS.into(), ..key }
}

fn new_histogram(digits: u8) -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_MICROS, digits).expect("the bounds are constant and valid")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
