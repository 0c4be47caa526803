use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::owner_inquiry::OwnerInquiry;
use super::wait_counter::WaitCounter;
use super::{LEASE_TIME, LeaseCandidate, LeasedLimit};
use crate::{EndpointId, TimePoint};

/// Leases that end within this time are renewed while they are needed.
const RENEWAL_TIME: Duration = Duration::from_millis(500);
/// Span over which the requests open at a time are averaged.
const USAGE_SPAN: Duration = Duration::from_millis(300);
/// A host keeps this multiple of the slots that it uses on average, so that a host with many callers need not ask for each
/// request. One with few callers gives a slot back when its request ends.
const KEPT_FACTOR: f64 = 1.5;
/// What an endpoint of another zone costs, as a fraction of its slots.
const ZONE_COST: f64 = 0.25;

/// The slots of a service's endpoints that this host has leased.
#[derive(Debug, Default)]
pub(super) struct SlotLeases {
    waits: WaitCounter,
    usage: MeanOpen,
    leases: BTreeMap<EndpointId, SlotLease>,
}

#[derive(Debug, Default)]
struct SlotLease {
    count: u32,
    until: TimePoint,
    inquiry: OwnerInquiry,
}

impl SlotLease {
    fn count(&self, now: TimePoint) -> u32 {
        if now < self.until { self.count } else { 0 }
    }
}

impl SlotLeases {
    pub(super) fn record_wait(&mut self, now: TimePoint) {
        self.waits.add(now);
    }

    /// Records how many requests are open when one has just been sent.
    pub(super) fn record_open(&mut self, now: TimePoint, open: u32) {
        self.waits.remove_one();
        self.usage.update(now, open);
    }

    pub(super) fn is_active(&self, now: TimePoint) -> bool {
        self.waits.count(now) > 0
            || self.leases.values().any(|lease| lease.count(now) > 0 || lease.inquiry.is_under_way())
    }

    pub(super) fn count(&self, now: TimePoint, endpoint: &str) -> u32 {
        self.leases.get(endpoint).map_or(0, |lease| lease.count(now))
    }

    /// Whether the answer to a question about an endpoint is late.
    pub(super) fn is_late(&self, now: TimePoint, endpoint: &str) -> bool {
        self.leases.get(endpoint).is_some_and(|lease| lease.inquiry.is_late(now))
    }

    /// The endpoints about whose slots to ask now, and how many of each to ask for.
    pub(super) fn plan(
        &mut self,
        now: TimePoint,
        candidates: &[LeaseCandidate],
        rng: &mut impl Rng,
    ) -> Vec<(EndpointId, u32)> {
        self.leases.retain(|id, lease| lease.inquiry.is_under_way() || candidates.iter().any(|known| known.id == *id));
        let open: u32 = candidates.iter().map(|known| known.open).sum();
        self.usage.update(now, open);
        let kept = (self.usage.mean * KEPT_FACTOR + 0.5) as u32;
        let wanted = kept.max(open + self.waits.count(now));
        let mut plan: Vec<PlannedLease<'_>> =
            candidates.iter().map(|known| PlannedLease::new(now, known, &self.leases, rng)).collect();
        let held: u32 = plan.iter().map(|planned| planned.target).sum();
        if wanted > held {
            add_slots(&mut plan, wanted - held);
        } else {
            drop_slots(&mut plan, held - wanted);
        }
        plan.iter().filter_map(|planned| self.ask(now, planned)).collect()
    }

    /// Asks for what is planned, if that is something else than what is held, or ends soon.
    fn ask(&mut self, now: TimePoint, planned: &PlannedLease<'_>) -> Option<(EndpointId, u32)> {
        let (id, target) = (&planned.candidate.id, planned.target);
        let is_due = target != planned.held || (target > 0 && planned.until.since(now) < RENEWAL_TIME);
        if !planned.is_free || !is_due {
            return None;
        }
        let lease = self.leases.entry(EndpointId::clone(id)).or_default();
        // What is given back is not used from now on, whenever the owner learns of it.
        lease.count = lease.count.min(target);
        lease.inquiry.begin(now, target);
        Some((EndpointId::clone(id), target))
    }

    /// Records the answer to a question of `asked_at`; `None` if there was none.
    pub(super) fn record(&mut self, now: TimePoint, asked_at: TimePoint, endpoint: &EndpointId, leased: Option<u32>) {
        let Some(lease) = self.leases.get_mut(endpoint) else {
            return;
        };
        let leased = leased.unwrap_or_default();
        if leased > 0 {
            (lease.count, lease.until) = (leased, asked_at + LEASE_TIME);
        }
        lease.inquiry.end(now, leased);
    }
}

/// What is to be held of an endpoint's slots.
struct PlannedLease<'c> {
    candidate: &'c LeaseCandidate,
    held: u32,
    until: TimePoint,
    target: u32,
    /// Whether no question about this endpoint is under way.
    is_free: bool,
    may_grow: bool,
    /// Breaks ties between endpoints, so that hosts don't all ask the same owner.
    order: f64,
}

impl<'c> PlannedLease<'c> {
    fn new(
        now: TimePoint,
        candidate: &'c LeaseCandidate,
        leases: &BTreeMap<EndpointId, SlotLease>,
        rng: &mut impl Rng,
    ) -> Self {
        let lease = leases.get(&candidate.id);
        let held = lease.map_or(0, |lease| lease.count(now));
        let expected = lease.and_then(|lease| lease.inquiry.expected(now));
        Self {
            candidate,
            held,
            until: lease.map_or(TimePoint::ZERO, |lease| lease.until),
            target: expected.unwrap_or(held),
            is_free: lease.is_none_or(|lease| !lease.inquiry.is_under_way()),
            may_grow: candidate.is_usable && lease.is_none_or(|lease| lease.inquiry.may_ask(now)),
            order: rng.random::<f64>(),
        }
    }

    fn capacity(&self) -> u32 {
        match self.candidate.limit {
            LeasedLimit::Slots(capacity) => capacity,
            LeasedLimit::Rate(_) => 0,
        }
    }

    /// The fraction of the slots that this host would hold, with what another zone costs.
    fn cost(&self) -> f64 {
        let zone = if self.candidate.is_in_own_zone { 0.0 } else { ZONE_COST };
        f64::from(self.target) / f64::from(self.capacity().max(1)) + zone
    }
}

/// Plans further slots, one by one where this host has the smallest fraction of them.
fn add_slots(plan: &mut [PlannedLease<'_>], missing: u32) {
    for _ in 0..missing {
        let free = plan.iter_mut().filter(|planned| planned.may_grow && planned.target < planned.capacity());
        let by_cost = |a: &&mut PlannedLease<'_>, b: &&mut PlannedLease<'_>| {
            a.cost().total_cmp(&b.cost()).then(a.order.total_cmp(&b.order))
        };
        let Some(best) = free.min_by(by_cost) else {
            return;
        };
        best.target += 1;
    }
}

/// Plans to give slots back that no request uses, first those of endpoints that get no requests.
fn drop_slots(plan: &mut [PlannedLease<'_>], spare: u32) {
    for _ in 0..spare {
        let free = plan.iter_mut().filter(|planned| planned.is_free && planned.target > planned.candidate.open);
        let by_cost = |a: &&mut PlannedLease<'_>, b: &&mut PlannedLease<'_>| {
            let is_usable = |planned: &PlannedLease<'_>| planned.candidate.is_usable;
            is_usable(b).cmp(&is_usable(a)).then(a.cost().total_cmp(&b.cost()))
        };
        let Some(last) = free.max_by(by_cost) else {
            return;
        };
        last.target -= 1;
    }
}

/// How many requests were open at a time, as a mean that forgets.
#[derive(Debug, Default)]
struct MeanOpen {
    mean: f64,
    open: u32,
    at: TimePoint,
}

impl MeanOpen {
    fn update(&mut self, now: TimePoint, open: u32) {
        let weight = (-now.since(self.at).as_secs_f64() / USAGE_SPAN.as_secs_f64()).exp();
        self.mean = self.mean * weight + f64::from(self.open) * (1.0 - weight);
        (self.open, self.at) = (open, now);
    }
}
