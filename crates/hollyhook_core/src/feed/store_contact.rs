use std::time::Duration;

use super::StoreLatency;
use crate::{EndpointMembership, TimePoint};

/// Time that a watch may take beyond the requested wait, at a store that has not answered more slowly so far.
const WATCH_SLACK: Duration = Duration::from_millis(800);
/// Time to read all objects again after a call timed out. Larger sites read several pages.
const READ_MARGIN: Duration = Duration::from_millis(250);
/// Time between the removal of entries that are still missing and the moment from which the host counts as in contact
/// again: a request whose endpoint was chosen just before the removal may wait for its connection for 0.25 s, and the
/// list may arrive [`READ_MARGIN`] later.
const SEND_MARGIN: Duration = Duration::from_millis(500);
/// How long a watch waits while the store is unavailable: any answer shows its return, and is needed at once.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// Minimum time between the starts of two calls while the store is unavailable.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between the starts of two calls while the store is unavailable, at a host that asks other hosts first,
/// as a fraction of the contact bound. After two requests to other hosts, of 0.6 s each, and a call of 1.5 s, the host
/// still reads the store itself within the bound if the other hosts can't answer.
const FOLLOWER_RETRY_FRACTION: f64 = 0.25;
/// Timeouts of calls other than watches, used in turn according to the number of failed calls in a row. While the store
/// is unavailable, short timeouts detect its return sooner: the grace period of lapsed entries counts from the last
/// failed call, so that 1.5 s for each call would leave the entries 1 s to be registered again, where up to 2 s are
/// needed. Every third call waits longer, for a store that answers slowly.
const CALL_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(1_500), Duration::from_millis(700), Duration::from_millis(700)];

/// Whether the platform's store answers this host, and how long its next call may take.
///
/// A host that was cut off counts as in contact again one contact bound after its path to the store was restored, and
/// by then must have acted on everything that the store acknowledged meanwhile. The host can't know when the path was
/// restored; it knows when the last answer arrived, and when the last failed call began. All times here therefore count
/// from these two: a host that counted from when it noticed the return would send requests to endpoints that left
/// longer ago than the bound.
///
/// ```
/// use hollyhook_core::{StoreContact, TimePoint};
/// use std::time::Duration;
///
/// let bound = Duration::from_secs(3);
/// let mut contact = StoreContact::default();
/// contact.note_peer_answer(TimePoint::from_millis(1_000));
/// contact.note_failure(TimePoint::from_millis(1_000));
/// // The contact may have been lost at 1 s, so the host counts as in contact again at 4 s. The grace period of 2.25 s
/// // therefore starts early enough to end 0.5 s before that.
/// let grace_start = contact.note_answer(TimePoint::from_millis(2_000), bound);
/// assert_eq!(grace_start, Some(TimePoint::from_millis(1_250)));
/// assert!(!contact.is_unavailable());
/// ```
#[derive(Debug, Default)]
pub struct StoreContact {
    /// Earliest time at which the host may have lost contact with the store, as far as the last failed call shows;
    /// `None` if the last call was answered.
    lost_at: Option<TimePoint>,
    /// When the last failed call began.
    failed_at: TimePoint,
    /// Failed calls in a row.
    failures: usize,
    /// When the last answer arrived, from the store or from a host that reads it for others.
    answered_at: TimePoint,
    latency: StoreLatency,
}

impl StoreContact {
    /// Updates how long the store takes to answer, which all calls of this host observe.
    pub fn set_latency(&mut self, latency: StoreLatency) {
        self.latency = latency;
    }

    /// Whether the last call failed.
    pub fn is_unavailable(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Records an answer of a host that reads the store for others; it is as recent as an answer of the store.
    pub fn note_peer_answer(&mut self, now: TimePoint) {
        self.answered_at = now;
        self.lost_at = None;
        self.failures = 0;
    }

    /// Records that a call which began at `began` got no answer, or one that reports that nothing was done.
    ///
    /// The first failed call in a row used a connection that may have been dead since the last answer; later calls open
    /// their own.
    pub fn note_failure(&mut self, began: TimePoint) {
        self.lost_at = Some(if self.is_unavailable() { began } else { began.min(self.answered_at) });
        self.failed_at = began;
        self.failures += 1;
    }

    /// Records an answer of the store; after a failed call, returns when the grace period of lapsed entries starts.
    ///
    /// The period starts now, unless the last failed call began so long ago that the host would count as in contact
    /// before the period ends; it then starts earlier.
    pub fn note_answer(&mut self, now: TimePoint, contact_bound: Duration) -> Option<TimePoint> {
        let lost_at = self.lost_at;
        self.note_peer_answer(now);
        let latest = lost_at? + contact_bound - (EndpointMembership::RECOVERY_GRACE + SEND_MARGIN);
        Some(now.min(latest))
    }

    /// Records an answer which shows that the store was restored from an older copy of itself; returns when the grace
    /// period of the entries missing there starts.
    ///
    /// The store may have been unavailable only for a moment after the last answer, so that no call failed.
    pub fn note_restore(&mut self, now: TimePoint, contact_bound: Duration) -> TimePoint {
        self.lost_at = self.lost_at.or(Some(self.answered_at));
        self.note_answer(now, contact_bound).unwrap_or(now)
    }

    /// How long the next watch waits: `usual`, or less if a dead connection would be detected too late, or while the
    /// store is unavailable. The wait is shorter the longer the store takes to answer.
    ///
    /// The connection may have died as soon as the last answer arrived, also while changes were batched (up to 0.8 s)
    /// or other hosts were asked (up to 1.7 s).
    pub fn watch_wait(&self, now: TimePoint, usual: Duration, contact_bound: Duration) -> Duration {
        if self.is_unavailable() {
            return PROBE_WAIT;
        }
        let slack = self.watch_slack(contact_bound);
        let limit = contact_bound.saturating_sub(slack + READ_MARGIN).saturating_sub(now.since(self.answered_at));
        usual.min(limit).max(PROBE_WAIT)
    }

    /// How long watches may wait if each of them has to confirm what is known within `bound` of the confirmation before.
    ///
    /// What a watch confirms is as old as its answer took, and the next one arrives a wait and another answer later.
    pub fn confirming_wait(&self, bound: Duration) -> Duration {
        bound.saturating_sub(self.latency.limit(Duration::ZERO) * 2 + READ_MARGIN).max(PROBE_WAIT)
    }

    /// Time that a watch may take beyond its wait, so that a dead connection is detected within the bound on the contact.
    fn watch_slack(&self, contact_bound: Duration) -> Duration {
        let longest = contact_bound.saturating_sub(READ_MARGIN + PROBE_WAIT).max(WATCH_SLACK);
        self.latency.limit(WATCH_SLACK).min(longest)
    }

    /// Timeout of a watch that waits for `wait`.
    pub fn watch_timeout(&self, wait: Duration, contact_bound: Duration) -> Duration {
        wait + if self.is_unavailable() { self.call_timeout() } else { self.watch_slack(contact_bound) }
    }

    /// Timeout of the next call that is not a watch.
    ///
    /// After a failed call it does not follow the store's latency, so that the return of a silent store is detected as
    /// soon; a call whose timeout has passed may still be answered while the next one is under way.
    pub fn call_timeout(&self) -> Duration {
        let timeout = CALL_TIMEOUTS[self.failures % CALL_TIMEOUTS.len()];
        if self.is_unavailable() { timeout } else { self.latency.limit(timeout) }
    }

    /// The delay before the next call, after a failed one.
    pub fn retry_delay(&self, now: TimePoint) -> Duration {
        (self.failed_at + RETRY_INTERVAL).since(now)
    }

    /// The delay before the next call at a host that asks other hosts first and learns of the store's return from them.
    ///
    /// It is longer than [`retry_delay`](Self::retry_delay), because in an outage hundreds of hosts would otherwise
    /// each call the store four times a second for each kind of object, as the store tries to come back.
    pub fn follower_retry_delay(&self, now: TimePoint, contact_bound: Duration) -> Duration {
        (self.failed_at + contact_bound.mul_f64(FOLLOWER_RETRY_FRACTION)).since(now)
    }
}
