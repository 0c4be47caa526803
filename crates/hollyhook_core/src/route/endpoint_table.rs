use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use super::name_interner::NameInterner;
use super::registration_index::RegistrationIndex;
use super::rendezvous::rendezvous_weight;
use super::ring_index::RingIndex;
use super::room_report::RoomReport;
use super::version_index::VersionIndex;
use super::zone_failures::ZoneFailures;
use super::{EndpointRecord, EndpointState, HostPosition, LoadReport};
use crate::lease::{LeaseBook, LeaseLedger, LeaseOwners};
use crate::pace::{NetworkTime, ServicePace};
use crate::{
    EndpointGroup, EndpointId, HostRecord, Name, QuotaLedger, QuotaLoan, QuotaRound, QuotaTotals, TermsTable,
    TimePoint, ZoneName,
};

/// Hash key by which hosts choose the entry for crash records.
const CRASH_RECORD_KEY: &[u8] = b"notes";

/// How long after a request had to wait for room this host uses only its own slots of brittle endpoints.
const PRESSED_TIME: Duration = Duration::from_secs(1);
/// How long it then relies on reports of room again, whatever waits: a host may have no slots of its own.
const RELIEF_TIME: Duration = Duration::from_millis(250);

/// Default cost of an endpoint of another zone, in requests per slot.
const ZONE_PREFERENCE: f64 = 0.25;

/// How an endpoint admits a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendAdmission {
    Open,
    /// The endpoint may have no room, and the request uses up a trial.
    Trial,
    Refused,
}

/// The endpoints that this host knows; [`choose`](Self::choose) selects one of them for a request.
#[derive(Debug)]
pub struct EndpointTable {
    pub(super) zone: ZoneName,
    pub(super) zone_preference: f64,
    /// Boxed, since up to half of the slots in the map's tree nodes are unused.
    pub(super) records: BTreeMap<EndpointId, Box<EndpointRecord>>,
    registrations: RegistrationIndex,
    pub(super) rings: RingIndex,
    versions: VersionIndex,
    names: NameInterner,
    pub(super) zone_failures: BTreeMap<ZoneName, ZoneFailures>,
    pub(super) terms: TermsTable,
    pub(super) position: HostPosition,
    /// Whether measured times alone show that the endpoints of a service differ in pace.
    pub(super) has_measured_paces: bool,
    pub(super) service_paces: BTreeMap<Name, ServicePace>,
    pub(super) network_times: BTreeMap<ZoneName, NetworkTime>,
    /// What this host may use of limits that hold for all hosts together.
    pub(super) quotas: QuotaLedger,
    /// The same where hosts are too many to divide them.
    pub(super) leases: LeaseBook,
    /// What this host has leased to others of the limits that it owns.
    pub(super) leased: LeaseLedger,
    pub(super) lease_owners: LeaseOwners,
    /// When another host last asked this one for a lease or answered it, and when this one last probed another for that.
    pub(super) lease_contact: TimePoint,
    pub(super) contact_asked: TimePoint,
    /// The shares of limits that are in force at endpoints, by service, as multiples of equal ones.
    applied_factors: BTreeMap<Name, f64>,
    /// When this host last had a request for which no brittle endpoint of a service had room.
    pressed: BTreeMap<Name, TimePoint>,
}

impl EndpointTable {
    /// An empty table for a host in the given availability zone.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            zone_preference: ZONE_PREFERENCE,
            records: BTreeMap::new(),
            registrations: RegistrationIndex::default(),
            rings: RingIndex::default(),
            versions: VersionIndex::default(),
            names: NameInterner::default(),
            zone_failures: BTreeMap::new(),
            terms: TermsTable::default(),
            position: HostPosition::default(),
            has_measured_paces: true,
            service_paces: BTreeMap::new(),
            network_times: BTreeMap::new(),
            quotas: QuotaLedger::default(),
            leases: LeaseBook::default(),
            leased: LeaseLedger::default(),
            lease_owners: LeaseOwners::default(),
            lease_contact: TimePoint::ZERO,
            contact_asked: TimePoint::ZERO,
            applied_factors: BTreeMap::new(),
            pressed: BTreeMap::new(),
        }
    }

    /// Sets the cost of an endpoint of another zone: by how much the load in the own zone may exceed that of other
    /// zones, in requests per slot.
    #[must_use]
    pub fn zone_preference(mut self, preference: f64) -> Self {
        self.zone_preference = preference;
        self
    }

    /// Sets whether measured times alone show that the endpoints of a service differ in pace; otherwise only paces that
    /// endpoints report do.
    #[must_use]
    pub fn measured_paces(mut self, is_used: bool) -> Self {
        self.has_measured_paces = is_used;
        self
    }

    /// Adds an endpoint or updates its service, state, weights and version, and returns its record.
    ///
    /// Its load and failures are kept if its address is unchanged; otherwise the new record replaces the old one. An
    /// endpoint that announced that it is leaving stays in that state: its entry may predate the announcement, or come
    /// from an older copy that the store was restored from.
    pub fn upsert(&mut self, mut record: EndpointRecord) -> &EndpointRecord {
        let id = EndpointId::clone(&record.id);
        if self.terms.is_leaving(&id) {
            record.state = EndpointState::Leaving;
        }
        for name in [&mut record.service, &mut record.version, &mut record.zone] {
            self.names.intern(name);
        }
        match self.records.get_mut(&id) {
            Some(known) if known.address == record.address => {
                self.versions.remove(known);
                if known.service != record.service {
                    self.rings.remove(known);
                    known.service = record.service;
                    self.rings.add(known);
                }
                known.state = record.state;
                known.binding = record.binding;
                known.version = record.version;
                self.versions.add(known);
            }
            _ => {
                self.remove(&id);
                self.registrations.add(&record);
                self.rings.add(&record);
                self.versions.add(&record);
                self.records.insert(EndpointId::clone(&id), Box::new(record));
            }
        }
        &self.records[&id]
    }

    /// Records that an endpoint announced that it is leaving, and returns whether it was live until now.
    pub fn mark_leaving(&mut self, now: TimePoint, id: &EndpointId) -> bool {
        self.terms.mark_leaving(now, id);
        let Some(record) = self.records.get_mut(id).filter(|record| record.state == EndpointState::Live) else {
            return false;
        };
        record.state = EndpointState::Leaving;
        true
    }

    /// The endpoints that a registration proves to be gone: earlier registrations of its address, and earlier
    /// incarnations of its entry.
    ///
    /// Their entries expire only seconds later; until then, the endpoint that now listens at their address would answer
    /// in their place.
    pub fn displaced_by(&self, record: &EndpointRecord) -> Vec<EndpointId> {
        let earlier = self.same_entry_or_address(record).filter(|known| record.supersedes(known));
        earlier.map(|known| EndpointId::clone(&known.id)).collect()
    }

    /// Whether a later registration of the same entry or address has replaced this one.
    ///
    /// Registrations for a service for which `is_known` returns false don't count.
    pub fn is_displaced(&self, record: &EndpointRecord, is_known: impl Fn(&str) -> bool) -> bool {
        self.same_entry_or_address(record).any(|known| known.supersedes(record) && is_known(&known.service))
    }

    /// The endpoints with the entry name or the address of a registration.
    fn same_entry_or_address(&self, record: &EndpointRecord) -> impl Iterator<Item = &EndpointRecord> {
        self.registrations.same_entry_or_address(record).into_iter().filter_map(|id| self.get(id))
    }

    /// The endpoints that registered under an entry name.
    pub fn registered_as(&self, entry: &str) -> Vec<EndpointId> {
        self.registrations.registered_as(entry).map(EndpointId::clone).collect()
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) {
        if let Some(record) = self.records.remove(id) {
            self.remove_from_indexes(&record);
        }
    }

    /// Removes every endpoint for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        let gone: Vec<_> = self.records.extract_if(.., |id, _| !is_known(id)).collect();
        for (_, record) in &gone {
            self.remove_from_indexes(record);
        }
    }

    fn remove_from_indexes(&mut self, record: &EndpointRecord) {
        self.registrations.remove(record);
        self.rings.remove(record);
        self.versions.remove(record);
    }

    /// The software versions of a service whose endpoints may have begun streams that are still running.
    pub fn recent_versions(&mut self, now: TimePoint, service: &str) -> BTreeSet<Name> {
        self.versions.recent(now, service)
    }

    /// The record of an endpoint.
    pub fn get(&self, id: &str) -> Option<&EndpointRecord> {
        self.records.get(id).map(|record| &**record)
    }

    /// A copy of an endpoint's record in which `sent_recently` is up to date.
    pub fn as_of(&self, now: TimePoint, id: &str) -> Option<EndpointRecord> {
        self.records.get(id).map(|record| record.as_of(now))
    }

    /// The record of an endpoint, for updates.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut EndpointRecord> {
        self.records.get_mut(id).map(|record| &mut **record)
    }

    /// The terms on which endpoints accept requests, for updates.
    pub fn terms_mut(&mut self) -> &mut TermsTable {
        &mut self.terms
    }

    /// The registration entry in which hosts share crash records: the entry of one live endpoint, the same at all hosts
    /// that know the same live endpoints.
    pub fn crash_record_entry(&self) -> Option<Name> {
        let live = self.iter().filter(|record| record.state == EndpointState::Live);
        let entry = live.map(|record| &record.entry).max_by_key(|entry| rendezvous_weight(CRASH_RECORD_KEY, entry));
        entry.cloned()
    }

    /// The number of endpoints in a group.
    pub fn group_size(&self, group: &EndpointGroup) -> usize {
        self.rings.group_size(group)
    }

    /// A live endpoint of a group other than `id`, a different one for each endpoint; `None` if there is none.
    pub fn next_in_group(&self, group: &EndpointGroup, id: &EndpointId) -> Option<&EndpointRecord> {
        let mut others = self.rings.after_endpoint(group, id).filter_map(|id| self.get(id));
        others.find(|record| record.state == EndpointState::Live)
    }

    /// Up to `limit` live endpoints other than `id` by which a path to its group can be tested: of its group or, if it has
    /// no other, of its service; first those that have not just failed.
    pub fn siblings(
        &self,
        now: TimePoint,
        group: &EndpointGroup,
        id: &EndpointId,
        limit: usize,
    ) -> Vec<&EndpointRecord> {
        let is_usable = |record: &&EndpointRecord| record.state == EndpointState::Live && record.id != *id;
        let in_group = self.rings.after_endpoint(group, id).filter_map(|id| self.get(id));
        let mut siblings: Vec<&EndpointRecord> = in_group.filter(is_usable).collect();
        if siblings.is_empty() {
            siblings = self.of_service(&group.service).filter(is_usable).collect();
        }
        siblings.sort_by_key(|record| record.is_ejected(now));
        siblings.truncate(limit);
        siblings
    }

    /// The `n`th endpoint of a group, counted round and round; `None` if there is none.
    pub fn nth_in_group(&self, group: &EndpointGroup, n: usize) -> Option<&EndpointRecord> {
        let size = self.rings.group_size(group);
        let id = self.rings.of_group(group).nth(n.checked_rem(size)?)?;
        self.get(id)
    }

    /// Forgets the failures of a group's endpoints, which end their ejection.
    pub fn forgive_failures(&mut self, group: &EndpointGroup) {
        self.zone_failures.remove(&group.zone);
        for id in self.rings.of_group(group) {
            if let Some(record) = self.records.get_mut(id) {
                record.clear_failures();
            }
        }
    }

    /// The number of endpoints.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table has no endpoints.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All endpoints, ordered by identifier.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values().map(|record| &**record)
    }

    /// Stores the load report of an endpoint.
    pub fn update_load(&mut self, id: &str, load: LoadReport) {
        if let Some(record) = self.records.get_mut(id) {
            record.load = load;
            record.sent_since_report = 0;
        }
    }

    /// Sets this host's place among all hosts.
    pub fn set_position(&mut self, position: HostPosition) {
        self.position = position;
    }

    /// Records that a request has to wait for room at the brittle endpoints of a service; returns whether it has any.
    ///
    /// Then most likely other hosts have requests waiting too. If all sent them to the first endpoint that seems to have
    /// room, it would reject most of them.
    pub fn record_pressure(&mut self, now: TimePoint, service: &str) -> bool {
        let is_brittle = self.rings.of_service(service).any(|id| self.terms.is_brittle(id));
        let is_over = |at: &TimePoint| now.since(*at) >= PRESSED_TIME + RELIEF_TIME;
        if is_brittle && self.pressed.get(service).is_none_or(is_over) {
            self.pressed.insert(service.into(), now);
        }
        is_brittle
    }

    /// Stores which share of an endpoint is free, from 0 to 1, as it has just reported.
    pub fn update_room(&mut self, now: TimePoint, id: &str, free_share: f64) {
        if let Some(record) = self.records.get_mut(id) {
            record.room = Some(RoomReport::new(now, free_share));
        }
    }

    /// Counts a request as open at an endpoint if the endpoint accepts one now, and returns whether it does.
    ///
    /// `slots` is how many requests of this size the endpoint can process at a time, if that is not its reported
    /// capacity.
    pub fn try_open(&mut self, now: TimePoint, id: &str, slots: Option<u32>) -> bool {
        let Some(service) = self.get(id).map(|record| Name::clone(&record.service)) else {
            return false;
        };
        self.apply_quota(now, &service);
        self.apply_lease_mode(id);
        match self.admission(now, &self.records[id], slots) {
            SendAdmission::Refused => return false,
            SendAdmission::Trial => self.terms.use_trial(now, id),
            SendAdmission::Open => {}
        }
        let is_open = self.terms.try_send(now, id);
        if is_open {
            self.record_open(now, id);
            self.record_usage(now, id, &service);
        }
        is_open
    }

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

    /// Counts what a request uses of limits that hold for all hosts together.
    fn record_usage(&mut self, now: TimePoint, id: &str, service: &Name) {
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

    /// How many of an endpoint's slots this host may use, where slots are divided among hosts.
    pub fn held_slots(&self, now: TimePoint, id: &str) -> u32 {
        self.get(id).map_or(0, |record| self.slots_of(now, record, record.load.capacity))
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

    /// Whether an endpoint's terms admit a request of this host now.
    pub(super) fn admits(&self, now: TimePoint, record: &EndpointRecord, slots: Option<u32>) -> bool {
        self.admission(now, record, slots) != SendAdmission::Refused
    }

    /// How an endpoint's terms admit a request of this host now.
    ///
    /// An endpoint that fails if it has to reject too many requests gets only those for which it has room, and a few
    /// trials.
    fn admission(&self, now: TimePoint, record: &EndpointRecord, slots: Option<u32>) -> SendAdmission {
        if !self.terms.is_open(now, &record.id) {
            return SendAdmission::Refused;
        }
        if !self.terms.is_brittle(&record.id) || self.has_room(now, record, slots) {
            return SendAdmission::Open;
        }
        let may_try = !self.is_slot_leased(record) && self.terms.has_trial(now, &record.id);
        if may_try { SendAdmission::Trial } else { SendAdmission::Refused }
    }

    /// Whether an endpoint has room for a request, whatever the other hosts send at the same time.
    fn has_room(&self, now: TimePoint, record: &EndpointRecord, slots: Option<u32>) -> bool {
        let capacity = slots.unwrap_or(record.load.capacity).max(1);
        if self.is_slot_leased(record) {
            let is_late = self.leases.is_slot_answer_late(now, &record.service, &record.id);
            let is_leased = record.open < self.leases.slots(now, &record.service, &record.id);
            return is_leased || (is_late && record.room.is_some_and(|room| room.is_ample(now, capacity)));
        }
        let is_pressed = self.pressed.get(&record.service).is_some_and(|at| now.since(*at) < PRESSED_TIME);
        let is_ample = || record.room.is_some_and(|room| room.is_ample(now, capacity));
        (!is_pressed && is_ample()) || record.open < self.slots_of(now, record, capacity)
    }

    /// Counts a request as open at an endpoint.
    pub fn record_open(&mut self, now: TimePoint, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.add_send(now);
            record.open += 1;
            record.sent_since_report += 1;
        }
    }

    /// Counts a request as no longer open at an endpoint.
    pub fn record_close(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.open = record.open.saturating_sub(1);
            // Most requests that end were sent after the report; without this, a burst of short requests would look
            // like load.
            record.sent_since_report = record.sent_since_report.saturating_sub(1);
        }
    }

    /// Records a failure of an endpoint, which ejects the endpoint for a while.
    pub fn record_failure(&mut self, now: TimePoint, id: &str) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.add_failure(now);
        let (zone, id) = (ZoneName::clone(&record.zone), EndpointId::clone(&record.id));
        self.record_zone_failure(now, zone, &id);
    }

    pub(super) fn record_zone_failure(&mut self, now: TimePoint, zone: ZoneName, id: &EndpointId) {
        self.zone_failures.entry(zone).or_default().add(now, id);
    }

    /// Records an endpoint's answer, and whether it was a failure of the endpoint itself.
    pub fn record_answer(&mut self, now: TimePoint, id: &str, is_failure: bool) {
        if let Some(record) = self.records.get_mut(id) {
            record.errors.add_answer(now, is_failure);
        }
    }

    /// Records a success of an endpoint, which ends its ejection.
    pub fn record_success(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.clear_failures();
        }
    }
}
