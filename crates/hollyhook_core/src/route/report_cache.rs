use std::collections::BTreeMap;
use std::time::Duration;

use super::EngineReport;
use crate::{EndpointId, TimePoint};

/// How long a report is reused. Engines renew their reports about as often, so that polling again would return little
/// new.
const REUSE_TIME: Duration = Duration::from_millis(100);
/// Maximum number of reports kept. A host that places 500 generations a second polls some 200 engines in `REUSE_TIME`.
const MAX_REPORTS: usize = 256;

/// The newest reports that engines have sent to this host, so that engines are polled less often under load.
#[derive(Debug, Default)]
pub struct ReportCache {
    reports: BTreeMap<EndpointId, (TimePoint, EngineReport)>,
}

impl ReportCache {
    /// Keeps a report that arrived at `now`, unless the cache is full of recent ones.
    pub fn insert(&mut self, now: TimePoint, id: EndpointId, report: EngineReport) {
        if self.reports.len() >= MAX_REPORTS {
            self.reports.retain(|_, (at, _)| is_recent(now, *at));
        }
        if self.reports.len() < MAX_REPORTS || self.reports.contains_key(&id) {
            self.reports.insert(id, (now, report));
        }
    }

    /// The report of an engine, if it arrived recently.
    pub fn recent(&self, now: TimePoint, id: &str) -> Option<&EngineReport> {
        let (at, report) = self.reports.get(id)?;
        is_recent(now, *at).then_some(report)
    }

    /// The number of reports kept.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether no report is kept.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}

fn is_recent(now: TimePoint, at: TimePoint) -> bool {
    now.since(at) < REUSE_TIME
}
