use std::time::Duration;

/// Bits of a megabit.
const MEGABIT: f64 = 1e6;

/// What a host has for its requests; 0 where that is not known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HostCapacity {
    /// Speed of the link in each direction, in Mbit/s.
    pub link_mbps: u32,
}

/// What a process has used since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UsageReading {
    /// Bytes received from callers and endpoints.
    pub received: u64,
    /// Bytes sent to them.
    pub sent: u64,
}

impl HostCapacity {
    /// The used fraction of the link, in the direction that is used more, between two readings `span` apart.
    pub(super) fn link_use(self, earlier: UsageReading, later: UsageReading, span: Duration) -> f64 {
        let received = later.received.saturating_sub(earlier.received);
        let sent = later.sent.saturating_sub(earlier.sent);
        let available = f64::from(self.link_mbps) * MEGABIT * span.as_secs_f64();
        if available > 0.0 { received.max(sent) as f64 * 8.0 / available } else { 0.0 }
    }
}
