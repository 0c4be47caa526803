use std::collections::BTreeMap;

use super::name_set::NameSet;
use super::place_index::PlaceIndex;
use super::rendezvous::rendezvous_weight;
use super::ring_index::RingIndex;
use super::zone_trouble::ZoneTrouble;
use super::{EndpointRecord, EndpointState, LoadReport};
use crate::{EndpointId, Name, TermsLedger, TimePoint, ZoneName};

/// By this name hosts choose the entry for their notes.
const NOTES: &[u8] = b"notes";

/// How much fuller, in requests a place, the own zone may be before another one pays.
const ZONE_PREFERENCE: f64 = 0.25;
/// The endpoints that this host knows; see [`choose`](Self::choose) for the choice among them.
#[derive(Debug)]
pub struct EndpointTable {
    pub(super) zone: ZoneName,
    pub(super) zone_preference: f64,
    /// Boxed, since the map keeps up to half of its places free.
    pub(super) records: BTreeMap<EndpointId, Box<EndpointRecord>>,
    places: PlaceIndex,
    pub(super) rings: RingIndex,
    names: NameSet,
    pub(super) troubles: BTreeMap<ZoneName, ZoneTrouble>,
    pub(super) terms: TermsLedger,
}

impl EndpointTable {
    /// A table for a host in that availability zone.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            zone_preference: ZONE_PREFERENCE,
            records: BTreeMap::new(),
            places: PlaceIndex::default(),
            rings: RingIndex::default(),
            names: NameSet::default(),
            troubles: BTreeMap::new(),
            terms: TermsLedger::default(),
        }
    }

    /// The same table with how much fuller, in requests a place, the own zone may be before another one pays.
    #[must_use]
    pub fn zone_preference(mut self, preference: f64) -> Self {
        self.zone_preference = preference;
        self
    }

    /// Adds an endpoint, or updates where it is and whether it gets work; what was learnt of it stays. Returns it as it is now.
    ///
    /// Its own word that it leaves goes before its entry, which may be older, and before one that comes back.
    pub fn upsert(&mut self, mut record: EndpointRecord) -> &EndpointRecord {
        let id = EndpointId::clone(&record.id);
        if self.terms.is_leaving(&id) {
            record.state = EndpointState::Leaving;
        }
        for name in [&mut record.service, &mut record.version, &mut record.zone] {
            self.names.share(name);
        }
        match self.records.get_mut(&id) {
            Some(known) if known.address == record.address => {
                if known.service != record.service {
                    self.rings.remove(known);
                    known.service = record.service;
                    self.rings.add(known);
                }
                known.state = record.state;
                known.binding = record.binding;
                known.version = record.version;
            }
            _ => {
                self.remove(&id);
                self.places.add(&record);
                self.rings.add(&record);
                self.records.insert(EndpointId::clone(&id), Box::new(record));
            }
        }
        &self.records[&id]
    }

    /// Takes in that an endpoint says itself that it leaves; tells whether it got work until then.
    pub fn mark_leaving(&mut self, now: TimePoint, id: &EndpointId) -> bool {
        self.terms.leave(now, id);
        let Some(record) = self.records.get_mut(id).filter(|record| record.state == EndpointState::Live) else {
            return false;
        };
        record.state = EndpointState::Leaving;
        true
    }

    /// The endpoints that a registration shows to be gone: those that registered the same address earlier, and earlier
    /// starts of the same one.
    ///
    /// Their entries lapse only seconds later, and until then whoever is at the address answers in their place.
    pub fn displaced_by(&self, record: &EndpointRecord) -> Vec<EndpointId> {
        let earlier = self.beside(record).filter(|known| record.follows(known));
        earlier.map(|known| EndpointId::clone(&known.id)).collect()
    }

    /// Whether a later registration, of a service that `is_known`, stands in the place of this one.
    pub fn is_displaced(&self, record: &EndpointRecord, is_known: impl Fn(&str) -> bool) -> bool {
        self.beside(record).any(|known| known.follows(record) && is_known(&known.service))
    }

    /// The endpoints that share the name or the address of a registration.
    fn beside(&self, record: &EndpointRecord) -> impl Iterator<Item = &EndpointRecord> {
        self.places.beside(record).into_iter().filter_map(|id| self.get(id))
    }

    /// The endpoints that registered under a name.
    pub fn registered_as(&self, entry: &str) -> Vec<EndpointId> {
        self.places.registered_as(entry).map(EndpointId::clone).collect()
    }

    /// Forgets one endpoint.
    pub fn remove(&mut self, id: &str) {
        if let Some(record) = self.records.remove(id) {
            self.unlist(&record);
        }
    }

    /// Forgets every endpoint that is not among those.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        let gone: Vec<_> = self.records.extract_if(.., |id, _| !is_known(id)).collect();
        for (_, record) in &gone {
            self.unlist(record);
        }
    }

    fn unlist(&mut self, record: &EndpointRecord) {
        self.places.remove(record);
        self.rings.remove(record);
    }

    /// One endpoint.
    pub fn get(&self, id: &str) -> Option<&EndpointRecord> {
        self.records.get(id).map(|record| &**record)
    }

    /// One endpoint, with the sends that no report of it can show yet.
    pub fn as_of(&self, now: TimePoint, id: &str) -> Option<EndpointRecord> {
        self.records.get(id).map(|record| record.as_of(now))
    }

    /// One endpoint, to learn something of it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut EndpointRecord> {
        self.records.get_mut(id).map(|record| &mut **record)
    }

    /// The terms on which endpoints take requests, to learn something of them.
    pub fn terms_mut(&mut self) -> &mut TermsLedger {
        &mut self.terms
    }

    /// The entry at which hosts note what all of them have to know: of the live endpoints, the same at all hosts that know the
    /// same ones.
    pub fn crash_record_entry(&self) -> Option<Name> {
        let live = self.iter().filter(|record| record.state == EndpointState::Live);
        let entry = live.map(|record| &record.entry).max_by_key(|entry| rendezvous_weight(NOTES, entry));
        entry.cloned()
    }

    /// The number of endpoints.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All endpoints by name.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values().map(|record| &**record)
    }

    /// Takes a load report in.
    pub fn update_load(&mut self, id: &str, load: LoadReport) {
        if let Some(record) = self.records.get_mut(id) {
            record.load = load;
            record.sent_since_report = 0;
        }
    }

    /// Counts a request as open at an endpoint, if that takes one now; tells whether it does.
    pub fn try_open(&mut self, now: TimePoint, id: &str) -> bool {
        let is_open = self.terms.try_send(now, id);
        if is_open {
            self.record_open(now, id);
        }
        is_open
    }

    /// Counts a request as open at an endpoint.
    pub fn record_open(&mut self, now: TimePoint, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.send(now);
            record.open += 1;
            record.sent_since_report += 1;
        }
    }

    /// Counts a request as no longer open at an endpoint.
    pub fn record_close(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.open = record.open.saturating_sub(1);
            // Most of what ends was sent since the report; else a burst of quick requests would look like a load.
            record.sent_since_report = record.sent_since_report.saturating_sub(1);
        }
    }

    /// Counts a failure of an endpoint, which leaves it out for a while.
    pub fn record_failure(&mut self, now: TimePoint, id: &str) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.fail(now);
        self.troubles.entry(ZoneName::clone(&record.zone)).or_default().add(now, &record.id);
    }

    /// Takes in whether an endpoint's answer was a failure of its own.
    pub fn record_answer(&mut self, now: TimePoint, id: &str, is_failure: bool) {
        if let Some(record) = self.records.get_mut(id) {
            record.errors.answer(now, is_failure);
        }
    }

    /// Counts a success of an endpoint.
    pub fn record_success(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.succeed();
        }
    }
}
