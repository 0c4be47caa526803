use rand::Rng;

use super::EndpointTable;
use crate::{EndpointId, HostRecord, Name, QuotaLoan, QuotaRound, QuotaTotals, TimePoint};

/// Shares of limits that hold for all hosts together: what this host uses, borrows and lends.
impl EndpointTable {
    /// Puts this host's present share of a service's limits in force at its endpoints.
    pub fn apply_quota(&mut self, now: TimePoint, service: &Name) {
        if !self.quotas.is_known(service) {
            return;
        }
        let factor = self.quotas.share(now, service, self.position) * self.position.count.max(1) as f64;
        let applied = self.applied_factors.insert(Name::clone(service), factor).unwrap_or(1.0);
        if applied.total_cmp(&factor).is_ne() {
            for id in self.rings.of_service(service) {
                self.terms.set_factor(now, id, factor);
            }
        }
    }

    /// Puts this host's share in force at an endpoint that has just advertised a limit.
    pub fn apply_share(&mut self, now: TimePoint, id: &EndpointId) {
        let factor = self.get(id).and_then(|record| self.applied_factors.get(&record.service));
        if let Some(factor) = factor.copied() {
            self.terms.set_factor(now, id, factor);
        }
        self.add_lease_owner(id);
        self.apply_lease_mode(id);
    }

    /// Records that a request is held back since this host's share of the limits of a service is used up, and whether it
    /// waits for a slot.
    pub fn record_shortage(&mut self, now: TimePoint, service: &str, awaits_slot: bool) {
        self.apply_lease_modes(service);
        if self.is_leasing(now, service) {
            self.leases.record_wait(now, &service.into());
        } else if awaits_slot {
            self.quotas.record_wait(now, &service.into());
        } else {
            self.quotas.count_refusal(now, &service.into());
        }
    }

    /// Whether this host needs a larger share of limits than it has, or has borrowed some.
    pub fn is_borrowing(&self, now: TimePoint) -> bool {
        self.quotas.is_borrowing(now)
    }

    /// The fraction of a service's limits that this host may use.
    pub fn quota_share(&self, now: TimePoint, service: &str) -> f64 {
        self.quotas.share(now, service, self.position)
    }

    /// Begins a round of questions to other hosts for each service at which this host lacks something.
    pub fn begin_borrowing(&mut self, now: TimePoint, others: &[HostRecord], rng: &mut impl Rng) -> Vec<QuotaRound> {
        let services: Vec<Name> = self.quotas.services().cloned().collect();
        let rounds = services.iter().filter_map(|service| {
            let totals = self.quota_totals(service);
            self.quotas.begin_round(now, service, self.position, &totals, others, rng)
        });
        rounds.collect()
    }

    /// Lends a part of this host's quota at a service, at most the fraction `wanted`; `None` if it has none to spare.
    pub fn lend_quota(&mut self, now: TimePoint, service: &Name, borrower: &Name, wanted: f64) -> Option<QuotaLoan> {
        let totals = self.quota_totals(service);
        let loan = self.quotas.lend(now, service, borrower, wanted, self.position, &totals)?;
        // Before the borrower can use it.
        self.apply_quota(now, service);
        Some(loan)
    }

    /// Records the answers of hosts to a round of questions; those that lent nothing have no loan.
    pub fn record_loans(
        &mut self,
        now: TimePoint,
        asked_at: TimePoint,
        service: &Name,
        answers: &[(Name, Option<QuotaLoan>)],
    ) {
        for (lender, loan) in answers {
            self.quotas.record_answer(asked_at, service, lender, *loan);
        }
        let lent = answers.iter().filter(|(_, loan)| loan.is_some()).count();
        self.quotas.end_round(now, service, answers.len(), lent);
        self.apply_quota(now, service);
    }

    /// Counts what a request uses of limits that hold for all hosts together.
    pub(super) fn record_usage(&mut self, now: TimePoint, id: &str, service: &Name) {
        let (has_rate, is_brittle) = (self.terms.rate_limit(id).is_some(), self.terms.is_brittle(id));
        if has_rate && self.is_rate_leased(id) {
            self.leases.count_send(now, service);
        } else if has_rate {
            self.quotas.count_send(now, service);
        }
        if is_brittle && self.are_slots_leased(service) {
            let open = self.of_service(service).map(|record| record.open).sum();
            self.leases.record_open(now, service, open);
        } else if is_brittle {
            let brittle = self.of_service(service).filter(|record| self.terms.is_brittle(&record.id));
            let open = brittle.map(|record| record.open).sum();
            self.quotas.record_open(now, service, open);
        }
    }

    /// The limits of a service's endpoints that hold for all hosts together.
    fn quota_totals(&self, service: &str) -> QuotaTotals {
        let mut totals = QuotaTotals::default();
        for record in self.of_service(service) {
            totals.rate += self.terms.rate_limit(&record.id).unwrap_or_default();
            if self.terms.is_brittle(&record.id) {
                totals.slots.push((EndpointId::clone(&record.id), record.load.capacity));
            }
        }
        totals
    }
}
