use std::time::Duration;

/// How long a host that is asked for changes waits for some before it answers that there are none.
const PEER_WAIT: Duration = Duration::from_millis(600);
/// [`PEER_WAIT`] at a leader that a relay asks.
const RELAY_WAIT: Duration = Duration::from_millis(300);
/// Time that a host's answer may take beyond its wait: hosts of a zone are a millisecond apart, with an eighth of a
/// core each.
const PEER_SLACK: Duration = Duration::from_millis(250);
/// How long a starting host waits for another host to read the store; after a loss of all hosts, both start at the same
/// moment.
const LIST_WAIT: Duration = Duration::from_millis(1_500);
/// Time to send a list of ten thousand endpoints over the link of a small host, and to parse it on an eighth of a core.
const LIST_TRANSFER: Duration = Duration::from_secs(2);
/// Time to read the store, and to send requests whose endpoint was just chosen, after the last source timed out: 326
/// endpoints are listed within 0.05 s, and a request may wait for its connection for 0.25 s.
const READ_AND_SEND: Duration = Duration::from_millis(300);
/// How long a leader that has read changes waits before its next watch, so that one call returns many changes.
const LEADER_BATCH_DELAY: Duration = Duration::from_millis(350);
/// Time that a call to a healthy store may take beyond its wait; the store's stated latency is 4 ms.
const CALL_MARGIN: Duration = Duration::from_millis(200);
/// Lower bound of the age at which a leader's copy is stale. Below it, no time would be left to wait for changes.
const MIN_STALE_AGE: Duration = Duration::from_millis(1_250);
/// Upper bound of that age. A copy that was passed on twice is up to 1.2 s older, and API keys that must be refused
/// within 5 s of their revocation are accepted for 3.75 s without confirmation.
const MAX_STALE_AGE: Duration = Duration::from_millis(1_750);

/// How long hosts wait for each other and for the store, and the maximum age of the copies that they accept.
///
/// All times follow from the bound within which a host must act on a change that the store acknowledged. A leader may
/// lose the store just before a change. A host that asks this leader detects that its copy is stale at most
/// [`peer_wait`](Self::peer_wait) after it became so. The host then asks a second host, which may time out, and reads
/// the store itself, all within the bound.
///
/// ```
/// use hollyhook_core::FeedTiming;
/// use std::time::Duration;
///
/// let timing = FeedTiming::new(Duration::from_secs(4));
/// assert_eq!(timing.leader_wait(), Duration::from_millis(1_200));
/// assert!(timing.is_stale(Duration::from_secs(2), 0));
/// assert!(!timing.is_stale(Duration::from_secs(2), 1), "a relay receives changes later than a leader");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTiming {
    stale_age: Duration,
}

impl FeedTiming {
    /// The timing for hosts that must act on changes within `bound` of their acknowledgement by the store.
    pub fn new(bound: Duration) -> Self {
        let reaction = PEER_WAIT + PEER_WAIT + PEER_SLACK + READ_AND_SEND;
        Self { stale_age: bound.saturating_sub(reaction).clamp(MIN_STALE_AGE, MAX_STALE_AGE) }
    }

    /// How long a leader's watch waits at the store for changes.
    ///
    /// Together with the batch delay before it, the watch ends before the leader's copy is stale.
    pub fn leader_wait(&self) -> Duration {
        self.stale_age.saturating_sub(LEADER_BATCH_DELAY + CALL_MARGIN)
    }

    /// How long a leader that has read changes waits before its next watch, so that one call returns many changes.
    pub fn leader_batch_delay(&self) -> Duration {
        LEADER_BATCH_DELAY
    }

    /// How long a host waits at another host for changes.
    pub fn peer_wait(&self) -> Duration {
        PEER_WAIT
    }

    /// How long a relay waits at a leader for changes.
    ///
    /// Shorter than [`peer_wait`](Self::peer_wait), because the relay's copy ages meanwhile for all its followers; few
    /// relays ask one leader, so that the additional calls cost little.
    pub fn relay_wait(&self) -> Duration {
        RELAY_WAIT
    }

    /// Timeout for the answer of another host that waits up to `wait` for changes.
    pub fn peer_timeout(&self, wait: Duration) -> Duration {
        wait + PEER_SLACK
    }

    /// How long a host that wants all objects waits at another host that has not read them yet.
    pub fn list_wait(&self) -> Duration {
        LIST_WAIT
    }

    /// Timeout for an answer with all objects.
    pub fn list_timeout(&self) -> Duration {
        LIST_WAIT + LIST_TRANSFER
    }

    /// Whether another host's copy of this age is too old to use, after `hops` hosts passed it on to that host.
    ///
    /// The limit allows for the time that each of these hosts may have waited for changes.
    pub fn is_stale(&self, age: Duration, hops: u32) -> bool {
        age > self.stale_age.saturating_add((PEER_WAIT + PEER_SLACK).saturating_mul(hops))
    }
}

/// Maximum age of the copy of a helper, a host that is asked because the store does not answer. A helper reads the
/// store for itself and confirms endpoints every three seconds at the latest; the asking host has no newer copy.
const MAX_HELPER_AGE: Duration = Duration::from_millis(3_500);

/// Whether a helper's copy is too old for a host that the store does not answer.
pub fn is_helper_stale(age: Duration) -> bool {
    age > MAX_HELPER_AGE
}
