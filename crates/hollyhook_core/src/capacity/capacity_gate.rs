use std::collections::VecDeque;
use std::time::Duration;

use super::UsageReading;
use crate::TimePoint;

/// Bits per second of a megabit per second.
const MEGABIT: f64 = 1e6;
/// Span over which use is measured, short enough that few streams are read before their events show.
const SPAN: Duration = Duration::from_millis(200);
/// Time between two readings.
const READING_INTERVAL: Duration = Duration::from_millis(20);
/// The used fraction of the link above which no connection is read. The rest is for the bursts of what was read, and for
/// messages to other hosts and the store.
const MAX_LINK_USE: f64 = 0.7;
/// A connection is read at least this often, whatever is in use: a host that reads none seems to be down.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// What to do with a new connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GateVerdict {
    /// Read its request.
    Read,
    /// Close it unread, so that its caller goes to another host: this one could not serve it in time.
    Close {
        /// The used fraction of the link.
        link_use: f64,
    },
}

/// Decides whether this host reads a new connection, by what callers use of its link.
///
/// What requests take shows there from the first moment. Delays show it only once it is too late: streams that were read
/// take their time for seconds.
#[derive(Debug)]
pub struct CapacityGate {
    /// Speed of the link in each direction, in Mbit/s; 0 if it is not known.
    link_mbps: u32,
    /// Readings of the last [`SPAN`], and one from before.
    readings: VecDeque<(TimePoint, UsageReading)>,
    read_at: TimePoint,
}

impl CapacityGate {
    /// The gate of a host whose link carries `link_mbps` Mbit/s in each direction; 0 if that is not known.
    pub fn new(link_mbps: u32) -> Self {
        Self { link_mbps, readings: VecDeque::new(), read_at: TimePoint::ZERO }
    }

    /// Whether a reading is needed for the next verdict.
    pub fn needs_reading(&self, now: TimePoint) -> bool {
        self.link_mbps > 0 && self.readings.back().is_none_or(|(at, _)| now.since(*at) >= READING_INTERVAL)
    }

    /// Adds what the process has used until now.
    pub fn add_reading(&mut self, now: TimePoint, reading: UsageReading) {
        while self.readings.get(1).is_some_and(|(at, _)| now.since(*at) >= SPAN) {
            self.readings.pop_front();
        }
        self.readings.push_back((now, reading));
    }

    /// Whether to read a new connection.
    pub fn judge(&mut self, now: TimePoint) -> GateVerdict {
        let link_use = self.link_use();
        if link_use >= MAX_LINK_USE && now.since(self.read_at) < LONGEST_PAUSE {
            return GateVerdict::Close { link_use };
        }
        self.read_at = now;
        GateVerdict::Read
    }

    /// The used fraction of the link, in the direction that is used more.
    fn link_use(&self) -> f64 {
        let (Some((from, earlier)), Some((to, later))) = (self.readings.front(), self.readings.back()) else {
            return 0.0;
        };
        // Bursts of a moment don't count for more than they would within a whole span.
        let span = to.since(*from).max(SPAN);
        let received = later.received.saturating_sub(earlier.received);
        let sent = later.sent.saturating_sub(earlier.sent);
        let available = f64::from(self.link_mbps) * MEGABIT * span.as_secs_f64();
        if available > 0.0 { received.max(sent) as f64 * 8.0 / available } else { 0.0 }
    }
}
