use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{EndpointId, Name};

/// Maximum number of services in a summary; those with the least demand are left out.
const MAX_SERVICES: usize = 16;
/// Maximum number of priorities of a service in a summary; the demand of further ones is added to that of the last.
const MAX_PRIORITIES: usize = 16;
/// Maximum number of paces in a summary; those that differ most from the usual pace are kept.
const MAX_PACES: usize = 64;
/// Longest name of a service or an endpoint in a summary, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Largest number of requests per second, samples, hosts or milliseconds in a summary.
const MAX_FIGURE: f64 = 1e7;
/// Bound of the paces in a summary: the largest factor of the usual time, and the inverse of the smallest.
const MAX_FACTOR: f64 = 1_000.0;

/// The demand for one service, as measured by one or several hosts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Requests of callers per second, by priority.
    pub rates: BTreeMap<u8, f64>,
    /// Completed calls per second.
    pub completed: f64,
    /// Mean time of a call that did not wait in a queue at its endpoint, in milliseconds; zero without samples.
    pub call_ms: f64,
    /// The number of calls from which `call_ms` was measured.
    pub samples: u32,
    /// Whether a host considers the service overloaded, by rejections and load reports or by the total demand. A host
    /// may also report demand only because another host considers the service overloaded.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_overloaded: bool,
}

impl ServiceDemand {
    /// Requests per second of all priorities.
    pub fn rate(&self) -> f64 {
        self.rates.values().sum()
    }

    /// The usual time of a call that does not wait in a queue; `None` if no host has measured it.
    pub fn call_time(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_secs_f64(self.call_ms / 1e3))
    }

    fn add(&mut self, other: &Self) {
        for (priority, rate) in &other.rates {
            *self.rates.entry(*priority).or_default() += rate;
        }
        self.completed += other.completed;
        self.is_overloaded |= other.is_overloaded;
        let samples = self.samples.saturating_add(other.samples);
        if samples > 0 {
            let sum = self.call_ms * f64::from(self.samples) + other.call_ms * f64::from(other.samples);
            self.call_ms = sum / f64::from(samples);
            self.samples = samples;
        }
    }

    fn limit_priorities(&mut self) {
        while self.rates.len() > MAX_PRIORITIES {
            let Some((_, rate)) = self.rates.pop_last() else {
                return;
            };
            if let Some(mut last) = self.rates.last_entry() {
                *last.get_mut() += rate;
            }
        }
    }

    fn is_valid(&self) -> bool {
        let has_valid_rates = self.rates.len() <= MAX_PRIORITIES && self.rates.values().all(|rate| is_valid(*rate));
        let has_valid_time = self.samples == 0 || self.call_ms > 0.0;
        has_valid_rates && has_valid_time && is_valid(self.completed) && is_valid(self.call_ms)
    }

    /// Rounds the figures, so that messages are short.
    fn round(&mut self) {
        self.rates.values_mut().for_each(|rate| *rate = round(*rate));
        self.completed = round(self.completed);
        self.call_ms = round(self.call_ms).max(if self.samples > 0 { PRECISION } else { 0.0 });
    }
}

/// The pace of an endpoint, as measured by one or several hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(EndpointId, f64, f64)", into = "(EndpointId, f64, f64)")]
pub struct PaceReading {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its pace as a factor of the usual time of its service: 2.0 takes twice as long.
    pub factor: f64,
    /// The weight of the reading relative to those of other hosts.
    pub weight: f64,
}

impl From<(EndpointId, f64, f64)> for PaceReading {
    fn from((endpoint, factor, weight): (EndpointId, f64, f64)) -> Self {
        Self { endpoint, factor, weight }
    }
}

impl From<PaceReading> for (EndpointId, f64, f64) {
    fn from(reading: PaceReading) -> Self {
        (reading.endpoint, reading.factor, reading.weight)
    }
}

impl PaceReading {
    /// How much the pace differs from the usual one; half and twice the usual time differ equally.
    fn deviation(&self) -> f64 {
        self.factor.ln().abs()
    }

    fn is_valid(&self) -> bool {
        let has_valid_factor = (1.0 / MAX_FACTOR..=MAX_FACTOR).contains(&self.factor);
        has_valid_factor && self.weight > 0.0 && is_valid(self.weight) && is_valid_name(&self.endpoint)
    }
}

/// The demand for overloaded services and the paces of endpoints, as measured by one host or by the hosts of a zone
/// together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandSummary {
    /// The number of hosts that the summary covers.
    pub hosts: u32,
    /// The demand by service.
    pub services: BTreeMap<Name, ServiceDemand>,
    /// The paces of the endpoints that differ most from the usual pace.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<PaceReading>,
}

impl DemandSummary {
    /// The sum of the summaries of several hosts, with the weighted mean of their paces.
    ///
    /// ```
    /// use hollyhook_core::{DemandSummary, ServiceDemand};
    ///
    /// let demand = |rate, call_ms, samples| {
    ///     ServiceDemand { rates: [(0, rate)].into(), call_ms, samples, ..ServiceDemand::default() }
    /// };
    /// let host = |demand| DemandSummary { hosts: 1, services: [("desk".into(), demand)].into(), paces: Vec::new() };
    /// let sum = DemandSummary::sum([&host(demand(2.0, 30.0, 30)), &host(demand(5.0, 10.0, 10))]);
    /// let desk = &sum.services["desk"];
    /// assert_eq!((sum.hosts, desk.rate(), desk.call_ms), (2, 7.0, 25.0));
    /// ```
    #[must_use]
    pub fn sum<'s>(summaries: impl IntoIterator<Item = &'s Self> + Clone) -> Self {
        let mut sum =
            Self { paces: merge_paces(summaries.clone().into_iter().flat_map(|it| &it.paces)), ..Self::default() };
        for summary in summaries {
            sum.hosts = sum.hosts.saturating_add(summary.hosts);
            for (service, demand) in &summary.services {
                sum.services.entry(Name::clone(service)).or_default().add(demand);
            }
        }
        sum.bounded()
    }

    /// Bounds the size of the summary and rounds its figures.
    ///
    /// Keeps the services with the most demand and the paces that differ most from the usual one. The demand of the
    /// least urgent priorities is merged if there are too many.
    #[must_use]
    pub fn bounded(mut self) -> Self {
        if self.services.len() > MAX_SERVICES {
            let mut services: Vec<_> = std::mem::take(&mut self.services).into_iter().collect();
            services.sort_by(|(_, a), (_, b)| b.rate().total_cmp(&a.rate()));
            services.truncate(MAX_SERVICES);
            self.services = services.into_iter().collect();
        }
        for demand in self.services.values_mut() {
            demand.limit_priorities();
            demand.round();
        }
        self.paces = merge_paces(&self.paces);
        for reading in &mut self.paces {
            reading.factor = (reading.factor * 1e3).round() / 1e3;
            reading.weight = round(reading.weight).max(PRECISION);
        }
        self
    }

    /// Whether the summary, received from another host, is within its bounds and has only figures that can be used.
    pub fn is_valid(&self) -> bool {
        let has_valid_services = self.services.len() <= MAX_SERVICES
            && self.services.iter().all(|(service, demand)| is_valid_name(service) && demand.is_valid());
        let has_valid_paces = self.paces.len() <= MAX_PACES && self.paces.iter().all(PaceReading::is_valid);
        is_valid(f64::from(self.hosts)) && has_valid_services && has_valid_paces
    }
}

/// The weighted mean pace of each endpoint, for those that differ most from the usual pace.
pub(super) fn merge_paces<'r>(readings: impl IntoIterator<Item = &'r PaceReading>) -> Vec<PaceReading> {
    let mut sums: BTreeMap<&EndpointId, (f64, f64)> = BTreeMap::new();
    for reading in readings.into_iter().filter(|reading| reading.is_valid()) {
        let (sum, weight) = sums.entry(&reading.endpoint).or_default();
        *sum += reading.factor * reading.weight;
        *weight += reading.weight;
    }
    let means = sums.into_iter().map(|(endpoint, (sum, weight))| PaceReading {
        endpoint: EndpointId::clone(endpoint),
        factor: sum / weight,
        weight,
    });
    let mut merged: Vec<PaceReading> = means.collect();
    merged.sort_by(|a, b| b.deviation().total_cmp(&a.deviation()));
    merged.truncate(MAX_PACES);
    merged
}

/// Precision of the figures in a message.
const PRECISION: f64 = 0.01;

fn round(figure: f64) -> f64 {
    // Divides by an integer, so that the result has two decimals in JSON.
    (figure / PRECISION).round() / 100.0
}

fn is_valid(figure: f64) -> bool {
    (0.0..=MAX_FIGURE).contains(&figure)
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}
