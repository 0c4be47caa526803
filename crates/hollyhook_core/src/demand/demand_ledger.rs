use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{DemandSummary, ServiceDemand};
use crate::{Name, TimePoint};

/// Length of the interval whose requests are counted together.
const BUCKET: Duration = Duration::from_millis(250);
/// Buckets over which rates are measured, the current one included: two seconds. Long enough to measure a few requests
/// per second, and short enough for shares to follow a change of demand within a few seconds.
const BUCKETS: u64 = 8;
/// Shortest time over which rates are measured: over less, a few requests would count as a high rate.
const MIN_SPAN: Duration = Duration::from_millis(500);
/// How long after its last request a host counts as one that has demand.
const DEMAND_TIME: Duration = Duration::from_secs(10);
/// Number of calls over which the mean time of a call is taken; the weight of older ones decreases.
const MEAN_CALLS: u32 = 200;

/// Measures this host's demand and completed calls by service, over the last two seconds.
///
/// ```
/// use hollyhook_core::{DemandLedger, TimePoint};
///
/// let mut ledger = DemandLedger::default();
/// for millis in (0..2_000).step_by(100) {
///     ledger.count_request(TimePoint::from_millis(millis), &"desk".into(), 1);
/// }
/// let summary = ledger.summary(TimePoint::from_millis(2_000), &["desk".into()].into());
/// assert!((summary.services["desk"].rates[&1] - 10.0).abs() < 1.0);
/// ```
#[derive(Debug, Default)]
pub struct DemandLedger {
    services: BTreeMap<Name, ServiceWindow>,
}

#[derive(Debug)]
struct ServiceWindow {
    /// When the first request was counted.
    began_at: TimePoint,
    /// When the last request was counted.
    requested_at: TimePoint,
    buckets: VecDeque<CountBucket>,
    call_ms: f64,
    samples: u32,
}

#[derive(Debug)]
struct CountBucket {
    /// The number of the bucket since the start of the driver.
    number: u64,
    requests: BTreeMap<u8, u32>,
    completed: u32,
}

impl DemandLedger {
    /// Counts an arriving request of a caller.
    pub fn count_request(&mut self, now: TimePoint, service: &Name, priority: u8) {
        let window = self.window(now, service);
        window.requested_at = now;
        *window.bucket(now).requests.entry(priority).or_default() += 1;
    }

    /// Counts a completed call.
    pub fn count_completion(&mut self, now: TimePoint, service: &Name) {
        self.window(now, service).bucket(now).completed += 1;
    }

    /// Records how long a call took that did not wait in a queue at its endpoint.
    pub fn record_call_time(&mut self, now: TimePoint, service: &Name, took: Duration) {
        let window = self.window(now, service);
        window.samples = (window.samples + 1).min(MEAN_CALLS);
        window.call_ms += (took.as_secs_f64() * 1e3 - window.call_ms) / f64::from(window.samples);
    }

    /// Whether requests of a service were counted within `DEMAND_TIME`.
    pub fn has_demand(&self, now: TimePoint, service: &str) -> bool {
        self.services.get(service).is_some_and(|window| now.since(window.requested_at) <= DEMAND_TIME)
    }

    /// The demand for some services, as this host sends it to others.
    pub fn summary(&mut self, now: TimePoint, services: &BTreeSet<Name>) -> DemandSummary {
        let measured = services.iter().filter_map(|service| {
            let window = self.services.get_mut(service)?;
            Some((Name::clone(service), window.demand(now)))
        });
        DemandSummary { hosts: 1, services: measured.collect(), paces: Vec::new() }.bounded()
    }

    fn window(&mut self, now: TimePoint, service: &Name) -> &mut ServiceWindow {
        self.services.entry(Name::clone(service)).or_insert_with(|| ServiceWindow {
            began_at: now,
            requested_at: now,
            buckets: VecDeque::new(),
            call_ms: 0.0,
            samples: 0,
        })
    }
}

impl ServiceWindow {
    fn bucket(&mut self, now: TimePoint) -> &mut CountBucket {
        self.expire(now);
        let number = bucket_number(now);
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(CountBucket { number, requests: BTreeMap::new(), completed: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn expire(&mut self, now: TimePoint) {
        let first_number = first_number(now);
        while self.buckets.front().is_some_and(|first| first.number < first_number) {
            self.buckets.pop_front();
        }
    }

    fn demand(&mut self, now: TimePoint) -> ServiceDemand {
        self.expire(now);
        let window_began = TimePoint::ZERO + BUCKET * first_number(now) as u32;
        let span = now.since(window_began.max(self.began_at)).max(MIN_SPAN).as_secs_f64();
        let mut demand = ServiceDemand { call_ms: self.call_ms, samples: self.samples, ..ServiceDemand::default() };
        for bucket in &self.buckets {
            for (priority, count) in &bucket.requests {
                *demand.rates.entry(*priority).or_default() += f64::from(*count) / span;
            }
            demand.completed += f64::from(bucket.completed) / span;
        }
        demand
    }
}

fn bucket_number(now: TimePoint) -> u64 {
    now.as_micros() / BUCKET.as_micros() as u64
}

/// The number of the oldest bucket over which rates are measured.
fn first_number(now: TimePoint) -> u64 {
    (bucket_number(now) + 1).saturating_sub(BUCKETS)
}
