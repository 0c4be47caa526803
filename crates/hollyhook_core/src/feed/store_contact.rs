use std::time::Duration;

use crate::{EndpointMembership, TimePoint};

/// What a watch may take beyond the wait that it asks for, at a store that is slow.
const WATCH_SLACK: Duration = Duration::from_millis(800);
/// What reading everything again may take once a call was given up. Larger sites read several pages.
const READ_MARGIN: Duration = Duration::from_millis(250);
/// How long before the host counts as in contact what is still missing is forgotten: a request that was placed just before
/// may wait for a connection to its endpoint for 0.25 s, and the list may come [`READ_MARGIN`] later.
const SEND_MARGIN: Duration = Duration::from_millis(500);
/// How long a watch waits while the store is away: its answer shows that the store is back, and is wanted at once.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// The least time between the starts of two calls while the store is away.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The same at a host that others tell of the store's return, as a part of the contact bound. With the two questions before
/// it, of 0.6 s each, and a call of 1.5 s it still reads the store itself within the bound, if they can't tell.
const TOLD_INTERVAL: f64 = 0.25;
/// How long calls other than watches may take, in turn, by how many before them in a row got no answer.
/// While the store is away short ones find its return sooner: what lapsed meanwhile is kept from the last call that
/// failed, so that 1.5 s for each would leave it 1 s to come back, where up to 2 s are needed. Each third waits longer,
/// for a store that answers, but slowly.
const CALL_LIMITS: [Duration; 3] =
    [Duration::from_millis(1_500), Duration::from_millis(700), Duration::from_millis(700)];

/// Whether the platform's store answers this host, and how long its next call may take.
///
/// A host that was away has to act on all that the store acknowledged meanwhile as soon as it counts as in contact again,
/// a while (`contact`) after its way to the store was whole. It can't know when that was; it knows when the last answer
/// came, and when the last call began that got none. So everything here is counted from these: a host that
/// counted from its own notice would send to endpoints that had left beyond the bound.
///
/// ```
/// use hollyhook_core::{StoreContact, TimePoint};
/// use std::time::Duration;
///
/// let bound = Duration::from_secs(3);
/// let mut contact = StoreContact::default();
/// contact.heard(TimePoint::from_millis(1_000));
/// contact.failed(TimePoint::from_millis(1_000));
/// // A call of one second: what is missing may have lapsed just before its end, or may have left two seconds before it.
/// let back_at = contact.answered(TimePoint::from_millis(2_000), bound);
/// assert_eq!(back_at, Some(TimePoint::from_millis(1_250)));
/// assert!(!contact.is_away());
/// ```
#[derive(Debug, Default)]
pub struct StoreContact {
    /// From when on the host may have been out of contact, by the last call; none if it got an answer.
    lost_at: Option<TimePoint>,
    /// When the last call began that got no answer.
    failed_at: TimePoint,
    /// Calls in a row that got no answer.
    failures: usize,
    /// When the last answer came, from the store or from a host that reads it for others.
    heard_at: TimePoint,
}

impl StoreContact {
    /// Whether the last call got no answer.
    pub fn is_away(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Notes an answer of a host that reads the store for others: what this one knows is as new as if the store had answered.
    pub fn heard(&mut self, now: TimePoint) {
        self.heard_at = now;
        self.lost_at = None;
        self.failures = 0;
    }

    /// Notes that a call got no answer, or one that says that nothing was done.
    ///
    /// The first in a row went over a connection that may have been dead since the last answer; later ones make their own.
    pub fn failed(&mut self, began: TimePoint) {
        self.lost_at = Some(if self.is_away() { began } else { began.min(self.heard_at) });
        self.failed_at = began;
        self.failures += 1;
    }

    /// Notes an answer; tells from when on entries that lapsed have their time to come back, if the store was away.
    ///
    /// That is now, unless the last call without an answer began so long ago that the host would be in contact before
    /// their time is over.
    pub fn answered(&mut self, now: TimePoint, contact: Duration) -> Option<TimePoint> {
        let lost_at = self.lost_at;
        self.heard(now);
        let latest = lost_at? + contact - (EndpointMembership::RECOVERY_GRACE + SEND_MARGIN);
        Some(now.min(latest))
    }

    /// Notes an answer that shows that the store came back from an older copy of itself; tells from when on what is missing
    /// there has its time to come back.
    ///
    /// No call may have failed meanwhile: the store was away for a moment after the last answer.
    pub fn came_back(&mut self, now: TimePoint, contact: Duration) -> TimePoint {
        self.lost_at = self.lost_at.or(Some(self.heard_at));
        self.answered(now, contact).unwrap_or(now)
    }

    /// How long the next watch waits: `usual`, or less where its silence would be noticed too late, or while the store is
    /// away.
    ///
    /// Its connection may have gone silent as soon as the last answer had come, also while changes were gathered (up to
    /// 0.8 s) or other hosts were asked (up to 1.7 s).
    pub fn watch_wait(&self, now: TimePoint, usual: Duration, contact: Duration) -> Duration {
        if self.is_away() {
            return PROBE_WAIT;
        }
        let most = contact.saturating_sub(WATCH_SLACK + READ_MARGIN).saturating_sub(now.since(self.heard_at));
        usual.min(most).max(PROBE_WAIT)
    }

    /// How long a watch with that wait may take.
    pub fn watch_limit(&self, wait: Duration) -> Duration {
        if self.is_away() { wait + self.call_limit() } else { wait + WATCH_SLACK }
    }

    /// How long the next other call may take.
    pub fn call_limit(&self) -> Duration {
        CALL_LIMITS[self.failures % CALL_LIMITS.len()]
    }

    /// The pause until the next call, after one that got no answer.
    pub fn pause(&self, now: TimePoint) -> Duration {
        (self.failed_at + RETRY_INTERVAL).since(now)
    }

    /// The same at a host that asks others first, which are told of the store's return sooner.
    ///
    /// Answers an outage before hundreds of hosts, each of which would ask four times a second for each kind of object, as the
    /// store tries to come back.
    pub fn pause_of_told(&self, now: TimePoint, contact: Duration) -> Duration {
        (self.failed_at + contact.mul_f64(TOLD_INTERVAL)).since(now)
    }
}
