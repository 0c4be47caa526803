use std::collections::VecDeque;
use std::time::Duration;

use crate::{EndpointId, HostPosition, TimePoint};

/// Length of the interval whose requests are counted together.
const BUCKET: Duration = Duration::from_millis(250);
/// Buckets over which usage is measured: one second. Long enough to see a few requests per second, and short enough for
/// quotas to follow callers who move to another host.
const BUCKETS: u64 = 4;
/// Buckets over which a lender measures the slots that it uses. A host with few callers has a request open in most seconds,
/// though its slots are idle for nearly all of the time.
const LENDER_BUCKETS: u64 = 2;

/// Slots a host up to which they are counted one by one. Where hosts have more, a share is exact enough, and counting takes
/// time in proportion to endpoints and loans.
const FEW_SLOTS: f64 = 8.0;

/// The limits of a service's endpoints that hold for all hosts together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct QuotaTotals {
    /// Requests per second that all hosts together may send to endpoints with a rate limit.
    pub rate: f64,
    /// The endpoints whose slots are divided among hosts, with the number of slots of each.
    pub slots: Vec<(EndpointId, u32)>,
}

impl QuotaTotals {
    /// The slots of all these endpoints.
    pub(super) fn slot_count(&self) -> f64 {
        self.slots.iter().map(|(_, capacity)| f64::from(*capacity)).sum()
    }

    /// Whether a host has so few slots on average that their number at one host can't be told from its share.
    pub(super) fn has_few_slots(&self, own: HostPosition) -> bool {
        self.slot_count() * own.equal_share() <= FEW_SLOTS
    }
}

/// What this host used of the limits of one service lately.
#[derive(Debug, Default)]
pub(super) struct QuotaUsage {
    buckets: VecDeque<UsageBucket>,
}

#[derive(Debug, Default)]
struct UsageBucket {
    number: u64,
    /// Requests sent to endpoints with a rate limit.
    sends: u32,
    /// Requests refused since this host's share of the rate limits was used up.
    refusals: u32,
    /// The most requests open at a time at endpoints whose slots are divided.
    open: u32,
}

impl QuotaUsage {
    pub(super) fn count_send(&mut self, now: TimePoint) {
        self.current(now).sends += 1;
    }

    pub(super) fn count_refusal(&mut self, now: TimePoint) {
        self.current(now).refusals += 1;
    }

    pub(super) fn record_open(&mut self, now: TimePoint, open: u32) {
        let bucket = self.current(now);
        bucket.open = bucket.open.max(open);
    }

    /// The fraction of the rate limits that this host used.
    pub(super) fn sent(&self, now: TimePoint, totals: &QuotaTotals) -> f64 {
        let sends: u32 = self.recent(now, BUCKETS).map(|bucket| bucket.sends).sum();
        share_of(per_second(sends), totals.rate)
    }

    /// The most requests that were open at a time at endpoints whose slots are divided.
    pub(super) fn most_open(&self, now: TimePoint) -> u32 {
        most_open(self.recent(now, BUCKETS))
    }

    /// The same within [`LENDER_BUCKETS`].
    pub(super) fn lately_open(&self, now: TimePoint) -> u32 {
        most_open(self.recent(now, LENDER_BUCKETS))
    }

    /// The fraction of the rate limits that the requests of this host's callers would have used.
    pub(super) fn demand(&self, now: TimePoint, totals: &QuotaTotals) -> f64 {
        let requests: u32 = self.recent(now, BUCKETS).map(|bucket| bucket.sends + bucket.refusals).sum();
        share_of(per_second(requests), totals.rate)
    }

    fn recent(&self, now: TimePoint, buckets: u64) -> impl Iterator<Item = &UsageBucket> {
        let oldest = number(now).saturating_sub(buckets);
        self.buckets.iter().filter(move |bucket| bucket.number > oldest)
    }

    fn current(&mut self, now: TimePoint) -> &mut UsageBucket {
        let number = number(now);
        while self.buckets.front().is_some_and(|bucket| bucket.number + BUCKETS < number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(UsageBucket { number, ..UsageBucket::default() });
        }
        self.buckets.back_mut().expect("the current bucket was just pushed")
    }
}

fn most_open<'u>(buckets: impl Iterator<Item = &'u UsageBucket>) -> u32 {
    buckets.map(|bucket| bucket.open).max().unwrap_or_default()
}

fn number(now: TimePoint) -> u64 {
    now.as_micros() / BUCKET.as_micros() as u64
}

fn per_second(count: u32) -> f64 {
    f64::from(count) / (BUCKET * BUCKETS as u32).as_secs_f64()
}

fn share_of(used: f64, total: f64) -> f64 {
    if total > 0.0 { used / total } else { 0.0 }
}
