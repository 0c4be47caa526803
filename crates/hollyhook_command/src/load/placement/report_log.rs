use std::collections::VecDeque;
use std::time::Duration;

use hollyhook_core::{EngineReport, TimePoint};

use super::engine_model::MEMORY_TOKENS;

/// How old reports are when they arrive.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Reports that are kept of an engine: at one in 50 ms, twice as far back as the lag.
const KEPT_REPORTS: usize = 8;

/// What engines reported, and which are up.
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

    /// Notes what an engine would report.
    pub(super) fn note(&mut self, engine: usize, now_us: u64, report: EngineReport) {
        let reports = &mut self.reports[engine];
        reports.push_back((now_us, report));
        if reports.len() > KEPT_REPORTS {
            reports.pop_front();
        }
    }

    pub(super) fn is_up(&self, engine: usize) -> bool {
        self.down_until[engine] <= self.now_us
    }

    /// The report that would arrive now; none of an engine that is down.
    pub(super) fn report(&self, engine: usize, now: TimePoint) -> Option<EngineReport> {
        let at = now.as_micros().saturating_sub(REPORT_LAG.as_micros() as u64);
        let known = self.reports[engine].iter().rev().find(|(made, _)| *made <= at);
        let report = known.map(|(_, report)| report.clone()).unwrap_or_default();
        let report = EngineReport { total_tokens: MEMORY_TOKENS, ..report };
        self.is_up(engine).then_some(report)
    }
}
