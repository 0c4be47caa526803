use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollyhook_core::{CapacityGate, GateVerdict, HostCapacity, TimePoint};
use hollyhook_settings::GatewaySettings;

use crate::net::UsageMeter;
use crate::sync::lock;

/// Whether this host reads a new connection, by what its callers use of the link.
#[derive(Debug)]
pub(crate) struct ReadGate {
    meter: Arc<UsageMeter>,
    gate: Mutex<CapacityGate>,
    closed: Mutex<ClosedCount>,
}

/// The connections that were closed unread since the last line in the log.
#[derive(Debug, Default)]
struct ClosedCount {
    count: u64,
    logged_at: TimePoint,
}

/// Minimum time between two lines in the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

impl ReadGate {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "read-gate";

    pub(crate) fn new(settings: &GatewaySettings, meter: Arc<UsageMeter>) -> Self {
        let capacity = HostCapacity { link_mbps: settings.link_mbps };
        Self { meter, gate: Mutex::new(CapacityGate::new(capacity)), closed: Mutex::default() }
    }

    /// Whether to read a connection that was accepted at `now`.
    pub(crate) fn judge(&self, now: TimePoint) -> GateVerdict {
        let mut gate = lock(&self.gate);
        if gate.needs_reading(now) {
            gate.add_reading(now, self.meter.read());
        }
        let verdict = gate.judge(now);
        drop(gate);
        if let GateVerdict::Close { link_use } = verdict {
            self.log_closed(now, link_use);
        }
        verdict
    }

    fn log_closed(&self, now: TimePoint, link_use: f64) {
        let mut closed = lock(&self.closed);
        closed.count += 1;
        if now.since(closed.logged_at) >= LOG_INTERVAL {
            tracing::info!(connections = closed.count, link_use, "callers.closed_unread");
            *closed = ClosedCount { count: 0, logged_at: now };
        }
    }
}
