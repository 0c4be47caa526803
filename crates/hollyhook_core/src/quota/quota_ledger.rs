use std::collections::BTreeMap;

use rand::Rng;

use super::lender_choice::LenderChoice;
use super::service_quota::{RENEWAL_TIME, ServiceQuota};
use super::slot_owners::SlotOwners;
use super::{QuotaLoan, QuotaTotals};
use crate::{HostPosition, HostRecord, Name, TimePoint};

/// A host wants this multiple of the rate that its callers ask for, for the same reasons for which a lender keeps more than it uses.
const WANTED_FACTOR: f64 = 2.0;
/// While requests wait for slots, a host wants this multiple of what it has: it does not know how much it lacks.
const SHORTAGE_FACTOR: f64 = 3.0;
/// What a host lacks at least of a rate before it asks, as a fraction of an equal quota.
const MIN_MISSING: f64 = 0.05;

/// The questions of one round: how much of its quota at a service each of these hosts should lend.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaRound {
    /// The service whose limits are meant.
    pub service: Name,
    /// The hosts to ask, and the fraction of its quota that each should lend in all.
    pub asks: Vec<(HostRecord, f64)>,
}

/// What this host may use of limits that hold for all hosts together, by service.
///
/// Each host has an equal quota. A host that has to hold requests back borrows from others what they don't use; loans end
/// by themselves. A lender does not use what it has lent, so that all hosts together stay within the limits without
/// anything that coordinates them, also where some of them can't reach each other.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    services: BTreeMap<Name, BorrowedQuota>,
}

#[derive(Debug, Default)]
struct BorrowedQuota {
    quota: ServiceQuota,
    choice: LenderChoice,
}

impl QuotaLedger {
    /// Counts a request sent to an endpoint with a rate limit.
    pub fn count_send(&mut self, now: TimePoint, service: &Name) {
        self.entry(service).quota.usage.count_send(now);
    }

    /// Records how many requests are open at the endpoints of a service whose slots are divided.
    pub fn record_open(&mut self, now: TimePoint, service: &Name, open: u32) {
        self.entry(service).quota.usage.record_open(now, open);
    }

    /// Records that a request waits since all slots of this host are in use.
    pub fn record_wait(&mut self, now: TimePoint, service: &Name) {
        self.entry(service).quota.record_wait(now);
    }

    /// Counts a request that is refused since this host's share of the rate limits is used up.
    pub fn count_refusal(&mut self, now: TimePoint, service: &Name) {
        self.entry(service).quota.count_refusal(now);
    }

    /// Whether the service has limits that were used, lent or borrowed.
    pub fn is_known(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// The services with limits that were used, lent or borrowed.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.services.keys()
    }

    /// The fraction of a service's limits that this host may use now; `own` is its place among all hosts.
    pub fn share(&self, now: TimePoint, service: &str, own: HostPosition) -> f64 {
        self.services.get(service).map_or(own.equal_share(), |known| known.quota.share(now, own))
    }

    /// How many of an endpoint's slots this host may use now.
    pub fn slots(&self, now: TimePoint, service: &str, own: HostPosition, endpoint: &str, capacity: u32) -> u32 {
        match self.services.get(service) {
            Some(known) => known.quota.slots(now, own, endpoint, capacity),
            None => own.own_slots(endpoint, capacity),
        }
    }

    /// Whether this host needs more than it has, or has borrowed something that it may have to ask for again.
    pub fn is_borrowing(&self, now: TimePoint) -> bool {
        self.services.values().any(|known| known.quota.is_short(now) || known.quota.has_borrowed(now))
    }

    /// Lends a part of this host's quota, at most the fraction `wanted`; `None` if it has none to spare.
    pub fn lend(
        &mut self,
        now: TimePoint,
        service: &Name,
        borrower: &Name,
        wanted: f64,
        own: HostPosition,
        totals: &QuotaTotals,
    ) -> Option<QuotaLoan> {
        let part = self.entry(service).quota.lend(now, borrower, wanted, own, totals)?;
        Some(QuotaLoan { position: own, part })
    }

    /// Begins a round of questions about a service, if this host lacks something and one is due.
    pub fn begin_round(
        &mut self,
        now: TimePoint,
        service: &Name,
        own: HostPosition,
        totals: &QuotaTotals,
        others: &[HostRecord],
        rng: &mut impl Rng,
    ) -> Option<QuotaRound> {
        let known = self.services.get_mut(service)?;
        let quota = &known.quota;
        if !known.choice.is_due(now) || !(quota.is_short(now) || quota.has_borrowed(now)) {
            return None;
        }
        let (rate, slots) = (missing_rate(now, quota, own, totals), missing_slots(now, quota, own, totals));
        if rate <= 0.0 && slots <= 0.0 {
            return None;
        }
        // Where hosts have few slots, most of them may have none to lend.
        let owners = (rate <= 0.0 && totals.has_few_slots(own)).then(|| SlotOwners::new(own, totals, others));
        let may_lend = |record: &&HostRecord| owners.as_ref().is_none_or(|owners| owners.contains(&record.host));
        let usable: Vec<&HostRecord> = others.iter().filter(may_lend).collect();
        let mut lenders = known.choice.choose(now, &usable, |record| quota.loan_state(now, &record.host), rng);
        let each = match &owners {
            Some(owners) => {
                known.choice.record_partial();
                owners.keep_enough(&mut lenders, slots * totals.slot_count())
            }
            None => rate.max(slots) / (lenders.len().max(1) as f64 * own.equal_share()),
        };
        let ask = |record: HostRecord| {
            let wanted = (known.quota.borrowed_from(now + RENEWAL_TIME, &record.host) + each).min(1.0);
            (record, wanted)
        };
        let asks: Vec<_> = lenders.into_iter().map(ask).collect();
        (!asks.is_empty()).then(|| QuotaRound { service: Name::clone(service), asks })
    }

    /// Records the answer of a host to a question of `asked_at`; `None` if it lent nothing or did not answer.
    pub fn record_answer(&mut self, asked_at: TimePoint, service: &Name, lender: &Name, loan: Option<QuotaLoan>) {
        let known = self.entry(service);
        match loan {
            Some(loan) => known.quota.add_loan(asked_at, lender, loan),
            None => known.choice.skip(asked_at, lender),
        }
    }

    /// Ends a round in which `lent` of the `asked` hosts lent something.
    pub fn end_round(&mut self, now: TimePoint, service: &Name, asked: usize, lent: usize) {
        self.entry(service).choice.record_round(now, asked, lent);
    }

    fn entry(&mut self, service: &Name) -> &mut BorrowedQuota {
        if !self.services.contains_key(service) {
            self.services.insert(Name::clone(service), BorrowedQuota::default());
        }
        self.services.get_mut(service).expect("the service was just inserted")
    }
}

/// The fraction of the rate limits that this host lacks; 0 if that is not worth a question.
fn missing_rate(now: TimePoint, quota: &ServiceQuota, own: HostPosition, totals: &QuotaTotals) -> f64 {
    let wanted = (quota.usage.demand(now, totals) * WANTED_FACTOR).min(1.0);
    let missing = wanted - quota.share(now + RENEWAL_TIME, own);
    if missing < MIN_MISSING * own.equal_share() { 0.0 } else { missing }
}

/// The fraction of the slots that this host lacks.
fn missing_slots(now: TimePoint, quota: &ServiceQuota, own: HostPosition, totals: &QuotaTotals) -> f64 {
    let total = totals.slot_count();
    let mut wanted = f64::from(quota.usage.most_open(now));
    if quota.is_short_of_slots(now) {
        let held = quota.held_slots(now, own, totals);
        wanted = wanted.max(held * SHORTAGE_FACTOR).max(held + 1.0);
    }
    let missing = wanted.min(total) - quota.held_slots(now + RENEWAL_TIME, own, totals);
    if missing > 0.0 { missing / total } else { 0.0 }
}
