use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::rendezvous::rendezvous_weight;
use super::{EndpointRecord, EndpointTable, HolderLimits, RouteQuery};
use crate::pace::ServicePace;
use crate::{EndpointId, TimePoint, ZoneName};

/// The number of endpoints per zone among which a choice is made. Even if nine in ten are full, a few of them have free
/// slots, and the cost of a choice does not grow with the fleet.
const ZONE_WINDOW: usize = 64;
/// Cost of an endpoint without a free slot, in requests per slot; greater than the default cost of another zone.
const FULL_COST: f64 = 1.0;
/// Cost of an endpoint in a zone where other endpoints have just failed, in requests per slot: a zone often fails as a
/// whole.
const SUSPECT_ZONE_COST: f64 = 0.75;
/// Cost of an endpoint whose answers are all failures, in requests per slot; greater than that of a full endpoint.
const FAILURE_COST: f64 = 4.0;
/// Width of the cost bands, in requests per slot, within which the order that all hosts share decides. The width is
/// about the load of one generation: waiting for that generation's prompt delays the first event by less than reading
/// this request's prompt again at another endpoint would.
const COST_STEP: f64 = 0.12;
/// The number of endpoints sampled at random from the host's own zone, and again from the other zones; the cheapest is
/// chosen.
///
/// With a sample of two, some endpoints are full while others have free slots; without sampling, all hosts with the
/// same reports would choose the same endpoint. A single sample of many zones would often contain no endpoint of the
/// own zone. If the own zone has fewer endpoints than this, one sample is taken from all zones together: otherwise, an
/// endpoint of the own zone that has just stopped would be in every sample.
const SAMPLE_SIZE: usize = 4;
/// Number of sampled endpoints from which one is drawn, weighted by pace.
const DRAWN_FROM: usize = 16;
/// For each request per slot of load cost, the probability of an endpoint is divided by e to the power of this slope.
/// With slopes of 1.0 and more, hosts whose load reports are seconds old overload one endpoint after another.
const LOAD_SLOPE: f64 = 0.5;
/// The same for the cost of failures; steeper, since an endpoint should get few requests immediately after failures.
const FAULT_SLOPE: f64 = 1.5;
/// Share of failures from which an endpoint is drawn too rarely to show that it has recovered, and gets trials.
const DRAWN_FAILURES: f64 = 0.5;
/// Exponent of the load in the expected wait for a slot: the wait is short until few slots are free.
const QUEUE_EXPONENT: i32 = 6;
/// By how many requests a preferred endpoint may be busier than others and still be chosen.
const PREFERRED_ALLOWANCE: f64 = 1.1;
/// On average, one in this many choices ignores the query's preferred endpoints. Otherwise, a host would not learn the
/// load of the others, and endpoints that join would get no requests.
const PREFERENCE_SKIP_INTERVAL: u32 = 8;

/// Chooses among the endpoints that this host knows.
impl EndpointTable {
    /// The number of endpoints among which a request with an affinity key is placed.
    pub const AFFINITY_CANDIDATES: usize = 3;

    /// Chooses an endpoint for a request; call [`try_open`](Self::try_open) when the request is sent there.
    ///
    /// The endpoint is the cheapest of a random sample, so that hosts with the same reports do not all choose the same
    /// one. Ejected endpoints are used only if no other is left, and an endpoint whose trial is due goes first.
    pub fn choose(&self, now: TimePoint, query: &RouteQuery<'_>, rng: &mut impl Rng) -> Option<EndpointId> {
        let key = query.affinity.map_or_else(|| key_at(now), |key| key as u64);
        let healthy = self.window(now, query, key, |record| !record.is_ejected(now));
        let pool = if healthy.is_empty() { self.window(now, query, key, |_| true) } else { healthy };
        let pool = match query.affinity {
            Some(key) => top_ranked(pool, key),
            None => pool,
        };
        let uneven = self.uneven_service(now, query.service);
        // Drawn endpoints get calls while some of their answers are failures, such as rejections of a full endpoint.
        let needs_trial = |due: &&EndpointRecord| uneven.is_none() || due.errors.share(now) >= DRAWN_FAILURES;
        if let Some(due) = due_for_trial(now, query, &pool).filter(needs_trial) {
            return Some(EndpointId::clone(&due.id));
        }
        let best = match uneven {
            Some(service) => self.draw_by_pace(now, &pool, query, service, rng)?,
            None => self.best_of_sample(now, &pool, query, rng)?,
        };
        Some(EndpointId::clone(&best.id))
    }

    /// Up to `limit` endpoints for a request, best first: those of about the lowest cost in the order that all hosts
    /// share for `key`, then the others by cost. If the request can be retried elsewhere, endpoints whose trial is due
    /// precede all others.
    ///
    /// Because of the shared order, a request that is sent again through another host reaches the endpoint that may
    /// still hold its prompt.
    pub fn shortlist(&self, now: TimePoint, query: &RouteQuery<'_>, key: u64, limit: usize) -> Vec<EndpointRecord> {
        let eligible = self.window(now, query, key, |record| !record.is_ejected(now));
        let suspect = self.suspect_zones(now, query);
        let mut costs: Vec<(f64, &EndpointRecord)> =
            eligible.into_iter().map(|record| (self.cost(now, record, query, &suspect), record)).collect();
        let least = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp).unwrap_or_default();
        let rank = |cost: f64, record: &EndpointRecord| {
            let steps = ((cost - least) / COST_STEP) as u64;
            let is_preferred = query.preferred.contains(&record.id);
            let is_due = query.may_be_trial() && record.errors.is_trial_due(now);
            (Reverse(is_due), steps, Reverse(is_preferred), Reverse(rendezvous_weight(&key.to_be_bytes(), &record.id)))
        };
        costs.sort_by_cached_key(|(cost, record)| rank(*cost, record));
        costs.into_iter().take(limit).map(|(_, record)| record.as_of(now)).collect()
    }

    /// The endpoints that may hold a prompt, those of the own zone first, in the order that all hosts share for `key`.
    ///
    /// The current load is ignored: the prompt was placed by the load at an earlier time, perhaps by another host.
    pub fn likely_holders(
        &self,
        now: TimePoint,
        query: &RouteQuery<'_>,
        key: u64,
        limits: HolderLimits,
    ) -> Vec<EndpointRecord> {
        let mut eligible = self.window(now, query, key, |record| !record.is_ejected(now));
        eligible.sort_by_cached_key(|record| {
            (record.zone != self.zone, Reverse(rendezvous_weight(&key.to_be_bytes(), &record.id)))
        });
        let mut counts: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        eligible.retain(|record| {
            let count = counts.entry(&record.zone).or_default();
            *count += 1;
            *count <= if record.zone == self.zone { limits.own_zone } else { limits.other_zone }
        });
        eligible.into_iter().map(|record| record.as_of(now)).collect()
    }

    /// The endpoints among which a request with an affinity key is placed, best first, whatever their load.
    pub fn affinity_candidates(&self, query: &RouteQuery<'_>, key: u128) -> Vec<EndpointId> {
        let eligible = self.of_service(query.service).filter(|record| query.is_met_by(record)).collect();
        top_ranked(eligible, key).into_iter().map(|record| EndpointId::clone(&record.id)).collect()
    }

    /// The shortest remaining pause among the endpoints for a request; `None` if one of them accepts requests now or
    /// there are none.
    ///
    /// Zero if an endpoint refuses only because this host's share of its rate limit is used up: another host may have
    /// some left. Endpoints that the request avoids count too, since its caller may retry there.
    pub fn shortest_pause(&self, now: TimePoint, query: &RouteQuery<'_>) -> Option<Duration> {
        let query = query.clone().avoid(&[]);
        let eligible = || self.of_service(query.service).filter(|record| query.is_met_by(record));
        if eligible().any(|record| self.admits(now, record, query.slots)) {
            return None;
        }
        eligible().map(|record| self.terms.pause_left(now, &record.id)).min()
    }

    /// The first `ZONE_WINDOW` endpoints per zone, in ring order from `key`, that accept the request now and satisfy
    /// `is_wanted`, and all preferred endpoints that do; ordered by identifier.
    fn window<'t>(
        &'t self,
        now: TimePoint,
        query: &RouteQuery<'_>,
        key: u64,
        is_wanted: impl Fn(&EndpointRecord) -> bool,
    ) -> Vec<&'t EndpointRecord> {
        let is_eligible = |record: &&EndpointRecord| {
            query.is_met_by(record) && self.admits(now, record, query.slots) && is_wanted(record)
        };
        let zones = self.rings.after_position(query.service, key);
        let near = zones.flat_map(|ring| ring.filter_map(|id| self.get(id)).filter(is_eligible).take(ZONE_WINDOW));
        let preferred = query.preferred.iter().filter_map(|id| self.get(id)).filter(is_eligible);
        let mut window: Vec<&EndpointRecord> = near.chain(preferred).collect();
        window.sort_by(|a, b| a.id.cmp(&b.id));
        window.dedup_by(|a, b| a.id == b.id);
        window
    }

    /// All endpoints of a service.
    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = &EndpointRecord> + use<'_> {
        self.rings.of_service(service).filter_map(|id| self.get(id))
    }

    /// The zones of the endpoints that the request avoids, and the zones where several endpoints have just failed.
    fn suspect_zones(&self, now: TimePoint, query: &RouteQuery<'_>) -> Vec<&ZoneName> {
        let avoided = query.avoid.iter().filter_map(|id| self.records.get(id)).map(|record| &record.zone);
        let failing = self.zone_failures.iter().filter(|(_, failures)| failures.is_suspect(now)).map(|(zone, _)| zone);
        avoided.chain(failing).collect()
    }

    /// The cheapest endpoint of a random sample and the preferred endpoints.
    fn best_of_sample<'t>(
        &self,
        now: TimePoint,
        pool: &[&'t EndpointRecord],
        query: &RouteQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'t EndpointRecord> {
        let suspect = self.suspect_zones(now, query);
        let is_preference_skipped = query.preferred.is_empty() || rng.random_ratio(1, PREFERENCE_SKIP_INTERVAL);
        let is_preferred = |record: &EndpointRecord| !is_preference_skipped && query.preferred.contains(&record.id);
        let cost = |record: &EndpointRecord| {
            let slots = query.slots.unwrap_or(record.load.capacity).max(1);
            // The load report of a preferred endpoint still counts the request whose answer it came with.
            let allowance = if is_preferred(record) { PREFERRED_ALLOWANCE / f64::from(slots) } else { 0.0 };
            self.cost(now, record, query, &suspect) - allowance
        };
        let preferred = pool.iter().copied().filter(|record| is_preferred(record));
        let (near, far): (Vec<_>, Vec<_>) = pool.iter().copied().partition(|record| record.zone == self.zone);
        let sample: Vec<&EndpointRecord> = if near.len() >= SAMPLE_SIZE {
            let near = near.choose_multiple(rng, SAMPLE_SIZE).copied().collect::<Vec<_>>();
            near.into_iter().chain(far.choose_multiple(rng, SAMPLE_SIZE).copied()).collect()
        } else {
            pool.choose_multiple(rng, SAMPLE_SIZE).copied().collect()
        };
        let sample = sample.into_iter().chain(preferred);
        sample.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Draws an endpoint at random, with a probability that depends on its slots, pace and cost.
    ///
    /// Endpoints of the same cost get calls in proportion to what they can process. Hosts with the same reports do not
    /// all choose the same endpoint, whatever their number and the age of the reports.
    fn draw_by_pace<'t>(
        &self,
        now: TimePoint,
        pool: &[&'t EndpointRecord],
        query: &RouteQuery<'_>,
        service: &ServicePace,
        rng: &mut impl Rng,
    ) -> Option<&'t EndpointRecord> {
        let suspect = self.suspect_zones(now, query);
        let sample: Vec<&EndpointRecord> = if pool.len() > DRAWN_FROM {
            let preferred = pool.iter().copied().filter(|record| query.preferred.contains(&record.id));
            preferred.take(DRAWN_FROM / 2).chain(pool.choose_multiple(rng, DRAWN_FROM).copied()).collect()
        } else {
            pool.to_vec()
        };
        let weigh = |record: &EndpointRecord| {
            let slots = f64::from(query.slots.unwrap_or(record.load.capacity).max(1));
            let load_cost = self.load_cost(now, record, query, service);
            let fault_cost = fault_cost(now, record, &suspect);
            slots / record.pace.factor(now) * (-load_cost * LOAD_SLOPE - fault_cost * FAULT_SLOPE).exp()
        };
        // The minimum weight keeps the sum of weights above zero when all costs are high.
        let weighted: Vec<(f64, &EndpointRecord)> =
            sample.into_iter().map(|record| (weigh(record).max(f64::MIN_POSITIVE), record)).collect();
        weighted.choose_weighted(rng, |(weight, _)| *weight).ok().map(|(_, record)| *record)
    }

    /// The cost of sending a request to an endpoint, in requests per slot.
    fn cost(&self, now: TimePoint, record: &EndpointRecord, query: &RouteQuery<'_>, suspect: &[&ZoneName]) -> f64 {
        let pressure = record.pressure(query.slots);
        let full = if pressure >= 1.0 { FULL_COST } else { 0.0 };
        pressure + self.distance(record) + full + fault_cost(now, record, suspect)
    }

    /// The expected time until an endpoint begins to process a request plus the cost of the endpoint's zone, in
    /// requests per slot, for a service whose endpoints differ in pace.
    ///
    /// The time that the request itself takes is not part of it: requests are shared out in proportion to the paces
    /// among endpoints of the same cost.
    fn load_cost(&self, now: TimePoint, record: &EndpointRecord, query: &RouteQuery<'_>, service: &ServicePace) -> f64 {
        let run_time = service.run_time(now);
        let slots = f64::from(query.slots.unwrap_or(record.load.capacity).max(1));
        let reported = record.trend.expected(now, run_time, service.load());
        let own = f64::from(record.open) / slots;
        let load = (reported + f64::from(record.sent_since_report) / slots).max(own);
        let queue = record.pace.factor(now) * queue_time(load);
        let network = self.network_time(record).as_secs_f64() / run_time.as_secs_f64().max(1e-3);
        load + queue + network + self.distance(record)
    }

    /// The cost of the zone of an endpoint.
    fn distance(&self, record: &EndpointRecord) -> f64 {
        if record.zone == self.zone { 0.0 } else { self.zone_preference }
    }
}

/// The cost of recent failures of an endpoint and its zone.
fn fault_cost(now: TimePoint, record: &EndpointRecord, suspect: &[&ZoneName]) -> f64 {
    let suspicion = if suspect.contains(&&record.zone) { SUSPECT_ZONE_COST } else { 0.0 };
    suspicion + FAILURE_COST * record.errors.share(now)
}

/// The expected wait for a slot of an endpoint with this mean load, as a multiple of the time that a call takes.
///
/// It rises steeply just below one request per slot, since the load varies around its mean.
fn queue_time(load: f64) -> f64 {
    if load < 1.0 { load.powi(QUEUE_EXPONENT) } else { 1.0 + f64::from(QUEUE_EXPONENT) * (load - 1.0) }
}

/// The endpoint whose trial has been due the longest, if the request can be retried at another endpoint.
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

/// A ring position far from those of times near `now` (Fibonacci hashing), so that successive windows soon cover all
/// endpoints.
fn key_at(now: TimePoint) -> u64 {
    now.as_micros().wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// The endpoints of the highest rendezvous weight for a key, in the same order on every host that knows the same
/// endpoints.
fn top_ranked(mut pool: Vec<&EndpointRecord>, key: u128) -> Vec<&EndpointRecord> {
    pool.sort_by_cached_key(|record| Reverse(rendezvous_weight(&key.to_be_bytes(), &record.id)));
    pool.truncate(EndpointTable::AFFINITY_CANDIDATES);
    pool
}
