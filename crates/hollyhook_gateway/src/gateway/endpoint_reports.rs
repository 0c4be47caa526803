use std::time::Duration;

use hollyhook_core::{EngineReport, EngineSpeed, LoadReport, PaceChange, PromptRead, ZoneName};

use super::EndpointDirectory;
use crate::sync::lock;

/// What endpoints report of their load and room, and the times measured at them.
impl EndpointDirectory {
    /// Stores the load report of an endpoint.
    pub(crate) fn record_load(&self, id: &str, load: LoadReport) {
        let used = f64::from(load.running + load.waiting) / f64::from(load.capacity.max(1));
        let now = self.timer.now();
        let mut table = self.table();
        self.demand.record_load(table.get(id), load);
        let change = table.record_load(now, id, load);
        table.update_room(now, id, 1.0 - used);
        drop(table);
        self.record_pace_change(id, change);
    }

    /// Records how long a call took, with the load report of its response.
    pub(crate) fn record_call_time(&self, id: &str, took: Duration, load: Option<LoadReport>) {
        let change = self.table().record_call_time(self.timer.now(), id, took, load);
        self.record_pace_change(id, change);
    }

    /// Records the mean time between some events of a stream.
    pub(crate) fn record_event_time(&self, id: &str, gap: Duration) {
        let change = self.table().record_event_time(self.timer.now(), id, gap);
        self.record_pace_change(id, change);
    }

    /// Records when the first event of a generation arrived.
    pub(crate) fn record_read(&self, id: &str, read: PromptRead) {
        let change = self.table().record_read(self.timer.now(), id, read);
        self.record_pace_change(id, change);
    }

    /// Records the time from the first to the last event of a stream.
    pub(crate) fn record_run(&self, id: &str, took: Duration) {
        self.table().record_run(self.timer.now(), id, took);
    }

    /// Records the time of a round trip to the endpoints of a zone.
    pub(crate) fn record_network_time(&self, zone: &ZoneName, took: Duration) {
        self.table().record_network_time(zone, took);
    }

    /// How fast an engine is expected to serve a generation.
    pub(crate) fn engine_speed(&self, id: &str) -> EngineSpeed {
        self.table().engine_speed(self.timer.now(), id)
    }

    /// The time limit of an attempt at an idempotent call; `None` if the endpoints of its service are not known to
    /// differ in pace.
    pub(crate) fn attempt_limit(&self, id: &str, objective: Duration) -> Option<Duration> {
        self.table().attempt_limit(self.timer.now(), id, objective)
    }

    /// Stores how much room an engine's report shows.
    pub(crate) fn record_report(&self, id: &str, report: &EngineReport) {
        let concurrent = report.running() + report.reading;
        let free_share = if report.waiting > 0 { 0.0 } else { report.free_memory_share() };
        let mut table = self.table();
        table.update_room(self.timer.now(), id, free_share);
        table.record_concurrent(id, concurrent);
        drop(table);
        // An engine that leaves gets no requests.
        if !report.is_leaving {
            lock(&self.reports).insert(self.timer.now(), id.into(), report.clone());
        }
    }

    /// The report that an engine sent so recently that it need not be probed again.
    pub(crate) fn recent_report(&self, id: &str) -> Option<EngineReport> {
        lock(&self.reports).recent(self.timer.now(), id).cloned()
    }

    fn record_pace_change(&self, id: &str, change: Option<PaceChange>) {
        let Some(change) = change else {
            return;
        };
        let PaceChange { pace, samples, reported_percent, .. } = change;
        if change.is_slow {
            self.recorder.count("endpoints_found_slow");
            tracing::info!(endpoint = %id, pace, samples, reported_percent, "endpoint.slow");
        } else {
            tracing::info!(endpoint = %id, pace, samples, reported_percent, "endpoint.usual_pace");
        }
    }
}
