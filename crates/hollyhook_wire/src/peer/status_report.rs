use hollyhook_core::{EndpointState, Name};
use serde::{Deserialize, Serialize};

use super::HostReport;

/// A daemon's status for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The daemon's report on its host.
    pub host: HostReport,
    /// The time since the daemon started, in seconds.
    pub uptime_secs: u64,
    /// The number of open connections of callers.
    pub connections: u64,
    /// The processor time used so far, in milliseconds; 0 if the operating system does not report it.
    pub cpu_ms: u64,
    /// The resident memory, in bytes; 0 if the operating system does not report it.
    pub memory_bytes: u64,
    /// The endpoints known to this host.
    pub endpoints: Vec<EndpointRow>,
    /// The counters by name.
    pub counters: Vec<CounterRow>,
    /// The histograms.
    pub histograms: Vec<HistogramRow>,
}

/// A host's view of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// The endpoint's name.
    pub endpoint: Name,
    /// The endpoint's service.
    pub service: Name,
    /// The endpoint's availability zone.
    pub zone: Name,
    /// Whether the endpoint receives new requests.
    pub state: EndpointState,
    /// Whether the endpoint is ejected after failures.
    pub is_ejected: bool,
    /// The number of requests that this host has open at the endpoint.
    pub open: u32,
    /// The expected load in requests per slot.
    pub pressure: f64,
}

/// A counter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterRow {
    /// The counter's name.
    pub counter: Name,
    /// The counter's value since the daemon started.
    pub value: u64,
}

/// A histogram of durations, in microseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramRow {
    /// The duration that was measured.
    pub measure: Name,
    /// What `name` is the name of: `account` (a client account), `class` or `cause`.
    pub scope: Name,
    /// The name of the client account, class or cause that the histogram covers.
    pub name: Name,
    /// The number of samples.
    pub count: u64,
    /// The median.
    pub p50_us: u64,
    /// The 95th percentile.
    pub p95_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The maximum.
    pub max_us: u64,
}
