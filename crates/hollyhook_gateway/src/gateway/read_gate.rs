use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollyhook_core::{CapacityGate, GateVerdict, TimePoint};
use hollyhook_settings::GatewaySettings;

use crate::net::UsageMeter;
use crate::sync::lock;

/// Minimum time between two lines in the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Whether this host reads a new connection, by what its callers use of the link.
#[derive(Debug)]
pub(crate) struct ReadGate {
    meter: Arc<UsageMeter>,
    state: Mutex<GateState>,
}

#[derive(Debug)]
struct GateState {
    gate: CapacityGate,
    /// The connections that were closed unread since the last line in the log.
    closed: u64,
    logged_at: TimePoint,
}

impl ReadGate {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "read-gate";

    pub(crate) fn new(settings: &GatewaySettings, meter: Arc<UsageMeter>) -> Self {
        let gate = CapacityGate::new(settings.link_mbps);
        Self { meter, state: Mutex::new(GateState { gate, closed: 0, logged_at: TimePoint::ZERO }) }
    }

    /// Whether to read a connection that was accepted at `now`.
    pub(crate) fn judge(&self, now: TimePoint) -> GateVerdict {
        let mut state = lock(&self.state);
        if state.gate.needs_reading(now) {
            state.gate.add_reading(now, self.meter.read());
        }
        let verdict = state.gate.judge(now);
        if let GateVerdict::Close { link_use } = verdict {
            state.log_closed(now, link_use);
        }
        verdict
    }
}

impl GateState {
    fn log_closed(&mut self, now: TimePoint, link_use: f64) {
        self.closed += 1;
        if now.since(self.logged_at) >= LOG_INTERVAL {
            tracing::info!(connections = self.closed, link_use, "callers.closed_unread");
            (self.closed, self.logged_at) = (0, now);
        }
    }
}
