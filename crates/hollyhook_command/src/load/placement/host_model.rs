use hollyhook_core::{
    EndpointId, EndpointRecord, EndpointTable, EngineCandidate, RouteQuery, TimePoint, ZoneName, choose_engine,
};
use rand::Rng;
use rand::rngs::StdRng;

use super::engine_model::MEMORY_TOKENS;
use super::report_log::ReportLog;

/// How a host places a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum PlacementPolicy {
    /// In turn.
    RoundRobin,
    /// The one of two drawn at random to which this host has less open.
    TwoChoices,
    /// The one to which this host has least open.
    LeastOpen,
    /// As the gateway does: two in the order that all hosts share are asked.
    AskTwo,
}

/// An entry host that knows only what it sent, and what engines report when asked.
pub(super) struct HostModel {
    table: EndpointTable,
    count: usize,
    turn: usize,
}

impl HostModel {
    pub(super) fn new(zone: usize, engines: usize, zones: usize) -> Self {
        let mut table = EndpointTable::new(zone_name(zone).into()).zone_preference(0.25);
        for number in 0..engines {
            let id = EndpointId::from(number.to_string());
            let address = ([10, 0, (number >> 8) as u8, number as u8], 80).into();
            table.upsert(EndpointRecord::new(id, "model".into(), zone_name(number % zones).into(), address));
        }
        Self { table, count: engines, turn: zone }
    }

    /// Chooses an engine; `is_up` tells which connections are refused.
    pub(super) fn place(
        &mut self,
        policy: PlacementPolicy,
        now: TimePoint,
        prompt: (u64, u64),
        reports: &ReportLog,
        rng: &mut StdRng,
    ) -> usize {
        let chosen = (0..self.count).find_map(|_| {
            let engine = self.choose(policy, now, prompt, reports, rng);
            if reports.is_up(engine) {
                return Some(engine);
            }
            self.table.record_failure(now, &engine.to_string());
            None
        });
        let engine = chosen.unwrap_or(0);
        self.table.record_open(now, &engine.to_string());
        engine
    }

    pub(super) fn close(&mut self, engine: usize) {
        self.table.record_close(&engine.to_string());
    }

    fn choose(
        &mut self,
        policy: PlacementPolicy,
        now: TimePoint,
        (number, tokens): (u64, u64),
        reports: &ReportLog,
        rng: &mut StdRng,
    ) -> usize {
        match policy {
            PlacementPolicy::RoundRobin => {
                self.turn += 1;
                self.turn % self.count
            }
            PlacementPolicy::TwoChoices => {
                let (a, b) = (rng.random_range(0..self.count), rng.random_range(0..self.count));
                if self.open(a) <= self.open(b) { a } else { b }
            }
            PlacementPolicy::LeastOpen => {
                let first = rng.random_range(0..self.count);
                let order = (0..self.count).map(|step| (first + step) % self.count);
                order.min_by_key(|engine| self.open(*engine)).unwrap_or(first)
            }
            PlacementPolicy::AskTwo => self.ask_two(now, number, tokens, reports),
        }
    }

    fn ask_two(&self, now: TimePoint, number: u64, tokens: u64, reports: &ReportLog) -> usize {
        let query = RouteQuery::new("model").slots((MEMORY_TOKENS / tokens.max(1)) as u32);
        let mut list = self.table.shortlist(now, &query, number, 2);
        if let Some(first) = list.first() {
            let zone = ZoneName::clone(&first.zone);
            list.extend(self.table.shortlist(now, &query.avoid_zone(&zone), number, 2));
        }
        let asked: Vec<EngineCandidate> = list
            .into_iter()
            .map(|record| {
                let engine = index(&record.id);
                EngineCandidate { report: reports.report(engine, now), record, held_tokens: 0 }
            })
            .collect();
        let chosen = choose_engine(&asked, tokens).or(asked.first());
        chosen.map_or(0, |candidate| index(&candidate.record.id))
    }

    fn open(&self, engine: usize) -> u32 {
        self.table.get(&engine.to_string()).map_or(0, |record| record.open)
    }
}

fn index(id: &EndpointId) -> usize {
    id.parse().unwrap_or_default()
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}
