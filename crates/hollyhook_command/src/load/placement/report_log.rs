use std::collections::VecDeque;
use std::time::Duration;

use hollyhook_core::{EngineReport, TimePoint};

use super::engine_model::KV_CAPACITY_TOKENS;

/// Age of a report when it arrives at a host.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Reports kept per engine: with one every 50 ms, they reach back twice as far as `REPORT_LAG`.
const KEPT_REPORTS: usize = 8;

/// Recent load reports of the engines, and until when each engine is down.
#[derive(Debug)]
pub(super) struct ReportLog {
    reports: Vec<VecDeque<(u64, EngineReport)>>,
    down_until: Vec<u64>,
    now_us: u64,
}

impl ReportLog {
    pub(super) fn new(engines: usize) -> Self {
        Self { reports: vec![VecDeque::new(); engines], down_until: vec![0; engines], now_us: 0 }
    }

    pub(super) fn advance(&mut self, now_us: u64) {
        self.now_us = now_us;
    }

    pub(super) fn take_down(&mut self, engine: usize, until_us: u64) {
        self.down_until[engine] = until_us;
    }

    /// Records the report that an engine would send at `now_us`.
    pub(super) fn record(&mut self, engine: usize, now_us: u64, report: EngineReport) {
        let reports = &mut self.reports[engine];
        reports.push_back((now_us, report));
        if reports.len() > KEPT_REPORTS {
            reports.pop_front();
        }
    }

    pub(super) fn is_up(&self, engine: usize) -> bool {
        self.down_until[engine] <= self.now_us
    }

    /// The report that would arrive at a host at `now`: the newest one of at least `REPORT_LAG` ago, or an empty report
    /// if there is none. Returns `None` if the engine is down.
    pub(super) fn report(&self, engine: usize, now: TimePoint) -> Option<EngineReport> {
        let latest_us = now.as_micros().saturating_sub(REPORT_LAG.as_micros() as u64);
        let known = self.reports[engine].iter().rev().find(|(recorded_us, _)| *recorded_us <= latest_us);
        let report = known.map(|(_, report)| report.clone()).unwrap_or_default();
        let report = EngineReport { total_tokens: KV_CAPACITY_TOKENS, ..report };
        self.is_up(engine).then_some(report)
    }
}
