use hollyhook_core::{
    EndpointId, EndpointRecord, EndpointTable, EngineCandidate, EngineSpeed, RouteQuery, TimePoint, ZoneName,
    choose_engine,
};
use rand::Rng;
use rand::rngs::StdRng;

use super::engine_model::KV_CAPACITY_TOKENS;
use super::report_log::ReportLog;

/// Policy by which a host chooses an engine for a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum PlacementPolicy {
    /// Each engine in turn.
    RoundRobin,
    /// Of two engines drawn at random, the one with fewer open requests of this host.
    TwoChoices,
    /// The engine with the fewest open requests of this host.
    LeastOpen,
    /// The gateway's policy: fetches load reports from up to four engines and chooses by the reports. Two engines come
    /// from an order that all hosts share for the prompt, two from outside the zone of the first engine.
    AskTwo,
}

/// Model of an entry host, which knows only its own requests and the reports that it fetches from engines.
pub(super) struct HostModel {
    table: EndpointTable,
    engine_count: usize,
    last_turn: usize,
}

impl HostModel {
    pub(super) fn new(zone: usize, engines: usize, zones: usize) -> Self {
        let mut table = EndpointTable::new(zone_name(zone).into()).zone_preference(0.25);
        for number in 0..engines {
            let id = EndpointId::from(number.to_string());
            let address = ([10, 0, (number >> 8) as u8, number as u8], 80).into();
            table.upsert(EndpointRecord::new(id, "model".into(), zone_name(number % zones).into(), address));
        }
        Self { table, engine_count: engines, last_turn: zone }
    }

    /// Chooses an engine for a prompt, given as its key and the sum of its prompt and output tokens, and records the
    /// request as open there.
    ///
    /// An engine that is down refuses the connection: the host records the failure and chooses again, at most once per
    /// engine; after that the request goes to engine 0.
    pub(super) fn place(
        &mut self,
        policy: PlacementPolicy,
        now: TimePoint,
        prompt: (u64, u64),
        reports: &ReportLog,
        rng: &mut StdRng,
    ) -> usize {
        let chosen = (0..self.engine_count).find_map(|_| {
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
        (key, tokens): (u64, u64),
        reports: &ReportLog,
        rng: &mut StdRng,
    ) -> usize {
        match policy {
            PlacementPolicy::RoundRobin => {
                self.last_turn += 1;
                self.last_turn % self.engine_count
            }
            PlacementPolicy::TwoChoices => {
                let (a, b) = (rng.random_range(0..self.engine_count), rng.random_range(0..self.engine_count));
                if self.open_requests(a) <= self.open_requests(b) { a } else { b }
            }
            PlacementPolicy::LeastOpen => {
                let first = rng.random_range(0..self.engine_count);
                let order = (0..self.engine_count).map(|step| (first + step) % self.engine_count);
                order.min_by_key(|engine| self.open_requests(*engine)).unwrap_or(first)
            }
            PlacementPolicy::AskTwo => self.ask_two(now, key, tokens, reports),
        }
    }

    fn ask_two(&self, now: TimePoint, key: u64, tokens: u64, reports: &ReportLog) -> usize {
        let query = RouteQuery::new("model").slots((KV_CAPACITY_TOKENS / tokens.max(1)) as u32);
        let mut shortlist = self.table.shortlist(now, &query, key, 2);
        if let Some(first) = shortlist.first() {
            let zone = ZoneName::clone(&first.zone);
            shortlist.extend(self.table.shortlist(now, &query.avoid_zone(&zone), key, 2));
        }
        let candidates: Vec<EngineCandidate> = shortlist
            .into_iter()
            .map(|record| {
                let engine = engine_index(&record.id);
                EngineCandidate {
                    report: reports.report(engine, now),
                    record,
                    held_tokens: 0,
                    speed: EngineSpeed::default(),
                }
            })
            .collect();
        let chosen = choose_engine(&candidates, tokens).or(candidates.first());
        chosen.map_or(0, |candidate| engine_index(&candidate.record.id))
    }

    fn open_requests(&self, engine: usize) -> u32 {
        self.table.get(&engine.to_string()).map_or(0, |record| record.open)
    }
}

fn engine_index(id: &EndpointId) -> usize {
    id.parse().unwrap_or_default()
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}
