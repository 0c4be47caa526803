use std::time::Duration;

use crate::time::SmoothedDuration;

/// Deviations beyond the mean for which a call waits (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// How long the store takes to answer, estimated from the answers that this host has seen.
///
/// The time limits of calls follow it. With fixed limits, a store whose answers come a little later than they allow would
/// be taken for lost at every call.
///
/// ```
/// use hollyhook_core::StoreLatency;
/// use std::time::Duration;
///
/// let usual = Duration::from_millis(800);
/// let mut latency = StoreLatency::default();
/// latency.observe(Duration::from_millis(4));
/// assert_eq!(latency.limit(usual), usual);
/// latency.observe(Duration::from_millis(1_400));
/// assert!(latency.limit(usual) > Duration::from_millis(1_400));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreLatency {
    answers: SmoothedDuration,
}

impl StoreLatency {
    /// Longest time for which a call waits: later answers say little of what holds at that time.
    pub const MAX_LIMIT: Duration = Duration::from_millis(3_500);

    /// Records how long an answer took, beyond the time for which the call asked the store to wait.
    pub fn observe(&mut self, latency: Duration) {
        self.answers.observe(latency);
    }

    /// How long a call waits for its answer that waits for `usual` at a fast store.
    pub fn limit(&self, usual: Duration) -> Duration {
        if !self.answers.has_sample() {
            return usual;
        }
        self.answers.timeout(DEVIATIONS, usual, Self::MAX_LIMIT.max(usual))
    }
}
