//! Placement of generations of different priorities under demand that exceeds the engines' capacity, in virtual time.

use std::time::Duration;

use hollyhook_core::{
    EndpointRecord, EndpointTable, EngineCandidate, EngineReport, EngineRun, EngineSpeed, MemoryForecast,
    PlacementRequest, PlacementVerdict, PromptSize, ReportCache, RouteQuery, ServicePriorities, TimePoint, ZoneName,
    choose_engine, excess_wait, place_by_priority,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::priority_engine::{MEMORY_TOKENS, ModelEngine, ModelRun};

const ENGINES: usize = 48;
const HOSTS: usize = 24;
const ZONES: usize = 4;
/// Generations per second that an engine sustains: reading takes 1.2 s with the steps in between, and nine share the
/// decode steps.
const ENGINE_RATE: f64 = 0.6;
const SECONDS: u64 = 60;
const DEADLINE_MS: u64 = 25_000;
const OBJECTIVES_MS: [u64; 3] = [4_000, 5_000, 10_000];
/// Time between two reports of an engine; hosts see the one before the newest, of 100 to 200 ms ago.
const REPORT_MS: u64 = 100;
/// Time from placing a request to its end, without which a waiting request is refused.
const MIN_SERVICE_MS: u64 = 13_800;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// As without priorities: at the engine of the lowest cost at once, or refused.
    Present,
    ByPriority,
}

struct Request {
    priority: u8,
    size: PromptSize,
    host: usize,
    key: u64,
    arrived_ms: u64,
    first_ms: Option<u64>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    arrived: usize,
    in_time: usize,
    ended: usize,
}

impl Tally {
    fn share(&self) -> f64 {
        self.in_time as f64 / self.arrived.max(1) as f64
    }
}

/// The demand of each priority as a multiple of the engines' capacity, at a time in milliseconds.
type Demand = fn(u64) -> [f64; 3];

struct Scenario {
    policy: Policy,
    demand: Demand,
    has_loss: bool,
    seed: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    tallies: [Tally; 3],
    preempted: usize,
    /// Preemptions while a quarter of the engines had memory for the request.
    needless: usize,
}

impl Outcome {
    fn shares(&self) -> [f64; 3] {
        self.tallies.map(|tally| tally.share())
    }

    fn in_time(&self) -> usize {
        self.tallies.iter().map(|tally| tally.in_time).sum()
    }
}

struct Site {
    scenario: Scenario,
    rng: StdRng,
    /// Draws that only one policy makes, so that both get the same arrivals.
    retry_rng: StdRng,
    engines: Vec<ModelEngine>,
    /// The reports that hosts see, and those that they see next.
    reports: Vec<EngineReport>,
    next_reports: Vec<EngineReport>,
    hosts: Vec<EndpointTable>,
    waiting: Vec<Vec<usize>>,
    /// When each host polls engines again for its first waiting request.
    next_poll_ms: Vec<u64>,
    requests: Vec<Request>,
    priorities: ServicePriorities,
}

fn priorities() -> ServicePriorities {
    (0..).zip(OBJECTIVES_MS.map(Duration::from_millis)).collect()
}

fn simulate(scenario: Scenario) -> Outcome {
    let hosts = (0..HOSTS).map(|host| {
        let mut table = EndpointTable::new(format!("z{}", host % ZONES).into());
        for engine in 0..ENGINES {
            let zone = format!("z{}", engine % ZONES).into();
            let address = ([10, 0, 0, engine as u8], 80).into();
            table.upsert(EndpointRecord::new(engine.to_string().into(), "model".into(), zone, address));
        }
        table
    });
    let empty = EngineReport { total_tokens: MEMORY_TOKENS, ..EngineReport::default() };
    let mut site = Site {
        rng: StdRng::seed_from_u64(scenario.seed),
        retry_rng: StdRng::seed_from_u64(scenario.seed),
        engines: vec![ModelEngine::default(); ENGINES],
        reports: vec![empty.clone(); ENGINES],
        next_reports: vec![empty; ENGINES],
        hosts: hosts.collect(),
        waiting: vec![Vec::new(); HOSTS],
        next_poll_ms: vec![0; HOSTS],
        requests: Vec::new(),
        priorities: priorities(),
        scenario,
    };
    let mut outcome = Outcome::default();
    for now_ms in 0..SECONDS * 1_000 + DEADLINE_MS {
        site.tick(now_ms, &mut outcome);
    }
    for request in &site.requests {
        let tally = &mut outcome.tallies[usize::from(request.priority)];
        tally.arrived += 1;
        let objective = OBJECTIVES_MS[usize::from(request.priority)];
        tally.in_time += usize::from(request.first_ms.is_some_and(|at| at - request.arrived_ms <= objective));
    }
    outcome
}

impl Site {
    fn tick(&mut self, now_ms: u64, outcome: &mut Outcome) {
        if now_ms < SECONDS * 1_000 {
            let capacity = ENGINES as f64 * ENGINE_RATE / 1e3;
            for (priority, demand) in (self.scenario.demand)(now_ms).into_iter().enumerate() {
                if self.rng.random_bool((demand * capacity).min(1.0)) {
                    self.arrive(now_ms, priority as u8);
                }
            }
        }
        if self.scenario.has_loss && now_ms == SECONDS * 500 {
            self.lose_half(now_ms);
        }
        for host in 0..HOSTS {
            if now_ms >= self.next_poll_ms[host] {
                self.poll(now_ms, host);
            }
        }
        for number in 0..ENGINES {
            self.advance(now_ms, number, outcome);
        }
    }

    fn advance(&mut self, now_ms: u64, number: usize, outcome: &mut Outcome) {
        let step = self.engines[number].advance(now_ms, DEADLINE_MS);
        for index in step.first {
            self.requests[index].first_ms.get_or_insert(now_ms);
        }
        for index in &step.ended {
            outcome.tallies[usize::from(self.requests[*index].priority)].ended += 1;
        }
        for index in step.ended.into_iter().chain(step.expired) {
            self.hosts[self.requests[index].host].record_close(&number.to_string());
        }
        if step.preempted > 0 {
            outcome.preempted += step.preempted;
            let live = self.engines.iter().filter(|engine| !engine.is_lost);
            let free = live.filter(|engine| engine.used_tokens() + 10_000 <= MEMORY_TOKENS).count();
            outcome.needless += if free * 4 >= ENGINES { step.preempted } else { 0 };
        }
        if (now_ms + number as u64 * 7).is_multiple_of(REPORT_MS) {
            let newest = self.engines[number].report();
            self.reports[number] = std::mem::replace(&mut self.next_reports[number], newest);
        }
    }

    fn arrive(&mut self, now_ms: u64, priority: u8) {
        let (prompt_tokens, output_tokens) = (self.rng.random_range(5_400..10_600), self.rng.random_range(780..1_560));
        let size = PromptSize { prompt_tokens, output_tokens, expected_tokens: None, own_part: None };
        let (host, key) = (self.rng.random_range(0..HOSTS), self.rng.random());
        let index = self.requests.len();
        self.requests.push(Request { priority, size, host, key, arrived_ms: now_ms, first_ms: None });
        let is_first = self.waiting[host].first().is_none_or(|first| priority < self.requests[*first].priority);
        if !is_first || !self.place(now_ms, index) {
            self.enqueue(now_ms, host, index);
        }
    }

    fn enqueue(&mut self, now_ms: u64, host: usize, index: usize) {
        self.waiting[host].push(index);
        self.sort_waiting(now_ms, host);
    }

    /// Polls engines for the first waiting requests until one finds no capacity; refuses those that can't end in time.
    fn poll(&mut self, now_ms: u64, host: usize) {
        let requests = &self.requests;
        self.waiting[host].retain(|index| now_ms < requests[*index].arrived_ms + DEADLINE_MS - MIN_SERVICE_MS);
        self.sort_waiting(now_ms, host);
        while let Some(index) = self.waiting[host].first().copied() {
            self.requests[index].key = self.retry_rng.random();
            if !self.place(now_ms, index) {
                break;
            }
            self.waiting[host].remove(0);
        }
    }

    /// Orders waiting requests by priority, those that can still meet their objective first, then by arrival.
    fn sort_waiting(&mut self, now_ms: u64, host: usize) {
        let requests = &self.requests;
        self.waiting[host].sort_by_key(|index| {
            let request = &requests[*index];
            let is_lost = now_ms + 1_500 > request.arrived_ms + OBJECTIVES_MS[usize::from(request.priority)];
            (request.priority, is_lost, request.arrived_ms)
        });
    }

    fn candidates(&self, now: TimePoint, host: usize, key: u64) -> Vec<EngineCandidate> {
        let table = &self.hosts[host];
        let query = RouteQuery::new("model").slots(9);
        let mut list = table.shortlist(now, &query, key, 2);
        if let Some(zone) = list.first().map(|record| ZoneName::clone(&record.zone)) {
            let mut others = table.shortlist(now, &query.avoid_zone(&zone), key, usize::MAX);
            let mut zones = std::collections::BTreeSet::new();
            others.retain(|record| zones.insert(ZoneName::clone(&record.zone)));
            list.extend(others.into_iter().take(2));
        }
        list.dedup_by(|a, b| a.id == b.id);
        let polled = list.into_iter().map(|record| {
            let number: usize = record.id.parse().unwrap();
            let report = (!self.engines[number].is_lost).then(|| self.reports[number].clone());
            EngineCandidate { record, report, held_tokens: 0, speed: EngineSpeed::default() }
        });
        polled.collect()
    }

    /// Places a request, or refuses it under the present policy; false if it has to wait.
    fn place(&mut self, now_ms: u64, index: usize) -> bool {
        let now = TimePoint::from_millis(now_ms);
        let request = &self.requests[index];
        let (size, host) = (request.size, request.host);
        let candidates = self.candidates(now, host, request.key);
        let waited = Duration::from_millis(now_ms - request.arrived_ms);
        let time_left = Duration::from_millis(DEADLINE_MS).saturating_sub(waited);
        let chosen = match self.scenario.policy {
            Policy::Present => {
                let best = choose_engine(&candidates, size.memory_tokens());
                best.filter(|best| {
                    let report = best.report.as_ref().unwrap();
                    excess_wait(report, best.speed, size.prompt_tokens, time_left).is_none()
                })
            }
            Policy::ByPriority => {
                let objective = Duration::from_millis(OBJECTIVES_MS[usize::from(request.priority)]);
                let (priority, priorities) = (request.priority, &self.priorities);
                let placement = PlacementRequest { size, priority, objective, waited, time_left, priorities };
                match place_by_priority(&candidates, &placement) {
                    Some(PlacementVerdict::Place(best) | PlacementVerdict::PlaceUrgent(best)) => Some(best),
                    Some(PlacementVerdict::Wait { pause, .. }) => {
                        self.next_poll_ms[host] = now_ms + pause.as_millis() as u64;
                        return false;
                    }
                    None => return false,
                }
            }
        };
        if let Some(chosen) = chosen {
            let number: usize = chosen.record.id.parse().unwrap();
            self.hosts[host].record_open(now, &chosen.record.id);
            let (priority, arrived_ms) = (request.priority, request.arrived_ms);
            self.engines[number].enqueue(ModelRun::new(index, priority, arrived_ms, size));
        }
        true
    }

    fn lose_half(&mut self, now_ms: u64) {
        for number in (0..ENGINES).step_by(2) {
            let lost = self.engines[number].lose();
            for host in &mut self.hosts {
                host.remove(&number.to_string());
            }
            for index in lost {
                // A stream that has begun is always placed again; here only those that have not begun are followed.
                if self.requests[index].first_ms.is_none() && !self.place(now_ms, index) {
                    self.enqueue(now_ms, self.requests[index].host, index);
                }
            }
        }
    }
}

fn run(policy: Policy, demand: Demand, has_loss: bool, seed: u64) -> Outcome {
    simulate(Scenario { policy, demand, has_loss, seed })
}

/// Runs a demand under both policies; prints the shares in time by priority and the preemptions.
fn compare(name: &str, demand: Demand, has_loss: bool) -> [Outcome; 2] {
    [Policy::Present, Policy::ByPriority].map(|policy| {
        let outcome = run(policy, demand, has_loss, 1);
        println!(
            "{name} {policy:?}: in time {:.2?}, {} in all, {:?} arrived, {:?} ended, {} preempted, {} beside memory",
            outcome.shares(),
            outcome.in_time(),
            outcome.tallies.map(|tally| tally.arrived),
            outcome.tallies.map(|tally| tally.ended),
            outcome.preempted,
            outcome.needless
        );
        outcome
    })
}

/// Checks what must hold while requests of the highest priority alone fit the capacity.
fn assert_served_by_priority([present, outcome]: &[Outcome; 2]) {
    let [first, second, third] = outcome.shares();
    assert!(first >= 0.95 && first >= second && second >= third, "{outcome:?}");
    assert!(outcome.in_time() >= present.in_time(), "{outcome:?} {present:?}");
    assert!(outcome.tallies.iter().all(|tally| tally.ended > 0), "a priority starves: {outcome:?}");
    assert!(outcome.preempted * 2 < present.preempted, "{outcome:?} {present:?}");
}

/// Headroom must cost nothing while there is capacity for all, and no more than it gains at the limit.
#[test]
fn demand_up_to_capacity_served() {
    let light = compare("0.5", |_| [0.1, 0.2, 0.2], false);
    assert!(light[1].shares().iter().all(|share| *share >= 0.95), "{light:?}");
    assert_eq!(light[1].preempted, 0);
    let full = compare("1", |_| [0.3, 0.3, 0.4], false);
    let [first, second, _] = full[1].shares();
    assert!(first >= 0.95 && second >= 0.9, "{full:?}");
    assert!(full[1].in_time() >= full[0].in_time(), "{full:?}");
}

/// Requests of low priority must not take the place of higher ones, whatever their number.
#[test]
fn demand_of_twice_the_capacity_served_by_priority() {
    assert_served_by_priority(&compare("2", |_| [0.4, 0.6, 1.0], false));
}

#[test]
fn demand_of_four_times_the_capacity_served_by_priority() {
    assert_served_by_priority(&compare("4", |_| [0.5, 0.5, 3.0], false));
}

#[test]
fn demand_of_middle_priority_served_by_priority() {
    assert_served_by_priority(&compare("4, most of it of the middle priority", |_| [0.4, 3.0, 0.6], false));
}

/// A burst of low priority must not fill the engines before requests of high priority come.
#[test]
fn burst_leaves_headroom() {
    let burst: Demand = |now_ms| [0.5, 0.2, if now_ms / 5_000 % 2 == 0 { 4.0 } else { 0.0 }];
    assert_served_by_priority(&compare("burst", burst, false));
}

/// The higher priorities alone take 0.7 of the capacity, so that the middle one must be served too.
#[test]
fn burst_leaves_headroom_to_the_middle_priority() {
    let burst: Demand = |now_ms| [0.5, 0.2, if now_ms / 5_000 % 2 == 0 { 4.0 } else { 0.0 }];
    let outcome = run(Policy::ByPriority, burst, false, 1);
    assert!(outcome.shares()[1] >= 0.95, "{outcome:?}");
}

/// An engine must not preempt a request while others have memory for it.
#[test]
fn demand_of_twice_the_capacity_preempts_none_beside_memory() {
    let outcome = run(Policy::ByPriority, |_| [0.4, 0.6, 1.0], false, 1);
    assert_eq!(outcome.needless, 0, "{outcome:?}");
}

/// Half of the engines are lost, and what they had not begun is placed again.
#[test]
fn loss_of_half_the_engines_served_by_priority() {
    let [present, outcome] = compare("loss", |_| [0.2, 0.2, 0.4], true);
    let [first, second, third] = outcome.shares();
    assert!(first >= 0.95 && first >= second && second >= third, "{outcome:?}");
    assert!(outcome.in_time() >= present.in_time(), "{outcome:?} {present:?}");
}

fn candidate(reading: u32, used_tokens: u64, run_count: usize, priority: Option<u8>) -> EngineCandidate {
    let runs = (0..run_count).map(|number| EngineRun {
        attempt_id: number.to_string().into(),
        tokens: used_tokens / run_count as u64,
        events: 70,
        priority,
    });
    let runs = runs.collect();
    let report = EngineReport { reading, used_tokens, total_tokens: MEMORY_TOKENS, runs, ..EngineReport::default() };
    let record = EndpointRecord::new("e".into(), "model".into(), "z0".into(), ([10, 0, 0, 1], 80).into());
    EngineCandidate { record, report: Some(report), held_tokens: 0, speed: EngineSpeed::default() }
}

/// The verdict on one engine for a prompt of 8,000 tokens that has waited for `waited_ms`.
fn verdict(candidate: &EngineCandidate, priority: u8, waited_ms: u64) -> &'static str {
    let size = PromptSize { prompt_tokens: 8_000, output_tokens: 1_200, expected_tokens: None, own_part: None };
    let request = PlacementRequest {
        size,
        priority,
        objective: Duration::from_millis(OBJECTIVES_MS[usize::from(priority)]),
        waited: Duration::from_millis(waited_ms),
        time_left: Duration::from_millis(DEADLINE_MS - waited_ms),
        priorities: &priorities(),
    };
    match place_by_priority(std::slice::from_ref(candidate), &request) {
        Some(PlacementVerdict::Place(_)) => "place",
        Some(PlacementVerdict::PlaceUrgent(_)) => "place urgent",
        Some(PlacementVerdict::Wait { shortage, .. }) => shortage.as_str(),
        None => "no report",
    }
}

#[test]
fn place_leaves_headroom_for_higher_priorities() {
    let reading = candidate(1, 40_000, 5, Some(2));
    assert_eq!(verdict(&reading, 0, 0), "place");
    assert_eq!(verdict(&reading, 2, 0), "headroom", "a prompt of priority 0 behind two others would be late");
    assert_eq!(verdict(&candidate(0, 50_000, 5, Some(2)), 2, 0), "place");
    let nearly_full = candidate(0, 72_000, 8, Some(2));
    assert_eq!(verdict(&nearly_full, 0, 0), "place");
    assert_eq!(verdict(&nearly_full, 1, 0), "headroom", "no memory is left for priority 0");
    assert_eq!(verdict(&candidate(0, 85_000, 9, Some(2)), 2, 0), "memory");
}

/// Requests must not wait for headroom until their own objective is lost.
#[test]
fn place_urgent_before_objective_is_lost() {
    let reading = candidate(1, 40_000, 5, Some(2));
    assert_eq!(verdict(&reading, 2, 5_000), "headroom");
    assert_eq!(verdict(&reading, 2, 8_000), "place urgent");
}

/// Without priorities in its report, every run of an engine counts alike.
#[test]
fn place_without_reported_priorities() {
    assert_eq!(verdict(&candidate(1, 50_000, 5, None), 2, 0), "place");
    let silent = EngineCandidate { report: None, ..candidate(0, 0, 0, None) };
    assert_eq!(verdict(&silent, 0, 0), "no report");
}

/// The forecast counts the growth of runs until the first of them ends, not what all need at their ends.
#[test]
fn memory_forecast_peak_before_runs_end() {
    let mut forecast = MemoryForecast::new(&EngineReport { total_tokens: 10_000, ..EngineReport::default() }, 0);
    forecast.add(4_000, 90);
    forecast.add(5_000, 900);
    // The first ends after 90 tokens of each, long before the second has grown.
    assert_eq!((forecast.peak_tokens(), forecast.excess_tokens()), (9_180, 0));
    forecast.add(1_000, 900);
    assert_eq!(forecast.excess_tokens(), 270);
    assert_eq!(forecast.events_until_freed(3_000), Some(10));
}

/// A report that is used too long hides what other hosts have sent meanwhile.
#[test]
fn report_cache_recent_and_bounded() {
    let mut cache = ReportCache::default();
    let at = TimePoint::from_millis;
    for number in 0..1_000_u64 {
        cache.insert(at(number / 10), number.to_string().into(), EngineReport::default());
    }
    assert!(cache.len() <= 256);
    assert!(cache.recent(at(99), "0").is_some());
    assert!(cache.recent(at(100), "0").is_none());
    cache.insert(at(300), "new".into(), EngineReport::default());
    assert!(cache.recent(at(350), "new").is_some() && cache.len() == 1);
}

/// A lower priority must not starve while a higher one takes nearly all of the capacity.
#[test]
fn demand_of_highest_priority_starves_no_other() {
    let outcome = compare("highest priority 0.9", |_| [0.9, 0.1, 0.1], false);
    assert!(outcome[1].tallies.iter().all(|tally| tally.ended * 3 >= tally.arrived), "{outcome:?}");
    compare("highest priority 2", |_| [2.0, 0.5, 0.5], false);
}
