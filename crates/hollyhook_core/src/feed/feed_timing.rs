use std::time::Duration;

/// How long a host waits at another one for changes before it is answered that there are none.
const PEER_WAIT: Duration = Duration::from_millis(600);
/// How long a relay waits at a leader.
const RELAY_WAIT: Duration = Duration::from_millis(300);
/// How much longer an answer may take: hosts of a zone are a millisecond apart, with an eighth of a core each.
const PEER_SLACK: Duration = Duration::from_millis(250);
/// How long a host that starts waits for another one to read the store, which starts at the same moment after a loss of all.
const LIST_WAIT: Duration = Duration::from_millis(1_500);
/// What a list of ten thousand endpoints takes on the link of a small host, and to be read with an eighth of a core.
const LIST_TRANSFER: Duration = Duration::from_secs(2);
/// What reading the store, and sending what was just placed, take after the last host that was asked was silent: a list of
/// 326 endpoints comes within 0.05 s, and a request may wait for its connection for 0.25 s.
const READ_AND_SEND: Duration = Duration::from_millis(300);
/// How long a leader gathers changes after it has read some, so that many come with one call.
const LEADER_GATHER: Duration = Duration::from_millis(350);
/// What a call to the store may take beyond its wait, at a store that is well; it states 4 ms.
const CALL_MARGIN: Duration = Duration::from_millis(200);
/// The least age at which what a leader knows is not relied on. Below it there would be no time to wait for changes.
const LEAST_AGE: Duration = Duration::from_millis(1_250);
/// The most of that age. What is passed on twice is up to 1.2 s older, and keys are honoured for 3.75 s without word of
/// them where they may outlive their end by 5 s.
const MOST_AGE: Duration = Duration::from_millis(1_750);

/// How long hosts wait for each other and for the store, and how old what they are told may be.
///
/// All follows from the time within which a host has to act on what the store acknowledged. A leader may lose the store just
/// before a change. Whoever asks it hears so at most [`peer_wait`](Self::peer_wait) after what it knows became too old; asks
/// a second one, which may be silent; and then reads the store itself, all within that time.
///
/// ```
/// use hollyhook_core::FeedTiming;
/// use std::time::Duration;
///
/// let timing = FeedTiming::new(Duration::from_secs(4));
/// assert_eq!(timing.leader_wait(), Duration::from_millis(1_200));
/// assert!(timing.is_stale(Duration::from_secs(2), 0));
/// assert!(!timing.is_stale(Duration::from_secs(2), 1), "a relay knows it later than a leader");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTiming {
    most_age: Duration,
}

impl FeedTiming {
    /// The timing where changes have to be acted on within `bound` of their acknowledgement.
    pub fn new(bound: Duration) -> Self {
        let reaction = PEER_WAIT + PEER_WAIT + PEER_SLACK + READ_AND_SEND;
        Self { most_age: bound.saturating_sub(reaction).clamp(LEAST_AGE, MOST_AGE) }
    }

    /// How long a watch waits at a host that reads the store for others.
    ///
    /// As long as what it knows does not become too old by it, with the pause for gathering before it.
    pub fn leader_wait(&self) -> Duration {
        self.most_age.saturating_sub(LEADER_GATHER + CALL_MARGIN)
    }

    /// How long such a host gathers changes.
    pub fn leader_batch_delay(&self) -> Duration {
        LEADER_GATHER
    }

    /// How long a host waits at another one for changes.
    pub fn peer_wait(&self) -> Duration {
        PEER_WAIT
    }

    /// The same for a relay: what it knows ages meanwhile for all who ask it, and few relays ask one leader.
    pub fn relay_wait(&self) -> Duration {
        RELAY_WAIT
    }

    /// How long another host's answer may take that waits so long for changes.
    pub fn peer_timeout(&self, wait: Duration) -> Duration {
        wait + PEER_SLACK
    }

    /// How long a host waits at another one that has yet to hear of the objects of which it wants all.
    pub fn list_wait(&self) -> Duration {
        LIST_WAIT
    }

    /// How long an answer with all objects may take.
    pub fn list_timeout(&self) -> Duration {
        LIST_WAIT + LIST_TRANSFER
    }

    /// Whether what another host knows is too old to rely on, after `hops` hosts told it on to that one.
    ///
    /// Each of them may have waited for changes meanwhile.
    pub fn is_stale(&self, age: Duration, hops: u32) -> bool {
        age > self.most_age.saturating_add((PEER_WAIT + PEER_SLACK).saturating_mul(hops))
    }
}

/// How old what a host knows may be that is asked because the store gives no answer. It reads the store for itself, and
/// hears of endpoints every three seconds at the latest; whoever asks it would know nothing newer.
const MOST_HELP_AGE: Duration = Duration::from_millis(3_500);

/// Whether what a host knows is too old to help one that the store does not answer.
pub fn is_helper_stale(age: Duration) -> bool {
    age > MOST_HELP_AGE
}
