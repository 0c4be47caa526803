//! Hosts with queues before endpoints with few slots, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use hollyhook_core::{
    AccountName, DispatchRate, QueueLimits, QueueRefusal, QueueRequest, RequestQueue, RetryWindow, TimePoint,
};
use rand::Rng;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

const ENDPOINTS: usize = 4;
const SLOTS: usize = 3;
const CALL_TIME: Duration = Duration::from_millis(30);
const OBJECTIVE: Duration = Duration::from_millis(150);
pub const TIMEOUT: Duration = Duration::from_millis(2_500);
const LIMITS: QueueLimits = QueueLimits { requests: 1_000, bytes: 1 << 24, minimum_share: 0.02 };
/// Requests that arrive in this first time are not counted: hosts that have just started measure their throughput.
const WARM_UP: Duration = Duration::from_millis(3_500);
const ARRIVALS_END: Duration = Duration::from_secs(7);
/// How often hosts check which requests can still end in time.
const TICK: Duration = Duration::from_millis(10);
/// Attempts of a request without a turn, and in each turn, as in the gateway.
const ATTEMPTS: usize = 3;
const TURN_ATTEMPTS: usize = 2;

/// Calls per second that the endpoints can run.
const CAPACITY: f64 = (ENDPOINTS * SLOTS) as f64 * 1e6 / CALL_TIME.as_micros() as f64;

/// Requests per second of one account and priority, as a fraction of the capacity.
#[derive(Debug, Clone)]
pub struct Demand {
    pub priority: u8,
    pub account: &'static str,
    pub load: f64,
}

/// What became of the counted requests of one demand.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub requests: usize,
    pub in_time: usize,
    pub served: usize,
    pub refused: BTreeMap<QueueRefusal, usize>,
    /// The longest time after which a request was refused.
    pub latest_refusal: Duration,
}

impl Outcome {
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }

    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.served += other.served;
        self.latest_refusal = self.latest_refusal.max(other.latest_refusal);
        for (refusal, count) in &other.refused {
            *self.refused.entry(*refusal).or_default() += count;
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    /// An endpoint ends a call.
    End {
        endpoint: usize,
        request: usize,
    },
    /// A request that endpoints rejected joins the queue again.
    Return(usize),
    Tick(usize),
}

struct Request {
    host: usize,
    demand: usize,
    arrived: TimePoint,
    rounds: usize,
    is_done: bool,
}

struct Host {
    queue: RequestQueue,
    rate: DispatchRate,
    budget: RetryWindow,
    waiting: BTreeMap<u64, usize>,
}

pub struct Simulation {
    rng: Pcg64,
    demands: Vec<Demand>,
    /// Whether all requests are queued alike, in the order in which they arrive.
    is_first_come: bool,
    hosts: Vec<Host>,
    running: [usize; ENDPOINTS],
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(TimePoint, usize, Event)>>,
    event_count: usize,
    now: TimePoint,
    pub outcomes: Vec<Outcome>,
}

impl Simulation {
    pub fn new(seed: u64, hosts: usize, demands: &[Demand]) -> Self {
        let host = || Host {
            queue: RequestQueue::new(LIMITS, TimePoint::ZERO),
            rate: DispatchRate::new(TimePoint::ZERO, CALL_TIME),
            budget: RetryWindow::new(Duration::from_secs(10), 0.6, 9),
            waiting: BTreeMap::new(),
        };
        Self {
            rng: Pcg64::seed_from_u64(seed),
            demands: demands.to_vec(),
            is_first_come: false,
            hosts: (0..hosts).map(|_| host()).collect(),
            running: [0; ENDPOINTS],
            requests: Vec::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            now: TimePoint::ZERO,
            outcomes: vec![Outcome::default(); demands.len()],
        }
    }

    /// Queues all requests alike.
    pub fn first_come(mut self) -> Self {
        self.is_first_come = true;
        self
    }

    pub fn run(mut self) -> Self {
        for demand in 0..self.demands.len() {
            self.schedule_arrival(demand);
        }
        for host in 0..self.hosts.len() {
            self.schedule(TICK, Event::Tick(host));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > TimePoint::ZERO + ARRIVALS_END + TIMEOUT * 2 {
                break;
            }
            self.now = at;
            match event {
                Event::Arrival(demand) => self.arrive(demand),
                Event::End { endpoint, request } => self.end(endpoint, request),
                Event::Return(request) => self.push(request),
                Event::Tick(host) => {
                    self.expire(host);
                    self.pump(host);
                    self.schedule(TICK, Event::Tick(host));
                }
            }
        }
        assert!(self.requests.iter().all(|request| request.is_done), "a request got no answer");
        self
    }

    fn schedule(&mut self, span: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + span, self.event_count, event)));
    }

    fn schedule_arrival(&mut self, demand: usize) {
        let rate = self.demands[demand].load * CAPACITY;
        let span = Duration::from_secs_f64(-self.rng.random::<f64>().max(1e-9).ln() / rate);
        if self.now + span < TimePoint::ZERO + ARRIVALS_END {
            self.schedule(span, Event::Arrival(demand));
        }
    }

    fn arrive(&mut self, demand: usize) {
        self.schedule_arrival(demand);
        let host = self.rng.random_range(0..self.hosts.len());
        self.requests.push(Request { host, demand, arrived: self.now, rounds: 0, is_done: false });
        let request = self.requests.len() - 1;
        self.hosts[host].budget.earn(self.now);
        let is_free = self.hosts[host].queue.is_empty() && !self.hosts[host].rate.is_overloaded(self.now);
        if is_free { self.send(request, ATTEMPTS) } else { self.push(request) }
    }

    fn push(&mut self, request: usize) {
        let now = self.now;
        let Request { host, demand, arrived, .. } = self.requests[request];
        let Demand { priority, account, .. } = self.demands[demand];
        let (priority, account) = if self.is_first_come { (0, "all") } else { (priority, account) };
        let place = QueueRequest::new(AccountName::from(account), priority, arrived).deadline(arrived + TIMEOUT);
        let place = if self.is_first_come { place } else { place.objective(arrived + OBJECTIVE) };
        let host_state = &mut self.hosts[host];
        host_state.queue.set_call_time(host_state.rate.call_time());
        host_state.rate.record_arrival(now, priority);
        match host_state.queue.push(now, place, host_state.rate.expected_rate(now)) {
            Ok((id, displaced)) => {
                host_state.waiting.insert(id, request);
                let displaced: Vec<_> =
                    displaced.iter().filter_map(|place| host_state.waiting.remove(&place.id)).collect();
                for request in displaced {
                    self.refuse(request, QueueRefusal::Displaced);
                }
            }
            Err(refusal) => self.refuse(request, refusal),
        }
        self.pump(host);
    }

    fn expire(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        for (place, refusal) in state.queue.expire(self.now, state.rate.expected_rate(self.now)) {
            let request = self.hosts[host].waiting.remove(&place.id).unwrap();
            self.refuse(request, refusal);
        }
    }

    fn pump(&mut self, host: usize) {
        let now = self.now;
        loop {
            let state = &mut self.hosts[host];
            let rate = &state.rate;
            let Some(place) = state.queue.pop(now, |priority| rate.opens_at(now, priority) <= now) else {
                return;
            };
            state.rate.take(now, place.priority);
            let request = state.waiting.remove(&place.id).unwrap();
            self.send(request, TURN_ATTEMPTS);
        }
    }

    /// Sends a request to endpoints in random order, until one runs it or the round is over.
    fn send(&mut self, request: usize, attempts: usize) {
        let Request { host, rounds, .. } = self.requests[request];
        let first = self.rng.random_range(0..ENDPOINTS);
        for attempt in 0..attempts {
            if attempt + rounds > 0 && !self.hosts[host].budget.try_spend(self.now) {
                break;
            }
            let endpoint = (first + attempt) % ENDPOINTS;
            if self.running[endpoint] < SLOTS {
                self.running[endpoint] += 1;
                let took = CALL_TIME.mul_f64(self.rng.random_range(0.7..1.3));
                return self.schedule(took, Event::End { endpoint, request });
            }
            let is_last = attempt + 1 == attempts;
            self.hosts[host].rate.record_rejection(self.now, is_last);
        }
        let spacing = Duration::from_millis(10) * 2_u32.pow(rounds.min(5) as u32);
        self.requests[request].rounds += 1;
        let arrived = self.requests[request].arrived;
        if self.now + spacing > arrived + TIMEOUT.mul_f64(1.0 - RequestQueue::RESERVED_TIME) {
            return self.refuse(request, QueueRefusal::TooLate);
        }
        self.schedule(spacing, Event::Return(request));
    }

    fn end(&mut self, endpoint: usize, request: usize) {
        self.running[endpoint] -= 1;
        let age = self.now.since(self.requests[request].arrived);
        let host = self.requests[request].host;
        if let Some(outcome) = self.finish(request) {
            outcome.served += 1;
            outcome.in_time += usize::from(age <= OBJECTIVE);
        }
        self.hosts[host].rate.record_success(self.now, CALL_TIME);
        self.pump(host);
    }

    fn refuse(&mut self, request: usize, refusal: QueueRefusal) {
        let age = self.now.since(self.requests[request].arrived);
        if let Some(outcome) = self.finish(request) {
            *outcome.refused.entry(refusal).or_default() += 1;
            outcome.latest_refusal = outcome.latest_refusal.max(age);
        }
    }

    /// Records the only answer to a request; returns its outcome if it counts.
    fn finish(&mut self, request: usize) -> Option<&mut Outcome> {
        let request = &mut self.requests[request];
        assert!(!std::mem::replace(&mut request.is_done, true), "a request got two answers");
        if request.arrived < TimePoint::ZERO + WARM_UP {
            return None;
        }
        let outcome = &mut self.outcomes[request.demand];
        outcome.requests += 1;
        Some(outcome)
    }
}
