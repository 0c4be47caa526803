use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::place_index::PlaceIndex;
use super::rendezvous::weight;
use super::zone_trouble::ZoneTrouble;
use super::{EndpointRecord, EndpointState, LoadReport};
use crate::rollout::VersionRule;
use crate::{EndpointId, ModelBinding, Name, TermsLedger, TimePoint, ZoneName};

/// By this name hosts choose the entry for their notes.
const NOTES: &[u8] = b"notes";

/// How much fuller, in requests a place, the own zone may be before another one pays.
const ZONE_PREFERENCE: f64 = 0.25;
/// What an endpoint without a free place costs, in requests a place: more than any distance.
const FULL_COST: f64 = 1.0;
/// What an endpoint in the zone of one that was just left costs, in requests a place: a zone often goes as a whole.
const SUSPECT_ZONE_COST: f64 = 0.75;
/// What an endpoint costs that answers only with failures, in requests a place: more than a full one.
const ERROR_COST: f64 = 4.0;
/// Differences of cost below this, in requests a place, do not go before the order that all hosts share: about one
/// generation, whose prompt delays the first event by less than reading this one again would.
const HOME_SLACK: f64 = 0.12;
/// Endpoints drawn at random, of which the best is taken. Two leave some full while others have places; all of them
/// would send every host that has the same reports to the same one.
const DRAWS: usize = 4;

/// What a request needs of an endpoint.
#[derive(Debug, Clone)]
pub struct RouteQuery<'a> {
    service: &'a str,
    binding: Option<&'a ModelBinding>,
    avoid: &'a [EndpointId],
    avoid_zone: Option<&'a ZoneName>,
    affinity: Option<u128>,
    places: Option<u32>,
    preferred: &'a [EndpointId],
    versions: Option<&'a VersionRule>,
    is_repeatable: bool,
}

impl<'a> RouteQuery<'a> {
    /// A query for any endpoint of a service.
    pub fn new(service: &'a str) -> Self {
        Self {
            service,
            binding: None,
            avoid: &[],
            avoid_zone: None,
            affinity: None,
            places: None,
            preferred: &[],
            versions: None,
            is_repeatable: false,
        }
    }

    /// The same query for exactly those weights.
    #[must_use]
    pub fn binding(mut self, binding: &'a ModelBinding) -> Self {
        self.binding = Some(binding);
        self
    }

    /// The same query without those endpoints.
    #[must_use]
    pub fn avoid(mut self, avoid: &'a [EndpointId]) -> Self {
        self.avoid = avoid;
        self
    }

    /// The same query without the endpoints of that zone.
    #[must_use]
    pub fn avoid_zone(mut self, zone: &'a ZoneName) -> Self {
        self.avoid_zone = Some(zone);
        self
    }

    /// The same query for which these go first among endpoints that cost about the same.
    #[must_use]
    pub fn prefer(mut self, preferred: &'a [EndpointId]) -> Self {
        self.preferred = preferred;
        self
    }

    /// The same query for endpoints of the versions that a rule allows.
    #[must_use]
    pub fn versions(mut self, rule: &'a VersionRule) -> Self {
        self.versions = Some(rule);
        self
    }

    /// The same query for a request that can be tried again elsewhere if its first attempt fails.
    #[must_use]
    pub fn repeatable(mut self, is_repeatable: bool) -> Self {
        self.is_repeatable = is_repeatable;
        self
    }

    /// The same query that prefers the few endpoints which every host ranks first for this number.
    #[must_use]
    pub fn affinity(mut self, number: u128) -> Self {
        self.affinity = Some(number);
        self
    }

    /// The same query for a request of which an endpoint holds that many at a time.
    #[must_use]
    pub fn places(mut self, places: u32) -> Self {
        self.places = Some(places);
        self
    }

    /// Whether its request may find out if an endpoint is well again: a first attempt that another one may follow.
    fn may_be_trial(&self) -> bool {
        self.is_repeatable && self.avoid.is_empty()
    }

    fn is_met_by(&self, record: &EndpointRecord) -> bool {
        let is_served = &*record.service == self.service;
        let is_bound = self.binding.is_none_or(|binding| record.binding.as_ref() == Some(binding));
        let is_far = self.avoid_zone.is_none_or(|zone| record.zone != *zone);
        let is_allowed = self.versions.is_none_or(|rule| rule.allows(&record.id, &record.version));
        is_served
            && is_bound
            && is_far
            && is_allowed
            && record.state == EndpointState::Live
            && !self.avoid.contains(&record.id)
    }
}

/// How many endpoints are worth asking whether they hold a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeCounts {
    /// Of the own zone, at most.
    pub own: usize,
    /// Of each other zone, at most.
    pub far: usize,
}

/// The endpoints that this host knows, and the choice among them.
#[derive(Debug)]
pub struct EndpointTable {
    zone: ZoneName,
    zone_preference: f64,
    records: BTreeMap<EndpointId, EndpointRecord>,
    places: PlaceIndex,
    troubles: BTreeMap<ZoneName, ZoneTrouble>,
    terms: TermsLedger,
}

impl EndpointTable {
    /// The number of endpoints that a number of affinity leads to.
    pub const AFFINITY_CANDIDATES: usize = 3;

    /// A table for a host in that availability zone.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            zone_preference: ZONE_PREFERENCE,
            records: BTreeMap::new(),
            places: PlaceIndex::default(),
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
        match self.records.get_mut(&id) {
            Some(known) if known.address == record.address => {
                known.state = record.state;
                known.binding = record.binding;
                known.service = record.service;
                known.version = record.version;
            }
            _ => {
                self.remove(&id);
                self.places.add(&record);
                self.records.insert(EndpointId::clone(&id), record);
            }
        }
        &self.records[&id]
    }

    /// Takes in that an endpoint says itself that it leaves; tells whether it got work until then.
    pub fn leave(&mut self, now: TimePoint, id: &EndpointId) -> bool {
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
        self.places.beside(record).into_iter().filter_map(|id| self.records.get(id))
    }

    /// The endpoints that registered under a name.
    pub fn registered_as(&self, entry: &str) -> Vec<EndpointId> {
        self.places.registered_as(entry).map(EndpointId::clone).collect()
    }

    /// Forgets one endpoint.
    pub fn remove(&mut self, id: &str) {
        if let Some(record) = self.records.remove(id) {
            self.places.remove(&record);
        }
    }

    /// Forgets every endpoint that is not among those.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        let gone = self.records.extract_if(.., |id, _| !is_known(id));
        gone.for_each(|(_, record)| self.places.remove(&record));
    }

    /// One endpoint.
    pub fn get(&self, id: &str) -> Option<&EndpointRecord> {
        self.records.get(id)
    }

    /// One endpoint, with the sends that no report of it can show yet.
    pub fn as_of(&self, now: TimePoint, id: &str) -> Option<EndpointRecord> {
        self.records.get(id).map(|record| record.as_of(now))
    }

    /// One endpoint, to learn something of it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut EndpointRecord> {
        self.records.get_mut(id)
    }

    /// The terms on which endpoints take requests, to learn something of them.
    pub fn terms_mut(&mut self) -> &mut TermsLedger {
        &mut self.terms
    }

    /// The entry at which hosts note what all of them have to know: of the live endpoints, the same at all hosts that know the
    /// same ones.
    pub fn noting_entry(&self) -> Option<Name> {
        let live = self.iter().filter(|record| record.state == EndpointState::Live);
        let entry = live.map(|record| &record.entry).max_by_key(|entry| weight(NOTES, entry));
        entry.cloned()
    }

    /// All endpoints by name.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }

    /// Takes a load report in.
    pub fn report(&mut self, id: &str, load: LoadReport) {
        if let Some(record) = self.records.get_mut(id) {
            record.load = load;
            record.sent_since_report = 0;
        }
    }

    /// Chooses an endpoint; count the request with [`try_open`](Self::try_open) when it is sent there.
    ///
    /// The best of a few drawn at random, so that many hosts with the same reports do not all choose the same one.
    /// Ejected endpoints are used only if no other is left.
    pub fn choose(&self, now: TimePoint, query: &RouteQuery<'_>, rng: &mut impl Rng) -> Option<EndpointId> {
        let fit: Vec<&EndpointRecord> = self.open_to(now, query).collect();
        let healthy: Vec<&EndpointRecord> = fit.iter().copied().filter(|record| !record.is_ejected(now)).collect();
        let pool = if healthy.is_empty() { fit } else { healthy };
        let pool = match query.affinity {
            Some(number) => ranked(pool, number),
            None => pool,
        };
        if let Some(due) = due_for_trial(now, query, &pool) {
            return Some(EndpointId::clone(&due.id));
        }
        let best = self.best_of_draws(now, &pool, query, rng)?;
        Some(EndpointId::clone(&best.id))
    }

    /// Up to `most` endpoints that are worth asking, best first: those that cost about as little as the cheapest, in
    /// the order that all hosts share for `number`, then the others by cost. Before them all goes one that is to be tried, if
    /// the request can be tried again elsewhere.
    ///
    /// A request that comes back through another host finds the endpoint that may still hold its prompt.
    pub fn shortlist(&self, now: TimePoint, query: &RouteQuery<'_>, number: u64, most: usize) -> Vec<EndpointRecord> {
        let fit = self.open_to(now, query).filter(|record| !record.is_ejected(now));
        let suspect = self.suspect_zones(now, query);
        let mut costs: Vec<(f64, &EndpointRecord)> =
            fit.map(|record| (self.cost(now, record, query, &suspect), record)).collect();
        let least = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp).unwrap_or_default();
        let rank = |cost: f64, record: &EndpointRecord| {
            let steps = ((cost - least) / HOME_SLACK) as u64;
            let is_preferred = query.preferred.contains(&record.id);
            let is_due = query.may_be_trial() && record.errors.is_trial_due(now);
            (Reverse(is_due), steps, Reverse(is_preferred), Reverse(weight(&number.to_be_bytes(), &record.id)))
        };
        costs.sort_by_cached_key(|(cost, record)| rank(*cost, record));
        costs.into_iter().take(most).map(|(_, record)| record.as_of(now)).collect()
    }

    /// The endpoints that a prompt may have gone to, in the order that all hosts share for `number`, the own zone first.
    ///
    /// Load is not looked at: where a prompt went earlier was decided by other loads, and by other hosts.
    pub fn homes(
        &self,
        now: TimePoint,
        query: &RouteQuery<'_>,
        number: u64,
        counts: HomeCounts,
    ) -> Vec<EndpointRecord> {
        let fit = self.open_to(now, query).filter(|record| !record.is_ejected(now));
        let mut fit: Vec<&EndpointRecord> = fit.collect();
        fit.sort_by_cached_key(|record| (record.zone != self.zone, Reverse(weight(&number.to_be_bytes(), &record.id))));
        let mut taken: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        fit.retain(|record| {
            let count = taken.entry(&record.zone).or_default();
            *count += 1;
            *count <= if record.zone == self.zone { counts.own } else { counts.far }
        });
        fit.into_iter().map(|record| record.as_of(now)).collect()
    }

    /// The endpoints that a request with this affinity may be held by, best first.
    pub fn candidates(&self, query: &RouteQuery<'_>, number: u128) -> Vec<EndpointId> {
        let fit = self.records.values().filter(|record| query.is_met_by(record)).collect();
        ranked(fit, number).into_iter().map(|record| EndpointId::clone(&record.id)).collect()
    }

    /// The endpoints that take a request now.
    fn open_to<'t>(&'t self, now: TimePoint, query: &'t RouteQuery<'_>) -> impl Iterator<Item = &'t EndpointRecord> {
        let fit = self.records.values().filter(|record| query.is_met_by(record));
        fit.filter(move |record| self.terms.is_open(now, &record.id))
    }

    /// How long the endpoints for a request want none, where there are some and none takes one now.
    ///
    /// Zero if only the slots of this host are used up: another host may have one. Endpoints that the request has left count
    /// too, since its caller may come back to them.
    pub fn held_back_for(&self, now: TimePoint, query: &RouteQuery<'_>) -> Option<Duration> {
        let query = query.clone().avoid(&[]);
        if self.open_to(now, &query).next().is_some() {
            return None;
        }
        let fit = self.records.values().filter(|record| query.is_met_by(record));
        fit.map(|record| self.terms.paused_for(now, &record.id)).min()
    }

    /// Counts a request as open at an endpoint, if that takes one now; tells whether it does.
    pub fn try_open(&mut self, now: TimePoint, id: &str) -> bool {
        let is_open = self.terms.try_send(now, id);
        if is_open {
            self.opened(now, id);
        }
        is_open
    }

    /// Counts a request as open at an endpoint.
    pub fn opened(&mut self, now: TimePoint, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.send(now);
            record.open += 1;
            record.sent_since_report += 1;
        }
    }

    /// Counts a request as no longer open at an endpoint.
    pub fn closed(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.open = record.open.saturating_sub(1);
            // Most of what ends was sent since the report; else a burst of quick requests would look like a load.
            record.sent_since_report = record.sent_since_report.saturating_sub(1);
        }
    }

    /// Counts a failure of an endpoint, which leaves it out for a while.
    pub fn failed(&mut self, now: TimePoint, id: &str) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.fail(now);
        self.troubles.entry(ZoneName::clone(&record.zone)).or_default().add(now, &record.id);
    }

    /// Takes in whether an endpoint's answer was a failure of its own.
    pub fn answered(&mut self, now: TimePoint, id: &str, is_failure: bool) {
        if let Some(record) = self.records.get_mut(id) {
            record.errors.answer(now, is_failure);
        }
    }

    /// Counts a success of an endpoint.
    pub fn succeeded(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.succeed();
        }
    }

    /// The zones of the endpoints that the request has left, and those that lost several endpoints just now.
    fn suspect_zones(&self, now: TimePoint, query: &RouteQuery<'_>) -> Vec<&ZoneName> {
        let left = query.avoid.iter().filter_map(|id| self.records.get(id)).map(|record| &record.zone);
        let troubled = self.troubles.iter().filter(|(_, trouble)| trouble.is_suspect(now)).map(|(zone, _)| zone);
        left.chain(troubled).collect()
    }

    fn best_of_draws<'t>(
        &self,
        now: TimePoint,
        pool: &[&'t EndpointRecord],
        query: &RouteQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'t EndpointRecord> {
        let suspect = self.suspect_zones(now, query);
        let cost = |record| self.cost(now, record, query, &suspect);
        let drawn = pool.choose_multiple(rng, DRAWS).copied();
        drawn.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn cost(&self, now: TimePoint, record: &EndpointRecord, query: &RouteQuery<'_>, suspect: &[&ZoneName]) -> f64 {
        let pressure = record.pressure(query.places);
        let distance = if record.zone == self.zone { 0.0 } else { self.zone_preference };
        let full = if pressure >= 1.0 { FULL_COST } else { 0.0 };
        let suspicion = if suspect.contains(&&record.zone) { SUSPECT_ZONE_COST } else { 0.0 };
        pressure + distance + full + suspicion + ERROR_COST * record.errors.share(now)
    }
}

/// The endpoint that is to be tried longest, if the request can be tried again at another one.
fn due_for_trial<'t>(
    now: TimePoint,
    query: &RouteQuery<'_>,
    pool: &[&'t EndpointRecord],
) -> Option<&'t EndpointRecord> {
    if !query.may_be_trial() || pool.len() < 2 {
        return None;
    }
    let is_due = |record: &&EndpointRecord| record.errors.is_trial_due(now) && record.pressure(query.places) < 1.0;
    let due = pool.iter().copied().filter(is_due);
    due.min_by_key(|record| record.errors.next_trial())
}

/// Rendezvous order (highest random weight), the same on every host that knows the same endpoints.
fn ranked(mut pool: Vec<&EndpointRecord>, number: u128) -> Vec<&EndpointRecord> {
    pool.sort_by_cached_key(|record| Reverse(weight(&number.to_be_bytes(), &record.id)));
    pool.truncate(EndpointTable::AFFINITY_CANDIDATES);
    pool
}
