use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hollyhook_core::TimePoint;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::engine_model::{EngineModel, Generation};
use super::host_model::{HostModel, PlacementPolicy};
use super::report_log::ReportLog;

/// Interval at which the model records the engines' load reports.
const REPORT_INTERVAL_US: u64 = 50_000;
/// Number of entry hosts, as at one of the two sites.
const HOSTS: usize = 8;
/// Objective for the time to a generation's first event, from the data sheets of the deployments.
const FIRST_EVENT_OBJECTIVE_US: u64 = 4_500_000;
/// Objective for the time between two events, from the same data sheets.
const EVENT_GAP_OBJECTIVE_US: u64 = 700_000;
/// Tokens of a prompt: 8,000 on average, varied by about a third either way.
const PROMPT_TOKENS: std::ops::Range<u64> = 5_400..10_600;
/// Tokens of an output: 140 events of 7 tokens on average, varied by about a third either way.
const OUTPUT_TOKENS: std::ops::Range<u64> = 650..1_310;
/// Time for which a crashed engine is down.
const DOWNTIME_US: u64 = 1_200_000;

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetScenario {
    pub(super) policy: PlacementPolicy,
    pub(super) engines: usize,
    pub(super) zones: usize,
    /// Generations that arrive per second.
    pub(super) rate: f64,
    /// Seconds during which generations arrive.
    pub(super) seconds: u64,
    /// Whether the zones crash in turn, one every six seconds.
    pub(super) has_zone_crashes: bool,
    pub(super) seed: u64,
}

/// Results of a simulation.
#[derive(Debug, Clone, Default)]
pub(super) struct FleetOutcome {
    /// Time to the first event of each generation that had one.
    pub(super) first_us: Vec<u64>,
    /// Longest time between two events of each generation that ended, capped at 45 s, which is also recorded if the
    /// first event missed its objective.
    pub(super) longest_gaps_us: Vec<u64>,
    /// Generations that met both objectives.
    pub(super) in_time: usize,
    /// Generations that arrived.
    pub(super) total: usize,
    /// Prompt tokens of the generations that were restarted after their engine crashed.
    pub(super) reread_tokens: u64,
}

/// Event of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    /// A generation arrives.
    Arrival,
    /// A step of the engine of this number ends.
    Step(usize),
    /// The engines' load reports are recorded.
    Report,
    /// The zone of this number crashes.
    ZoneCrash(usize),
}

/// Progress of one generation.
struct Progress {
    arrived_us: u64,
    last_event_us: Option<u64>,
    /// Longest time between two events; `u64::MAX` if the first event missed its objective.
    longest_gap_us: u64,
    host: usize,
    engine: usize,
    /// Key of the prompt, which determines an order of the engines that is the same at all hosts.
    prompt_key: u64,
}

struct FleetModel {
    scenario: FleetScenario,
    rng: StdRng,
    engines: Vec<EngineModel>,
    hosts: Vec<HostModel>,
    log: ReportLog,
    queue: BinaryHeap<Reverse<(u64, FleetEvent)>>,
    progress: Vec<Progress>,
    outcome: FleetOutcome,
}

/// Simulates a fleet in virtual time; the same scenario gives the same outcome.
pub(super) fn simulate(scenario: FleetScenario) -> FleetOutcome {
    let mut fleet = FleetModel {
        scenario,
        rng: StdRng::seed_from_u64(scenario.seed),
        engines: vec![EngineModel::default(); scenario.engines],
        hosts: (0..HOSTS).map(|host| HostModel::new(host % scenario.zones, scenario.engines, scenario.zones)).collect(),
        log: ReportLog::new(scenario.engines),
        queue: BinaryHeap::new(),
        progress: Vec::new(),
        outcome: FleetOutcome::default(),
    };
    fleet.queue.push(Reverse((0, FleetEvent::Arrival)));
    fleet.queue.push(Reverse((0, FleetEvent::Report)));
    if scenario.has_zone_crashes {
        fleet.queue.push(Reverse((5_000_000, FleetEvent::ZoneCrash(0))));
    }
    while let Some(Reverse((now_us, event))) = fleet.queue.pop() {
        fleet.log.advance(now_us);
        fleet.handle(now_us, event);
    }
    fleet.outcome
}

impl FleetModel {
    fn handle(&mut self, now_us: u64, event: FleetEvent) {
        let end_us = self.scenario.seconds * 1_000_000;
        match event {
            FleetEvent::Arrival if now_us < end_us => {
                self.arrive(now_us);
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.scenario.rate;
                self.queue.push(Reverse((now_us + (gap * 1e6) as u64, FleetEvent::Arrival)));
            }
            FleetEvent::Step(engine) => self.step(now_us, engine),
            FleetEvent::Report if now_us < end_us => {
                self.record_reports(now_us);
                self.queue.push(Reverse((now_us + REPORT_INTERVAL_US, FleetEvent::Report)));
            }
            // After the end of the arrivals, neither arrivals nor reports are scheduled again.
            FleetEvent::Arrival | FleetEvent::Report => {}
            FleetEvent::ZoneCrash(zone) => self.crash_zone(now_us, zone, end_us),
        }
    }

    fn arrive(&mut self, now_us: u64) {
        let prompt_key = self.rng.random();
        let host = self.rng.random_range(0..HOSTS);
        let (prompt, output) = (self.rng.random_range(PROMPT_TOKENS), self.rng.random_range(OUTPUT_TOKENS));
        let index = self.progress.len();
        let progress =
            Progress { arrived_us: now_us, last_event_us: None, longest_gap_us: 0, host, engine: 0, prompt_key };
        self.progress.push(progress);
        self.outcome.total += 1;
        self.place(now_us, Generation::new(index, prompt, output));
    }

    fn place(&mut self, now_us: u64, generation: Generation) {
        let progress = &mut self.progress[generation.index];
        let tokens = generation.prompt_tokens + generation.output_tokens;
        let now = TimePoint::from_micros(now_us);
        let host = &mut self.hosts[progress.host];
        let engine = host.place(self.scenario.policy, now, (progress.prompt_key, tokens), &self.log, &mut self.rng);
        progress.engine = engine;
        let was_idle = self.engines[engine].step_end_us.is_none();
        self.engines[engine].enqueue(now_us, generation);
        if let (true, Some(step_end_us)) = (was_idle, self.engines[engine].step_end_us) {
            self.queue.push(Reverse((step_end_us, FleetEvent::Step(engine))));
        }
    }

    fn step(&mut self, now_us: u64, engine: usize) {
        // The step was scheduled before the engine crashed, and the crash cancelled it.
        if self.engines[engine].step_end_us != Some(now_us) {
            return;
        }
        for event in self.engines[engine].step(now_us) {
            let progress = &mut self.progress[event.index];
            match progress.last_event_us {
                None => self.outcome.first_us.push(now_us - progress.arrived_us),
                Some(last_event_us) => progress.longest_gap_us = progress.longest_gap_us.max(now_us - last_event_us),
            }
            let is_first_late =
                progress.last_event_us.is_none() && now_us - progress.arrived_us > FIRST_EVENT_OBJECTIVE_US;
            if is_first_late {
                progress.longest_gap_us = u64::MAX;
            }
            progress.last_event_us = Some(now_us);
            if event.is_last {
                self.outcome.in_time += usize::from(progress.longest_gap_us <= EVENT_GAP_OBJECTIVE_US);
                self.outcome.longest_gaps_us.push(progress.longest_gap_us.min(FIRST_EVENT_OBJECTIVE_US * 10));
                self.hosts[progress.host].close(progress.engine);
            }
        }
        if let Some(step_end_us) = self.engines[engine].step_end_us {
            self.queue.push(Reverse((step_end_us, FleetEvent::Step(engine))));
        }
    }

    fn record_reports(&mut self, now_us: u64) {
        for (number, engine) in self.engines.iter().enumerate() {
            self.log.record(number, now_us, engine.report());
        }
    }

    /// Crashes each engine of a zone with a probability of 0.9, and places its generations again, each from the start
    /// of its prompt.
    fn crash_zone(&mut self, now_us: u64, zone: usize, end_us: u64) {
        let mut lost = Vec::new();
        for engine in (zone..self.scenario.engines).step_by(self.scenario.zones) {
            if self.rng.random::<f64>() < 0.9 {
                self.log.take_down(engine, now_us + DOWNTIME_US);
                lost.extend(self.engines[engine].crash().into_iter().map(|generation| (engine, generation)));
            }
        }
        for (engine, generation) in lost {
            self.hosts[self.progress[generation.index].host].close(engine);
            self.outcome.reread_tokens += generation.prompt_tokens;
            let restarted = Generation::new(generation.index, generation.prompt_tokens, generation.output_tokens);
            self.place(now_us, restarted);
        }
        let next_us = now_us + 6_000_000;
        if next_us < end_us {
            self.queue.push(Reverse((next_us, FleetEvent::ZoneCrash((zone + 1) % self.scenario.zones))));
        }
    }
}
