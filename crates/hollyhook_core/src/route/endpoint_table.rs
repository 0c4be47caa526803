use std::collections::{BTreeMap, BTreeSet};

use super::name_interner::NameInterner;
use super::registration_index::RegistrationIndex;
use super::rendezvous::rendezvous_weight;
use super::ring_index::RingIndex;
use super::version_index::VersionIndex;
use super::zone_failures::ZoneFailures;
use super::{EndpointRecord, EndpointState, HostPosition, LoadReport};
use crate::lease::{LeaseBook, LeaseLedger, LeaseOwners};
use crate::pace::{NetworkTime, ServicePace};
use crate::{EndpointId, Name, QuotaLedger, TermsTable, TimePoint, ZoneName};

/// Hash key by which hosts choose the entry for crash records.
const CRASH_RECORD_KEY: &[u8] = b"notes";

/// Default cost of an endpoint of another zone, in requests per slot.
const ZONE_PREFERENCE: f64 = 0.25;

/// The endpoints that this host knows; [`choose`](Self::choose) selects one of them for a request.
#[derive(Debug)]
pub struct EndpointTable {
    pub(super) zone: ZoneName,
    pub(super) zone_preference: f64,
    /// Boxed, since up to half of the slots in the map's tree nodes are unused.
    pub(super) records: BTreeMap<EndpointId, Box<EndpointRecord>>,
    registrations: RegistrationIndex,
    pub(super) rings: RingIndex,
    pub(super) versions: VersionIndex,
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
    pub(super) applied_factors: BTreeMap<Name, f64>,
    /// When this host last had a request for which no brittle endpoint of a service had room.
    pub(super) pressed: BTreeMap<Name, TimePoint>,
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
