//! The paces of endpoints, and choices by pace.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use hollyhook_core::{EndpointId, EndpointRecord, EndpointTable, LoadReport, PromptRead, RouteQuery, TimePoint};
use rand::Rng;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

/// What endpoints report of their paces.
#[derive(Debug, Clone, Copy)]
enum PaceReports {
    Absent,
    /// Always 100 percent.
    Usual,
    Exact,
}

/// A plain service and the hosts that call it.
#[derive(Debug, Clone)]
struct SiteCase {
    seed: u64,
    hosts: usize,
    zones: usize,
    slots: usize,
    run_ms: f64,
    /// Factor by which each endpoint's calls take longer than `run_ms`.
    paces: Vec<f64>,
    /// Mean requests per slot over all endpoints.
    load: f64,
    /// Demand of each zone's hosts relative to the mean.
    demand: Vec<f64>,
    reports: PaceReports,
    /// Whether a full endpoint rejects calls instead of queueing them.
    rejects: bool,
    /// Whether hosts learn of paces at all.
    has_samples: bool,
    /// Age of the reports in the headers.
    report_age: Duration,
    /// From when other paces apply.
    change: Option<(u64, Vec<f64>)>,
}

impl SiteCase {
    fn new(seed: u64, hosts: usize, paces: Vec<f64>) -> Self {
        Self {
            seed,
            hosts,
            zones: 4,
            slots: 6,
            run_ms: 30.0,
            paces,
            load: 0.75,
            demand: vec![1.0; 4],
            reports: PaceReports::Usual,
            rejects: false,
            has_samples: true,
            report_age: Duration::from_millis(200),
            change: None,
        }
    }

    fn paces_at(&self, at: TimePoint) -> &[f64] {
        match &self.change {
            Some((millis, paces)) if at >= TimePoint::from_millis(*millis) => paces,
            _ => &self.paces,
        }
    }
}

#[derive(Debug, Default)]
struct StandIn {
    running: usize,
    queue: VecDeque<SentCall>,
    /// The running and waiting calls at earlier times.
    history: VecDeque<(TimePoint, u32, u32)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentCall {
    host: usize,
    endpoint: usize,
    /// When its caller sent it to the host.
    arrived: TimePoint,
    sent: TimePoint,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SiteEvent {
    Arrival,
    Sent(SentCall),
    End(SentCall),
    Answer(SentCall),
}

#[derive(Debug, Default)]
struct SiteResult {
    /// Calls that began in each second, by endpoint.
    starts: Vec<BTreeMap<usize, u64>>,
    /// The times that calls took, in milliseconds, with their endpoint and the time of arrival.
    times: Vec<(TimePoint, usize, f64)>,
}

impl SiteResult {
    /// The share of each endpoint in the calls of some seconds.
    fn shares(&self, seconds: std::ops::Range<usize>) -> Vec<f64> {
        let mut counts = BTreeMap::new();
        for (endpoint, count) in self.starts[seconds].iter().flatten() {
            *counts.entry(*endpoint).or_insert(0) += count;
        }
        let total: u64 = counts.values().sum();
        counts.values().map(|count| *count as f64 / total as f64).collect()
    }

    /// The share of calls that took no more than `millis`, from `begin` on.
    fn share_within(&self, begin: TimePoint, millis: f64) -> f64 {
        let times = || self.times.iter().filter(|(at, _, _)| *at >= begin);
        times().filter(|(_, _, took)| *took <= millis).count() as f64 / times().count() as f64
    }
}

/// Simulates a site for some seconds in virtual time.
struct SiteRun {
    case: SiteCase,
    rng: Pcg64,
    now: TimePoint,
    tables: Vec<EndpointTable>,
    endpoints: Vec<StandIn>,
    events: BinaryHeap<std::cmp::Reverse<(TimePoint, u64, SiteEvent)>>,
    number: u64,
    result: SiteResult,
}

const SERVICE: &str = "plain";

fn id(number: usize) -> EndpointId {
    format!("i-{number}").into()
}

fn zone(number: usize) -> hollyhook_core::ZoneName {
    format!("z{number}").into()
}

fn millis(span: f64) -> Duration {
    Duration::from_secs_f64(span / 1e3)
}

impl SiteRun {
    fn new(case: SiteCase) -> Self {
        let table = |host: usize| {
            let mut table = EndpointTable::new(zone(host % case.zones)).zone_preference(0.25);
            for number in 0..case.paces.len() {
                let address = ([10, 0, 0, 1], 8_000 + number as u16).into();
                let record = EndpointRecord::new(id(number), SERVICE.into(), zone(number % case.zones), address);
                table.upsert(record.capacity(case.slots as u32));
            }
            table
        };
        Self {
            rng: Pcg64::seed_from_u64(case.seed),
            now: TimePoint::ZERO,
            tables: (0..case.hosts).map(table).collect(),
            endpoints: case.paces.iter().map(|_| StandIn::default()).collect(),
            events: BinaryHeap::new(),
            number: 0,
            result: SiteResult::default(),
            case,
        }
    }

    fn run(mut self, seconds: usize) -> SiteResult {
        self.result.starts = vec![BTreeMap::new(); seconds + 1];
        self.add(Duration::ZERO, SiteEvent::Arrival);
        while let Some(std::cmp::Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if at >= TimePoint::from_millis(seconds as u64 * 1_000) {
                break;
            }
            match event {
                SiteEvent::Arrival => self.arrive(),
                SiteEvent::Sent(call) => self.start_or_queue(call),
                SiteEvent::End(call) => self.end(call),
                SiteEvent::Answer(call) => self.answer(call),
            }
        }
        self.result
    }

    fn add(&mut self, delay: Duration, event: SiteEvent) {
        self.number += 1;
        self.events.push(std::cmp::Reverse((self.now + delay, self.number, event)));
    }

    /// Time of one way between the zones of a host and an endpoint.
    fn way(&self, call: SentCall) -> Duration {
        let is_near = call.host % self.case.zones == call.endpoint % self.case.zones;
        millis(if is_near { 0.2 } else { 1.0 })
    }

    fn arrive(&mut self) {
        let host = loop {
            let host = self.rng.random_range(0..self.case.hosts);
            if self.rng.random_bool(self.case.demand[host % self.case.zones] / 2.0) {
                break host;
            }
        };
        self.send(host, self.now, &[]);
        let speed: f64 = self.case.paces_at(self.now).iter().map(|pace| 1.0 / pace).sum();
        let rate = self.case.load * self.case.slots as f64 * speed / self.case.run_ms;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.add(millis(gap), SiteEvent::Arrival);
    }

    fn send(&mut self, host: usize, arrived: TimePoint, tried: &[EndpointId]) {
        let query = RouteQuery::new(SERVICE).repeatable(true).avoid(tried);
        let endpoint = self.tables[host].choose(self.now, &query, &mut self.rng).unwrap();
        assert!(self.tables[host].try_open(self.now, &endpoint, None));
        let endpoint = endpoint[2..].parse().unwrap();
        let call = SentCall { host, endpoint, arrived, sent: self.now };
        self.add(self.way(call), SiteEvent::Sent(call));
    }

    /// Rejects a call; its host sends it once more.
    fn reject(&mut self, call: SentCall) {
        let running = self.case.slots as u32;
        let load = LoadReport { running, waiting: 0, capacity: running, pace_percent: None };
        let (table, id) = (&mut self.tables[call.host], id(call.endpoint));
        table.record_load(self.now, &id, load);
        table.record_answer(self.now, &id, true);
        table.record_close(&id);
        if call.sent == call.arrived {
            self.send(call.host, call.arrived, &[id]);
        }
    }

    fn start_or_queue(&mut self, call: SentCall) {
        let is_full = self.endpoints[call.endpoint].running >= self.case.slots;
        if is_full && self.case.rejects {
            return self.reject(call);
        }
        let second = (call.arrived.as_micros() / 1_000_000) as usize;
        *self.result.starts[second].entry(call.endpoint).or_default() += 1;
        if is_full {
            self.endpoints[call.endpoint].queue.push_back(call);
        } else {
            self.start(call);
        }
        self.note(call.endpoint);
    }

    fn start(&mut self, call: SentCall) {
        self.endpoints[call.endpoint].running += 1;
        let pace = self.case.paces_at(self.now)[call.endpoint];
        let took = self.case.run_ms * pace * self.rng.random_range(0.7..1.3);
        self.add(millis(took), SiteEvent::End(call));
    }

    fn end(&mut self, call: SentCall) {
        self.endpoints[call.endpoint].running -= 1;
        if let Some(next) = self.endpoints[call.endpoint].queue.pop_front() {
            self.start(next);
        }
        self.note(call.endpoint);
        self.add(self.way(call), SiteEvent::Answer(call));
    }

    fn note(&mut self, endpoint: usize) {
        let (now, age) = (self.now, self.case.report_age);
        let stand_in = &mut self.endpoints[endpoint];
        stand_in.history.push_back((now, stand_in.running as u32, stand_in.queue.len() as u32));
        while stand_in.history.get(1).is_some_and(|(at, _, _)| now.since(*at) > age) {
            stand_in.history.pop_front();
        }
    }

    fn answer(&mut self, call: SentCall) {
        let (_, running, waiting) = self.endpoints[call.endpoint].history.front().copied().unwrap_or_default();
        let pace = self.case.paces_at(self.now)[call.endpoint];
        let pace_percent = match self.case.reports {
            PaceReports::Absent => None,
            PaceReports::Usual => Some(100),
            PaceReports::Exact => Some((pace * 100.0) as u32),
        };
        let capacity = self.case.slots as u32;
        let load = LoadReport { running, waiting, capacity, pace_percent };
        let network = 2 * self.way(call);
        let (table, id) = (&mut self.tables[call.host], id(call.endpoint));
        if self.case.has_samples {
            table.record_network_time(&zone(call.endpoint % self.case.zones), network);
            table.record_load(self.now, &id, load);
        } else {
            table.update_load(&id, load);
        }
        if self.case.has_samples {
            table.record_call_time(self.now, &id, self.now.since(call.sent), Some(load));
        }
        table.record_answer(self.now, &id, false);
        table.record_close(&id);
        let took = self.now.since(call.arrived).as_secs_f64() * 1e3;
        self.result.times.push((call.arrived, call.endpoint, took));
    }
}

/// Paces from 0.5 to 1.5 of the mean.
fn spread_paces(count: usize) -> Vec<f64> {
    (0..count).map(|number| 0.5 + number as f64 / (count - 1) as f64).collect()
}

/// The largest deviation of an endpoint's share of the load from its share of the speed, relative to the latter.
fn worst_deviation(shares: &[f64], paces: &[f64]) -> f64 {
    let total: f64 = paces.iter().map(|pace| 1.0 / pace).sum();
    let deviations = shares.iter().zip(paces).map(|(share, pace)| (share * pace * total - 1.0).abs());
    deviations.max_by(f64::total_cmp).unwrap()
}

/// A slow endpoint gets as much load as a fast one, whether it reports its pace or only shows it, or hosts overload
/// endpoints in turn as they follow late reports.
#[test]
fn load_follows_pace() {
    for reports in [PaceReports::Absent, PaceReports::Usual, PaceReports::Exact] {
        for seed in 0..4 {
            let paces = spread_paces(8);
            let measure = |has_samples| {
                let case = SiteCase { reports, has_samples, ..SiteCase::new(seed, 71, paces.clone()) };
                let result = SiteRun::new(case).run(30);
                let worst = worst_deviation(&result.shares(15..30), &paces);
                (worst, result.share_within(TimePoint::from_millis(15_000), 225.0))
            };
            let (before, (worst, within)) = (measure(false), measure(true));
            println!("load_follows_pace, {reports:?}, seed {seed}: {worst:.3}, {within:.4}; unpaced {before:.3?}");
            assert!(worst < 0.1 && within > 0.99, "{reports:?}, seed {seed}: {worst:.3}, {within:.4}");
        }
    }
}

/// Hosts take the rejections of full endpoints for failures, so that those get trials first or hardly any calls.
#[test]
fn load_follows_pace_if_full_endpoints_reject() {
    for seed in 0..4 {
        let paces = spread_paces(8);
        let case = SiteCase { rejects: true, ..SiteCase::new(seed, 71, paces.clone()) };
        let worst = worst_deviation(&SiteRun::new(case).run(30).shares(15..30), &paces);
        println!("load_follows_pace_if_full_endpoints_reject, seed {seed}: {worst:.3}");
        assert!(worst < 0.1, "seed {seed}: {worst:.3}");
    }
}

/// An endpoint whose pace changes keeps its former share of the load, or one that recovered does not get its share back.
#[test]
fn load_follows_changed_pace() {
    for seed in 10..14 {
        let before = vec![2.0, 1.0, 0.8, 1.0, 1.2, 0.8, 1.0, 1.0];
        let after = vec![1.0, 0.8, 1.0, 1.2, 1.0, 1.0, 2.0, 0.8];
        let case = SiteCase { change: Some((20_000, after.clone())), ..SiteCase::new(seed, 24, before.clone()) };
        let result = SiteRun::new(case).run(50);
        let worst = [worst_deviation(&result.shares(10..20), &before), worst_deviation(&result.shares(30..50), &after)];
        println!("load_follows_changed_pace, seed {seed}: worst {worst:.3?}");
        assert!(worst.iter().all(|worst| *worst < 0.1), "seed {seed}: {worst:?}");
    }
}

/// Hosts that prefer their own zone overload its only endpoint while those of other zones have free slots, or all
/// choose the one whose last report was best.
#[test]
fn uneven_zones_share_load() {
    for seed in 20..24 {
        let within = |has_samples| {
            let demand = vec![1.5, 1.0, 0.5, 1.0];
            let case = SiteCase { demand, has_samples, ..SiteCase::new(seed, 71, vec![1.0; 4]) };
            SiteRun::new(case).run(30).share_within(TimePoint::from_millis(3_000), 150.0)
        };
        let (before, after) = (within(false), within(true));
        println!("uneven_zones_share_load, seed {seed}: {before:.4} without samples, {after:.4} with them");
        assert!(after > 0.99, "seed {seed}: {after:.4}");
    }
}

const USUAL_LOAD: LoadReport = LoadReport { running: 3, waiting: 0, capacity: 6, pace_percent: None };

/// The table of a host before four endpoints whose calls have taken 30 ms, and the time after that.
fn measured_table() -> (EndpointTable, TimePoint) {
    let mut table = SiteRun::new(SiteCase::new(1, 1, vec![1.0; 4])).tables.remove(0);
    let mut now = TimePoint::from_millis(1_000);
    for call in 0..80 {
        now = now + Duration::from_millis(25);
        table.record_load(now, &id(call % 4), USUAL_LOAD);
        table.record_call_time(now, &id(call % 4), Duration::from_millis(30), Some(USUAL_LOAD));
    }
    (table, now)
}

/// An endpoint counts as slow since its queue is long, a request is long or the link to its zone is slow.
#[test]
fn pace_not_affected_by_queue_request_or_link() {
    let (mut table, mut now) = measured_table();
    let queued = LoadReport { waiting: 4, running: 6, ..USUAL_LOAD };
    for _ in 0..40 {
        now = now + Duration::from_millis(50);
        table.record_call_time(now, &id(0), Duration::from_millis(300), Some(queued));
        table.record_network_time(&zone(2), Duration::from_millis(40));
        table.record_call_time(now, &id(2), Duration::from_millis(70), Some(USUAL_LOAD));
    }
    table.record_call_time(now, &id(1), Duration::from_millis(900), Some(USUAL_LOAD));
    for endpoint in 0..3 {
        let pace = table.pace_of(now, &id(endpoint));
        assert!((pace - 1.0).abs() < 0.1, "endpoint {endpoint}: {pace}");
    }
}

/// An endpoint that gets few requests since it was slow stays slow for ever, or is never found slow.
#[test]
fn pace_returns_to_usual_without_samples() {
    let (mut table, mut now) = measured_table();
    let mut changes = Vec::new();
    for _ in 0..60 {
        now = now + Duration::from_millis(100);
        for other in 1..4 {
            table.record_call_time(now, &id(other), Duration::from_millis(30), Some(USUAL_LOAD));
        }
        changes.extend(table.record_call_time(now, &id(0), Duration::from_millis(75), Some(USUAL_LOAD)));
    }
    assert!(matches!(changes[..], [change] if change.is_slow), "{changes:?}");
    let (slow, usual) = (table.pace_of(now, &id(0)), table.pace_of(now, &id(1)));
    assert!((slow / usual - 2.5).abs() < 0.25, "{slow} against {usual}");
    assert!(table.pace_of(now + Duration::from_secs(6), &id(0)) < 1.5);
    assert!((table.pace_of(now + Duration::from_secs(10), &id(0)) - 1.0).abs() < 1e-9);
}

/// The choice among endpoints of the same pace changes, or hosts choose by pace where nothing reports or shows any.
#[test]
fn choice_unchanged_without_paces() {
    let (mut table, now) = measured_table();
    let mut plain = SiteRun::new(SiteCase::new(1, 1, vec![1.0; 4])).tables.remove(0);
    (0..4).for_each(|endpoint| plain.update_load(&id(endpoint), USUAL_LOAD));
    let (mut rng, mut plain_rng) = (Pcg64::seed_from_u64(3), Pcg64::seed_from_u64(3));
    let query = RouteQuery::new(SERVICE);
    assert_eq!(table.attempt_limit(now, &id(0), Duration::from_millis(150)), None);
    for call in 0..500 {
        let now = now + Duration::from_millis(10 * call);
        let running = rng.random_range(0..8);
        let _same = plain_rng.random_range(0..8);
        let load = LoadReport { running, ..USUAL_LOAD };
        table.record_load(now, &id(call as usize % 4), load);
        plain.update_load(&id(call as usize % 4), load);
        assert_eq!(table.choose(now, &query, &mut rng), plain.choose(now, &query, &mut plain_rng), "call {call}");
    }
}

/// An engine counts as slow since it processes more requests than others, or its speed is not scaled by its pace.
#[test]
fn engine_speed_by_concurrent_requests_and_pace() {
    let (mut table, mut now) = measured_table();
    assert_eq!(table.engine_speed(now, &id(0)), hollyhook_core::EngineSpeed::default());
    for endpoint in (0..4).cycle().take(160) {
        now = now + Duration::from_millis(10);
        let (running, gap) = if endpoint == 1 { (16, 60) } else { (2, 30) };
        table.record_concurrent(&id(endpoint), running);
        table.record_event_time(now, &id(endpoint), Duration::from_millis(gap));
        let read = PromptRead { took: Duration::from_secs(1), tokens: 5_000, load: Some(USUAL_LOAD) };
        table.record_read(now, &id(endpoint), read);
    }
    let (few, many) = (table.engine_speed(now, &id(0)), table.engine_speed(now, &id(1)));
    assert!((table.pace_of(now, &id(1)) - 1.0).abs() < 0.1, "{}", table.pace_of(now, &id(1)));
    assert!(
        (few.event_time.as_secs_f64() - 0.030).abs() < 0.003 && (many.event_time.as_secs_f64() - 0.060).abs() < 0.006
    );
    assert!((few.read_tokens_per_ms - 5.0).abs() < 0.5, "{few:?}");
    for _ in 0..40 {
        now = now + Duration::from_millis(10);
        table.record_event_time(now, &id(0), Duration::from_millis(60));
    }
    let slow = table.engine_speed(now, &id(0));
    assert!((slow.event_time.as_secs_f64() - 0.060).abs() < 0.009, "{slow:?}");
}

/// An attempt at a stuck endpoint takes all the time of an objective that is long against a call, or one at a slow
/// endpoint ends before the call does.
#[test]
fn attempt_limit_by_pace() {
    let (mut table, mut now) = measured_table();
    let objective = Duration::from_millis(300);
    for _ in 0..60 {
        now = now + Duration::from_millis(50);
        let load = LoadReport { pace_percent: Some(300), ..USUAL_LOAD };
        table.record_load(now, &id(0), load);
    }
    let limit = |endpoint| table.attempt_limit(now, &id(endpoint), objective).unwrap().as_millis();
    assert!((230..260).contains(&limit(1)), "{}", limit(1));
    assert!((680..740).contains(&limit(0)), "{}", limit(0));
}
