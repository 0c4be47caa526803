use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::{EndpointRecord, EndpointState, EndpointTable};
use crate::lease::{CONTACT_TIME, LeaseCandidate, OwnerPair, SEND_TIME};
use crate::{EndpointId, LeaseQuestion, LeaseRound, LeasedLimit, Name, TimePoint, ZoneName};

/// Slots of a service a host up to which they are leased. With less, hosts have callers for slots that others own most of
/// the time.
const LEASED_SLOTS: f64 = 4.0;
/// Requests per second that a service's rate limits leave to a host, up to which sends are leased. A rate that is divided
/// further is mostly unused when a caller comes.
const LEASED_SENDS: f64 = 32.0;
/// How long a host whose question is late may use its equal share of a rate limit, until it looks again.
const LATE_TIME: Duration = Duration::from_millis(20);
/// Endpoints of a service up to which its limits are leased. So many have something free for each host.
const MAX_LEASED_ENDPOINTS: usize = 256;

/// Leases of limits that hold for all hosts together, where there is too little of them to divide it.
impl EndpointTable {
    /// Sets this host's name and the availability zones of all hosts, from which the owners of limits are chosen.
    pub fn set_hosts(&mut self, now: TimePoint, own: &Name, hosts: BTreeMap<Name, ZoneName>) {
        let records = &self.records;
        self.lease_owners.retain(|id| records.contains_key(id));
        self.leased.retain(|id| records.contains_key(id));
        self.lease_owners.set(now, own, hosts);
    }

    /// Whether the slots of a service's endpoints are leased if they are brittle.
    pub(super) fn are_slots_leased(&self, service: &str) -> bool {
        let most = LEASED_SLOTS * self.position.count as f64;
        let slots_of = |record: &EndpointRecord| f64::from(record.load.capacity.max(1));
        self.lease_owners.is_known() && self.has_few_endpoints(service) && self.is_at_most(service, most, slots_of)
    }

    /// Whether an endpoint gets requests by leases of its slots alone: the owner of its limit answers.
    pub(super) fn is_slot_leased(&self, record: &EndpointRecord) -> bool {
        let owners = self.lease_owners.of(&record.id);
        self.are_slots_leased(&record.service) && owners.is_some_and(|pair| !self.leases.is_silent(&pair.owner))
    }

    /// Whether the slots of an endpoint are divided equally: there are enough, or nobody leases them.
    fn are_slots_divided(&self, now: TimePoint, record: &EndpointRecord) -> bool {
        let is_lost = |pair: &OwnerPair| {
            let has_successor = pair.successor.as_ref().is_some_and(|host| !self.leases.is_silent(host));
            self.leases.is_lost(now, &pair.owner) && !has_successor
        };
        !self.are_slots_leased(&record.service) || self.lease_owners.of(&record.id).is_none_or(is_lost)
    }

    /// Whether the sends to an endpoint with a rate limit are leased, and the owner of its limit answers.
    pub(super) fn is_rate_leased(&self, id: &str) -> bool {
        let (Some(record), Some(rate)) = (self.get(id), self.terms.rate_limit(id)) else {
            return false;
        };
        let most = LEASED_SENDS * self.position.count as f64;
        let rate_of = |record: &EndpointRecord| self.terms.rate_limit(&record.id).unwrap_or(rate);
        self.lease_owners.is_known()
            && self.has_few_endpoints(&record.service)
            && self.is_at_most(&record.service, most, rate_of)
            && self.asked_owner(record).is_some()
    }

    /// Whether an amount of all endpoints of a service is at most `most`.
    fn is_at_most(&self, service: &str, most: f64, amount_of: impl Fn(&EndpointRecord) -> f64) -> bool {
        let mut sum = 0.0;
        self.of_service(service).all(|record| {
            sum += amount_of(record);
            sum <= most
        })
    }

    /// The host that is asked for leases of an endpoint's limit; `None` if neither its owner nor the successor answers.
    fn asked_owner(&self, record: &EndpointRecord) -> Option<&Name> {
        let OwnerPair { owner, successor } = self.lease_owners.of(&record.id)?;
        let answers = |host: &&Name| !self.leases.is_silent(host);
        Some(owner).filter(answers).or_else(|| successor.as_ref().filter(answers))
    }

    /// Whether limits of a service's endpoints are leased.
    pub(super) fn is_leasing(&self, now: TimePoint, service: &str) -> bool {
        self.lease_candidates(now, service).next().is_some()
    }

    /// Whether a request that is held back for a rate limit may wait for a leased send.
    pub fn awaits_lease(&self, now: TimePoint, service: &str) -> bool {
        let candidates: Vec<LeaseCandidate> = self.lease_candidates(now, service).collect();
        self.leases.may_lease_send(now, service, &candidates)
    }

    /// How many of an endpoint's slots this host may use.
    ///
    /// While an owner has not answered for a short time, it may lease them to others, so that only reports of room are left.
    pub(super) fn slots_of(&self, now: TimePoint, record: &EndpointRecord, capacity: u32) -> u32 {
        if self.are_slots_divided(now, record) {
            return self.quotas.slots(now, &record.service, self.position, &record.id, capacity);
        }
        self.leases.slots(now, &record.service, &record.id)
    }

    /// Looks up the owner of the limit that an endpoint has just stated.
    pub(super) fn add_lease_owner(&mut self, id: &EndpointId) {
        if let Some(record) = self.records.get(id) {
            self.lease_owners.add(id, &record.zone);
        }
    }

    /// Puts in force at an endpoint with a rate limit whether its sends are leased.
    pub(super) fn apply_lease_mode(&mut self, id: &str) {
        if self.terms.rate_limit(id).is_some() {
            let is_leased = self.is_rate_leased(id);
            self.terms.set_leased(id, is_leased);
        }
    }

    /// The same at all endpoints of a service: those that have no lease are not chosen, and would never change.
    pub(super) fn apply_lease_modes(&mut self, service: &str) {
        if self.has_few_endpoints(service) {
            let ids: Vec<EndpointId> = self.rings.of_service(service).cloned().collect();
            for id in &ids {
                self.apply_lease_mode(id);
            }
        }
    }

    fn has_few_endpoints(&self, service: &str) -> bool {
        self.rings.of_service(service).nth(MAX_LEASED_ENDPOINTS).is_none()
    }

    /// The endpoints of a service whose limits are leased, once for each limit.
    fn lease_candidates(&self, now: TimePoint, service: &str) -> impl Iterator<Item = LeaseCandidate> {
        let endpoints = self.has_few_endpoints(service).then(|| self.of_service(service));
        let has_limit =
            |record: &&EndpointRecord| self.terms.is_brittle(&record.id) || self.terms.rate_limit(&record.id).is_some();
        let limited = endpoints.into_iter().flatten().filter(has_limit);
        limited.flat_map(move |record| self.candidates_of(now, record))
    }

    fn candidates_of(&self, now: TimePoint, record: &EndpointRecord) -> Vec<LeaseCandidate> {
        let Some(owner) = self.asked_owner(record) else {
            return Vec::new();
        };
        let is_brittle = self.terms.is_brittle(&record.id) && self.are_slots_leased(&record.service);
        let slots = is_brittle.then_some(LeasedLimit::Slots(record.load.capacity.max(1)));
        let rate = self.terms.rate_limit(&record.id).filter(|_| self.is_rate_leased(&record.id));
        let limits = slots.into_iter().chain(rate.map(LeasedLimit::Rate));
        let is_paused = !self.terms.pause_left(now, &record.id).is_zero();
        let is_usable = record.state == EndpointState::Live && !record.is_ejected(now) && !is_paused;
        let candidate = |limit| LeaseCandidate {
            id: EndpointId::clone(&record.id),
            owner: Name::clone(owner),
            limit,
            open: record.open,
            sends_left: self.terms.leased_left(now, &record.id),
            is_usable,
            is_in_own_zone: record.zone == self.zone,
        };
        limits.map(candidate).collect()
    }

    /// Whether this host has leases, needs some, or has to find out whether an owner is lost.
    pub fn is_leasing_due(&self, now: TimePoint) -> bool {
        self.leases.active(now).next().is_some() || self.leases.has_suspects(now)
    }

    /// Begins the questions that are due to the owners of limits; those to this host itself are answered at once.
    pub fn begin_leases(&mut self, now: TimePoint, rng: &mut impl Rng) -> Vec<LeaseRound> {
        let services: Vec<Name> = self.leases.active(now).cloned().collect();
        let mut rounds = Vec::new();
        for service in services {
            for id in self.leases.late_sends(now, &service) {
                self.terms.allow_divided(&id, now + LATE_TIME);
            }
            let candidates: Vec<LeaseCandidate> = self.lease_candidates(now, &service).collect();
            for (owner, questions) in self.leases.questions(now, &service, &candidates, rng) {
                let service = Some(Name::clone(&service));
                let round = LeaseRound { service, owner, number: self.leases.next_round(), asked_at: now, questions };
                if self.lease_owners.is_own(&round.owner) {
                    let answers = self.answer_own(now, &round);
                    self.record_leases(now, &round, Some(&answers));
                    rounds.extend(self.contact_round(now, rng));
                } else {
                    rounds.push(round);
                }
            }
        }
        for owner in self.leases.take_due_probes(now) {
            rounds.push(self.probe_round(now, owner));
        }
        rounds
    }

    /// Leases to this host what it asks of itself.
    ///
    /// An owner that hears of no other host may be cut off from them, and then these use their equal parts.
    fn answer_own(&mut self, now: TimePoint, round: &LeaseRound) -> Vec<u32> {
        let is_alone = now.since(self.lease_contact) > CONTACT_TIME && self.position.count > 1;
        let equal_part = |question: &LeaseQuestion| match question.limit {
            LeasedLimit::Slots(capacity) if is_alone => {
                let own = self.position.own_slots(&question.endpoint, capacity);
                LeaseQuestion { wanted: question.wanted.min(own), ..question.clone() }
            }
            LeasedLimit::Slots(_) | LeasedLimit::Rate(_) => question.clone(),
        };
        let questions: Vec<LeaseQuestion> = round.questions.iter().map(equal_part).collect();
        self.lease(now, &round.owner, round.number, &questions)
    }

    /// A round without questions to another host, by which this one learns that it is not cut off; `None` if it knows.
    fn contact_round(&mut self, now: TimePoint, rng: &mut impl Rng) -> Option<LeaseRound> {
        let is_due = now.since(self.lease_contact.max(self.contact_asked)) > CONTACT_TIME / 4;
        let owner = if is_due { self.lease_owners.any_other(rng)? } else { return None };
        self.contact_asked = now;
        Some(self.probe_round(now, owner))
    }

    /// A round without questions, by which a host is probed.
    fn probe_round(&mut self, now: TimePoint, owner: Name) -> LeaseRound {
        LeaseRound { service: None, owner, number: self.leases.next_round(), asked_at: now, questions: Vec::new() }
    }

    /// Leases to another host what it asks for of limits that this host owns; the answers are in the order of the questions.
    pub fn answer_leases(
        &mut self,
        now: TimePoint,
        borrower: &Name,
        number: u64,
        questions: &[LeaseQuestion],
    ) -> Vec<u32> {
        self.lease_contact = now;
        self.lease(now, borrower, number, questions)
    }

    fn lease(&mut self, now: TimePoint, borrower: &Name, number: u64, questions: &[LeaseQuestion]) -> Vec<u32> {
        let mut answers = Vec::with_capacity(questions.len());
        for question in questions {
            let may_lease = self.may_lease(now, question);
            answers.push(if may_lease { self.leased.answer(now, borrower, number, question) } else { 0 });
        }
        answers
    }

    /// Whether this host leases an endpoint's limit now. It takes an owner's place once it does not reach the owner itself;
    /// with slots, once no lease of the owner is in force.
    fn may_lease(&mut self, now: TimePoint, question: &LeaseQuestion) -> bool {
        let Some(zone) = self.get(&question.endpoint).map(|record| ZoneName::clone(&record.zone)) else {
            return false;
        };
        self.lease_owners.add(&question.endpoint, &zone);
        let pairs: Vec<Option<OwnerPair>> = self.lease_owners.lately(now, &question.endpoint, &zone).collect();
        pairs.into_iter().all(|pair| {
            let Some(OwnerPair { owner, successor }) = pair else {
                return false;
            };
            if self.lease_owners.is_own(&owner) {
                return true;
            }
            if !successor.is_some_and(|host| self.lease_owners.is_own(&host)) {
                return false;
            }
            self.leases.suspect(now, &owner);
            match question.limit {
                LeasedLimit::Slots(_) => self.leases.is_lost(now, &owner),
                LeasedLimit::Rate(_) => self.leases.is_silent(&owner),
            }
        })
    }

    /// Records the answers to a round of questions; `None` if the owner did not answer.
    pub fn record_leases(&mut self, now: TimePoint, round: &LeaseRound, answers: Option<&[u32]>) {
        self.leases.record_contact(now, &round.owner, answers.is_some());
        if answers.is_some() && !self.lease_owners.is_own(&round.owner) {
            self.lease_contact = now;
        }
        let Some(service) = &round.service else {
            return;
        };
        for (place, question) in round.questions.iter().enumerate() {
            let leased = answers.and_then(|answers| answers.get(place).copied());
            // An owner that leased more than it was asked for did not understand the question.
            let leased = leased.map(|leased| leased.min(question.wanted));
            self.leases.record(now, round.asked_at, service, question, leased);
            self.apply_lease_mode(&question.endpoint);
            if let (LeasedLimit::Rate(_), Some(count @ 1..)) = (question.limit, leased) {
                self.terms.add_leased(now, &question.endpoint, count, round.asked_at + SEND_TIME);
            }
        }
    }
}
