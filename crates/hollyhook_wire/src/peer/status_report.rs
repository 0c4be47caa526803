use hollyhook_core::{EndpointState, Name};
use serde::{Deserialize, Serialize};

use super::HostReport;

/// What a daemon shows an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The host.
    pub host: HostReport,
    /// Seconds since the daemon started.
    pub uptime_secs: u64,
    /// Open connections of callers.
    pub connections: u64,
    /// Processor time spent so far, in milliseconds; 0 where the machine does not say.
    pub cpu_ms: u64,
    /// Resident memory, in bytes; 0 where the machine does not say.
    pub memory_bytes: u64,
    /// The endpoints as this host knows them.
    pub endpoints: Vec<EndpointRow>,
    /// The counters by name.
    pub counters: Vec<CounterRow>,
    /// The histograms.
    pub histograms: Vec<HistogramRow>,
}

/// An endpoint as a host knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// Its name.
    pub endpoint: Name,
    /// Its service.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it gets new work.
    pub state: EndpointState,
    /// Whether it is left out after failures.
    pub is_ejected: bool,
    /// Requests that this host has open there.
    pub open: u32,
    /// Requests a place, as this host expects.
    pub pressure: f64,
}

/// A counter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterRow {
    /// Its name.
    pub counter: Name,
    /// Its value since the start.
    pub value: u64,
}

/// A histogram of times, in microseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramRow {
    /// What was measured.
    pub measure: Name,
    /// Whether it is of a client account or of a class.
    pub scope: Name,
    /// The account's or the class's name.
    pub name: Name,
    /// Samples.
    pub count: u64,
    /// Half of the samples are up to this.
    pub p50_us: u64,
    /// 95 in 100 are.
    pub p95_us: u64,
    /// 99 in 100 are.
    pub p99_us: u64,
    /// The largest.
    pub max_us: u64,
}
