use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::rendezvous::rendezvous_weight;
use super::{EndpointRecord, EndpointTable, HolderLimits, RouteQuery};
use crate::{EndpointId, TimePoint, ZoneName};

/// Endpoints of each zone among which a choice is made. Even if nine in ten are full, a few have room; and what it costs does
/// not grow with the fleet.
const WINDOW: usize = 64;
/// What an endpoint without a free place costs, in requests a place: more than any distance.
const FULL_COST: f64 = 1.0;
/// What an endpoint in the zone of one that was just left costs, in requests a place: a zone often goes as a whole.
const SUSPECT_ZONE_COST: f64 = 0.75;
/// What an endpoint costs that answers only with failures, in requests a place: more than a full one.
const ERROR_COST: f64 = 4.0;
/// Differences of cost below this, in requests a place, do not go before the order that all hosts share: about one
/// generation, whose prompt delays the first event by less than reading this one again would.
const HOME_SLACK: f64 = 0.12;
/// Endpoints drawn at random from the own zone, and as many from the others, of which the best is taken. Two leave some full
/// while others have places; all of them would send every host that has the same reports to the same one. Drawn from all of many
/// zones together, often none would be of the own one. Where the own zone has fewer, they are drawn from all together: one that
/// just ended there would be met each time.
const DRAWS: usize = 4;
/// By how many requests an endpoint that goes first may be busier than others.
const PREFERRED_PLACES: f64 = 1.1;
/// Of so many choices that prefer some endpoints, one does not: else a host would hear nothing of the others' load, and those
/// that join would wait for work.
const UNBOUND: u32 = 8;

/// The choice among the endpoints that this host knows.
impl EndpointTable {
    /// The number of endpoints that a number of affinity leads to.
    pub const AFFINITY_CANDIDATES: usize = 3;

    /// Chooses an endpoint; count the request with [`try_open`](Self::try_open) when it is sent there.
    ///
    /// The best of a few drawn at random, so that many hosts with the same reports do not all choose the same one.
    /// Ejected endpoints are used only if no other is left.
    pub fn choose(&self, now: TimePoint, query: &RouteQuery<'_>, rng: &mut impl Rng) -> Option<EndpointId> {
        let number = query.affinity.map_or_else(|| spread(now), |number| number as u64);
        let healthy = self.window(now, query, number, |record| !record.is_ejected(now));
        let pool = if healthy.is_empty() { self.window(now, query, number, |_| true) } else { healthy };
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
        let fit = self.window(now, query, number, |record| !record.is_ejected(now));
        let suspect = self.suspect_zones(now, query);
        let mut costs: Vec<(f64, &EndpointRecord)> =
            fit.into_iter().map(|record| (self.cost(now, record, query, &suspect), record)).collect();
        let least = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp).unwrap_or_default();
        let rank = |cost: f64, record: &EndpointRecord| {
            let steps = ((cost - least) / HOME_SLACK) as u64;
            let is_preferred = query.preferred.contains(&record.id);
            let is_due = query.may_be_trial() && record.errors.is_trial_due(now);
            (
                Reverse(is_due),
                steps,
                Reverse(is_preferred),
                Reverse(rendezvous_weight(&number.to_be_bytes(), &record.id)),
            )
        };
        costs.sort_by_cached_key(|(cost, record)| rank(*cost, record));
        costs.into_iter().take(most).map(|(_, record)| record.as_of(now)).collect()
    }

    /// The endpoints that a prompt may have gone to, in the order that all hosts share for `number`, the own zone first.
    ///
    /// Load is not looked at: where a prompt went earlier was decided by other loads, and by other hosts.
    pub fn likely_holders(
        &self,
        now: TimePoint,
        query: &RouteQuery<'_>,
        number: u64,
        counts: HolderLimits,
    ) -> Vec<EndpointRecord> {
        let mut fit = self.window(now, query, number, |record| !record.is_ejected(now));
        fit.sort_by_cached_key(|record| {
            (record.zone != self.zone, Reverse(rendezvous_weight(&number.to_be_bytes(), &record.id)))
        });
        let mut taken: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        fit.retain(|record| {
            let count = taken.entry(&record.zone).or_default();
            *count += 1;
            *count <= if record.zone == self.zone { counts.own_zone } else { counts.other_zone }
        });
        fit.into_iter().map(|record| record.as_of(now)).collect()
    }

    /// The endpoints that a request with this affinity may be held by, best first.
    pub fn affinity_candidates(&self, query: &RouteQuery<'_>, number: u128) -> Vec<EndpointId> {
        let fit = self.of_service(query.service).filter(|record| query.is_met_by(record)).collect();
        ranked(fit, number).into_iter().map(|record| EndpointId::clone(&record.id)).collect()
    }

    /// How long the endpoints for a request want none, where there are some and none takes one now.
    ///
    /// Zero if only the slots of this host are used up: another host may have one. Endpoints that the request has left count
    /// too, since its caller may come back to them.
    pub fn shortest_pause(&self, now: TimePoint, query: &RouteQuery<'_>) -> Option<Duration> {
        let query = query.clone().avoid(&[]);
        let fit = || self.of_service(query.service).filter(|record| query.is_met_by(record));
        if fit().any(|record| self.terms.is_open(now, &record.id)) {
            return None;
        }
        fit().map(|record| self.terms.paused_for(now, &record.id)).min()
    }

    /// Of each zone the endpoints that follow a number on its ring and take the request now, a window of them, and those that
    /// go first for it wherever they are; in the order of their names.
    fn window<'t>(
        &'t self,
        now: TimePoint,
        query: &RouteQuery<'_>,
        number: u64,
        is_wanted: impl Fn(&EndpointRecord) -> bool,
    ) -> Vec<&'t EndpointRecord> {
        let is_fit = |record: &&EndpointRecord| {
            query.is_met_by(record) && self.terms.is_open(now, &record.id) && is_wanted(record)
        };
        let zones = self.rings.after_number(query.service, number);
        let near = zones.flat_map(|ring| ring.filter_map(|id| self.get(id)).filter(is_fit).take(WINDOW));
        let preferred = query.preferred.iter().filter_map(|id| self.get(id)).filter(is_fit);
        let mut window: Vec<&EndpointRecord> = near.chain(preferred).collect();
        window.sort_by(|a, b| a.id.cmp(&b.id));
        window.dedup_by(|a, b| a.id == b.id);
        window
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = &EndpointRecord> + use<'_> {
        self.rings.of_service(service).filter_map(|id| self.get(id))
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
        let is_drawn_only = query.preferred.is_empty() || rng.random_ratio(1, UNBOUND);
        let is_preferred = |record: &EndpointRecord| !is_drawn_only && query.preferred.contains(&record.id);
        let cost = |record: &EndpointRecord| {
            let places = query.slots.unwrap_or(record.load.capacity).max(1);
            // Its last report counts the request that it came with.
            let slack = if is_preferred(record) { PREFERRED_PLACES / f64::from(places) } else { 0.0 };
            self.cost(now, record, query, &suspect) - slack
        };
        let preferred = pool.iter().copied().filter(|record| is_preferred(record));
        let (near, far): (Vec<_>, Vec<_>) = pool.iter().copied().partition(|record| record.zone == self.zone);
        let drawn: Vec<&EndpointRecord> = if near.len() >= DRAWS {
            let near = near.choose_multiple(rng, DRAWS).copied().collect::<Vec<_>>();
            near.into_iter().chain(far.choose_multiple(rng, DRAWS).copied()).collect()
        } else {
            pool.choose_multiple(rng, DRAWS).copied().collect()
        };
        let drawn = drawn.into_iter().chain(preferred);
        drawn.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn cost(&self, now: TimePoint, record: &EndpointRecord, query: &RouteQuery<'_>, suspect: &[&ZoneName]) -> f64 {
        let pressure = record.pressure(query.slots);
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
    let is_due = |record: &&EndpointRecord| record.errors.is_trial_due(now) && record.pressure(query.slots) < 1.0;
    let due = pool.iter().copied().filter(is_due);
    due.min_by_key(|record| record.errors.next_trial())
}

/// A number that is far from those of all moments near this one (Fibonacci hashing), so that windows soon meet all endpoints.
fn spread(now: TimePoint) -> u64 {
    now.as_micros().wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// Rendezvous order (highest random weight), the same on every host that knows the same endpoints.
fn ranked(mut pool: Vec<&EndpointRecord>, number: u128) -> Vec<&EndpointRecord> {
    pool.sort_by_cached_key(|record| Reverse(rendezvous_weight(&number.to_be_bytes(), &record.id)));
    pool.truncate(EndpointTable::AFFINITY_CANDIDATES);
    pool
}
