use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hollyhook_core::TimePoint;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::engine_model::{EngineModel, Generation};
use super::host_model::{HostModel, PlacementPolicy};
use super::report_log::ReportLog;

/// How often the model notes what an engine would report.
const REPORT_EVERY_US: u64 = 50_000;
/// Entry hosts, as one of the two sites has them.
const HOSTS: usize = 8;
/// The objectives of the sheets: to the first event, and between two.
const FIRST_US: u64 = 4_500_000;
const GAP_US: u64 = 700_000;
/// A generation's size: a prompt of 8,000 tokens and 140 events of 7 tokens, each a third up or down.
const PROMPT: std::ops::Range<u64> = 5_400..10_600;
const OUTPUT: std::ops::Range<u64> = 650..1_310;
/// How long an engine that crashed is down.
const DOWN_US: u64 = 1_200_000;

/// What is played.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetPlan {
    pub(super) policy: PlacementPolicy,
    pub(super) engines: usize,
    pub(super) zones: usize,
    /// Generations a second.
    pub(super) rate: f64,
    /// Seconds of arrivals.
    pub(super) seconds: u64,
    /// Whether the zones crash in turn, one each six seconds.
    pub(super) has_losses: bool,
    pub(super) seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Default)]
pub(super) struct FleetOutcome {
    pub(super) first_us: Vec<u64>,
    pub(super) gaps_us: Vec<u64>,
    /// Generations that met both objectives.
    pub(super) in_time: usize,
    pub(super) all: usize,
    /// Tokens read again after a loss.
    pub(super) read_again: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    Step(usize),
    Report,
    Loss(usize),
}

struct Progress {
    arrived_us: u64,
    last_us: Option<u64>,
    longest_us: u64,
    host: usize,
    engine: usize,
    number: u64,
}

struct FleetModel {
    plan: FleetPlan,
    rng: StdRng,
    engines: Vec<EngineModel>,
    hosts: Vec<HostModel>,
    log: ReportLog,
    queue: BinaryHeap<Reverse<(u64, Happening)>>,
    progress: Vec<Progress>,
    outcome: FleetOutcome,
}

/// Plays a fleet in virtual time; the same plan gives the same outcome.
pub(super) fn play(plan: FleetPlan) -> FleetOutcome {
    let mut fleet = FleetModel {
        plan,
        rng: StdRng::seed_from_u64(plan.seed),
        engines: vec![EngineModel::default(); plan.engines],
        hosts: (0..HOSTS).map(|host| HostModel::new(host % plan.zones, plan.engines, plan.zones)).collect(),
        log: ReportLog::new(plan.engines),
        queue: BinaryHeap::new(),
        progress: Vec::new(),
        outcome: FleetOutcome::default(),
    };
    fleet.queue.push(Reverse((0, Happening::Arrival)));
    fleet.queue.push(Reverse((0, Happening::Report)));
    if plan.has_losses {
        fleet.queue.push(Reverse((5_000_000, Happening::Loss(0))));
    }
    while let Some(Reverse((now_us, happening))) = fleet.queue.pop() {
        fleet.log.advance(now_us);
        fleet.happen(now_us, happening);
    }
    fleet.outcome
}

impl FleetModel {
    fn happen(&mut self, now_us: u64, happening: Happening) {
        let end_us = self.plan.seconds * 1_000_000;
        match happening {
            Happening::Arrival if now_us < end_us => {
                self.arrive(now_us);
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.plan.rate;
                self.queue.push(Reverse((now_us + (gap * 1e6) as u64, Happening::Arrival)));
            }
            Happening::Step(engine) => self.step(now_us, engine),
            Happening::Report if now_us < end_us => {
                self.note_reports(now_us);
                self.queue.push(Reverse((now_us + REPORT_EVERY_US, Happening::Report)));
            }
            // The time of arrivals is over.
            Happening::Arrival | Happening::Report => {}
            Happening::Loss(zone) => self.lose(now_us, zone, end_us),
        }
    }

    fn arrive(&mut self, now_us: u64) {
        let number = self.rng.random();
        let host = self.rng.random_range(0..HOSTS);
        let (prompt, output) = (self.rng.random_range(PROMPT), self.rng.random_range(OUTPUT));
        let index = self.progress.len();
        let progress = Progress { arrived_us: now_us, last_us: None, longest_us: 0, host, engine: 0, number };
        self.progress.push(progress);
        self.outcome.all += 1;
        self.place(now_us, Generation::new(index, prompt, output));
    }

    fn place(&mut self, now_us: u64, generation: Generation) {
        let progress = &mut self.progress[generation.number];
        let tokens = generation.prompt_tokens + generation.output_tokens;
        let now = TimePoint::from_micros(now_us);
        let host = &mut self.hosts[progress.host];
        let engine = host.place(self.plan.policy, now, (progress.number, tokens), &self.log, &mut self.rng);
        progress.engine = engine;
        let was_idle = self.engines[engine].next_us.is_none();
        self.engines[engine].take(now_us, generation);
        if let (true, Some(next_us)) = (was_idle, self.engines[engine].next_us) {
            self.queue.push(Reverse((next_us, Happening::Step(engine))));
        }
    }

    fn step(&mut self, now_us: u64, engine: usize) {
        // A step of before a crash.
        if self.engines[engine].next_us != Some(now_us) {
            return;
        }
        for event in self.engines[engine].step(now_us) {
            let progress = &mut self.progress[event.number];
            match progress.last_us {
                None => self.outcome.first_us.push(now_us - progress.arrived_us),
                Some(last_us) => progress.longest_us = progress.longest_us.max(now_us - last_us),
            }
            let is_first_late = progress.last_us.is_none() && now_us - progress.arrived_us > FIRST_US;
            if is_first_late {
                progress.longest_us = u64::MAX;
            }
            progress.last_us = Some(now_us);
            if event.is_last {
                self.outcome.in_time += usize::from(progress.longest_us <= GAP_US);
                self.outcome.gaps_us.push(progress.longest_us.min(FIRST_US * 10));
                self.hosts[progress.host].close(progress.engine);
            }
        }
        if let Some(next_us) = self.engines[engine].next_us {
            self.queue.push(Reverse((next_us, Happening::Step(engine))));
        }
    }

    fn note_reports(&mut self, now_us: u64) {
        for (number, engine) in self.engines.iter().enumerate() {
            self.log.note(number, now_us, engine.report());
        }
    }

    /// Nine in ten engines of a zone crash; what they had goes on elsewhere from the start of its prompt.
    fn lose(&mut self, now_us: u64, zone: usize, end_us: u64) {
        let mut lost = Vec::new();
        for engine in (zone..self.plan.engines).step_by(self.plan.zones) {
            if self.rng.random::<f64>() < 0.9 {
                self.log.take_down(engine, now_us + DOWN_US);
                lost.extend(self.engines[engine].crash().into_iter().map(|generation| (engine, generation)));
            }
        }
        for (engine, generation) in lost {
            self.hosts[self.progress[generation.number].host].close(engine);
            self.outcome.read_again += generation.prompt_tokens;
            let again = Generation::new(generation.number, generation.prompt_tokens, generation.output_tokens);
            self.place(now_us, again);
        }
        let next_us = now_us + 6_000_000;
        if next_us < end_us {
            self.queue.push(Reverse((next_us, Happening::Loss((zone + 1) % self.plan.zones))));
        }
    }
}
