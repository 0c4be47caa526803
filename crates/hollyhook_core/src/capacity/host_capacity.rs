use std::time::Duration;

/// Bits of a megabit.
const MEGABIT: f64 = 1e6;

/// What a host has for its requests; 0 where that is not known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HostCapacity {
    /// Speed of the link in each direction, in Mbit/s.
    pub link_mbps: u32,
    /// Processor cores, or the fraction of one.
    pub processor: f64,
}

/// What a process has used since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UsageReading {
    /// Bytes received from callers and endpoints.
    pub received: u64,
    /// Bytes sent to them.
    pub sent: u64,
    /// The time in which tasks of callers held a thread.
    pub busy: Duration,
}

impl HostCapacity {
    /// The used fraction of the link, in the direction that is used more, between two readings `span` apart.
    pub(super) fn link_use(self, earlier: UsageReading, later: UsageReading, span: Duration) -> f64 {
        let received = later.received.saturating_sub(earlier.received);
        let sent = later.sent.saturating_sub(earlier.sent);
        let available = f64::from(self.link_mbps) * MEGABIT * span.as_secs_f64();
        if available > 0.0 { received.max(sent) as f64 * 8.0 / available } else { 0.0 }
    }

    /// The fraction of the threads' time that tasks of callers held, between two readings `span` apart; a host with a
    /// fraction of a core has one thread.
    pub(super) fn busy_share(self, earlier: UsageReading, later: UsageReading, span: Duration) -> f64 {
        let busy = later.busy.saturating_sub(earlier.busy);
        if self.processor > 0.0 { busy.as_secs_f64() / (span.as_secs_f64() * self.processor.max(1.0)) } else { 0.0 }
    }
}
