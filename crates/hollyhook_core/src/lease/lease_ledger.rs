use std::collections::BTreeMap;
use std::time::Duration;

use super::{LEASE_TIME, LeaseQuestion, LeasedLimit};
use crate::{EndpointId, Name, TimePoint};

/// The fraction of a rate limit that is leased: hosts that do not know of it yet send without a lease.
const LEASED_SHARE: f64 = 0.8;
/// Sends that collect while nobody asks for them, as a span of the rate. A burst of all hosts is no larger.
const BURST_TIME: Duration = Duration::from_millis(500);

/// What this host has leased of the limits that it owns.
#[derive(Debug, Default)]
pub(crate) struct LeaseLedger {
    slots: BTreeMap<EndpointId, BTreeMap<Name, SlotLease>>,
    rates: BTreeMap<EndpointId, SendBucket>,
}

#[derive(Debug)]
struct SlotLease {
    count: u32,
    until: TimePoint,
    number: u64,
}

#[derive(Debug)]
struct SendBucket {
    sends: f64,
    filled_at: TimePoint,
}

impl LeaseLedger {
    /// Forgets the endpoints for which `is_known` returns false.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.slots.retain(|endpoint, _| is_known(endpoint));
        self.rates.retain(|endpoint, _| is_known(endpoint));
    }

    /// Leases what a host asks for, as far as there is some, and returns how much it has of slots, or gets of sends.
    ///
    /// `number` orders the questions of a host. One that arrives after a later one changes nothing: the host may already
    /// use what the later one brought.
    pub(crate) fn answer(&mut self, now: TimePoint, borrower: &Name, number: u64, question: &LeaseQuestion) -> u32 {
        match question.limit {
            LeasedLimit::Slots(capacity) => self.lease_slots(now, borrower, number, question, capacity),
            LeasedLimit::Rate(rate) => self.lease_sends(now, question, rate),
        }
    }

    fn lease_slots(
        &mut self,
        now: TimePoint,
        borrower: &Name,
        number: u64,
        question: &LeaseQuestion,
        capacity: u32,
    ) -> u32 {
        let leases = self.slots.entry(EndpointId::clone(&question.endpoint)).or_default();
        leases.retain(|_, lease| now < lease.until);
        if leases.get(borrower).is_some_and(|lease| lease.number >= number) {
            return 0;
        }
        let others = leases.iter().filter(|(host, _)| *host != borrower).map(|(_, lease)| lease.count);
        let count = question.wanted.min(capacity.saturating_sub(others.sum()));
        if count == 0 && question.wanted > 0 {
            return 0;
        }
        // Also without slots, so that an earlier question that arrives later is recognized.
        leases.insert(Name::clone(borrower), SlotLease { count, until: now + LEASE_TIME, number });
        count
    }

    fn lease_sends(&mut self, now: TimePoint, question: &LeaseQuestion, rate: f64) -> u32 {
        let leased_rate = rate.max(0.0) * LEASED_SHARE;
        let most = (leased_rate * BURST_TIME.as_secs_f64()).max(1.0);
        let fresh = || SendBucket { sends: most, filled_at: now };
        let bucket = self.rates.entry(EndpointId::clone(&question.endpoint)).or_insert_with(fresh);
        let filled = bucket.sends + now.since(bucket.filled_at).as_secs_f64() * leased_rate;
        bucket.filled_at = now;
        let count = question.wanted.min(filled.min(most) as u32);
        bucket.sends = filled.min(most) - f64::from(count);
        count
    }
}
