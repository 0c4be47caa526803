use std::time::Duration;

use super::{EndpointRecord, EndpointTable, LoadReport};
use crate::pace::{EndpointPace, NetworkTime, PaceChange, ServicePace};
use crate::{EngineSpeed, Name, TimePoint, ZoneName};

/// Minimum number of prompt tokens for which the time to the first event shows how fast an engine reads.
const MIN_READ_TOKENS: u64 = 500;
/// Weight of a time to the first event as a sample: it also depends on the other prompts that the engine reads.
const READ_WEIGHT: f64 = 0.5;
/// Minimum fraction of a measured time that is attributed to the endpoint after the round trip is subtracted.
const MIN_WORK_SHARE: f64 = 0.25;
/// An attempt at a call may take this multiple of the time that is expected of its endpoint.
const ATTEMPT_TIME_FACTOR: f64 = 8.0;
/// Bounds of the time limit of an attempt, as multiples of the route's latency objective; the upper one is multiplied
/// by the pace of a slow endpoint.
const ATTEMPT_LIMITS: (f64, f64) = (0.6, 1.6);

/// A prompt that an engine has read.
#[derive(Debug, Clone, Copy)]
pub struct PromptRead {
    /// Time from sending the request to the first event.
    pub took: Duration,
    /// The prompt's length.
    pub tokens: u64,
    /// The load report of the response.
    pub load: Option<LoadReport>,
}

/// Measures the paces of the endpoints that this host knows.
impl EndpointTable {
    /// Stores the load report of an endpoint, with its pace if it reports one.
    pub fn record_load(&mut self, now: TimePoint, id: &str, load: LoadReport) -> Option<PaceChange> {
        self.update_load(id, load);
        let record = self.records.get_mut(id)?;
        let requests = f64::from(load.running + load.waiting);
        let pressure = requests / f64::from(load.capacity.max(1));
        record.trend.add(now, pressure);
        record.pace.set_concurrent(load.running);
        let service = self.service_paces.entry(Name::clone(&record.service)).or_default();
        service.add_load(now, pressure);
        let percent = load.pace_percent?;
        record.pace.add_report(now, percent);
        service.mark_uneven(now);
        record.pace.take_change(now)
    }

    /// Stores the number of requests that an engine's report shows to be processed at a time.
    pub fn record_concurrent(&mut self, id: &str, count: u32) {
        if let Some(record) = self.records.get_mut(id) {
            record.pace.set_concurrent(count);
        }
    }

    /// Records how long a call took, with the load report of its response. A call that may have waited in a queue is no
    /// sample of the endpoint's pace.
    pub fn record_call_time(
        &mut self,
        now: TimePoint,
        id: &str,
        took: Duration,
        load: Option<LoadReport>,
    ) -> Option<PaceChange> {
        load.filter(|load| load.waiting == 0)?;
        self.add_sample(now, id, 1.0, |service, pace, network| {
            service.add_call(now, less_network(took, network), pace.reported_factor(now))
        })
    }

    /// Records the mean time between some events of a stream.
    pub fn record_event_time(&mut self, now: TimePoint, id: &str, gap: Duration) -> Option<PaceChange> {
        self.add_sample(now, id, 1.0, |service, pace, _| {
            service.add_event_time(now, gap, pace.concurrent(), pace.reported_factor(now))
        })
    }

    /// Records when the first event of a generation arrived. A prompt that may have waited in a queue is no sample of
    /// the engine's pace.
    pub fn record_read(&mut self, now: TimePoint, id: &str, read: PromptRead) -> Option<PaceChange> {
        if read.tokens < MIN_READ_TOKENS || read.load.is_none_or(|load| load.waiting > 0) {
            return None;
        }
        self.add_sample(now, id, READ_WEIGHT, |service, pace, network| {
            let took = less_network(read.took, network);
            service.add_read(now, took, read.tokens, pace.concurrent(), pace.reported_factor(now))
        })
    }

    /// Records the time from the first to the last event of a stream.
    pub fn record_run(&mut self, now: TimePoint, id: &str, took: Duration) {
        if let Some(record) = self.records.get(id) {
            self.service_paces.entry(Name::clone(&record.service)).or_default().add_run(now, took);
        }
    }

    /// Records the time of a round trip to the endpoints of a zone.
    pub fn record_network_time(&mut self, zone: &ZoneName, took: Duration) {
        self.network_times.entry(ZoneName::clone(zone)).or_default().add(took);
    }

    fn add_sample(
        &mut self,
        now: TimePoint,
        id: &str,
        weight: f64,
        ratio: impl FnOnce(&mut ServicePace, &EndpointPace, Duration) -> Option<f64>,
    ) -> Option<PaceChange> {
        let network = self.records.get(id).map(|record| self.network_time(record))?;
        let record = self.records.get_mut(id)?;
        let service = self.service_paces.entry(Name::clone(&record.service)).or_default();
        record.pace.add_time(now, ratio(service, &record.pace, network)?, weight);
        if self.has_measured_paces && record.pace.check_unusual(now) {
            service.mark_uneven(now);
        }
        record.pace.take_change(now)
    }

    /// The pace of an endpoint as a factor of its service's usual time; 1.0 if the endpoint is not known.
    pub fn pace_of(&self, now: TimePoint, id: &str) -> f64 {
        self.get(id).map_or(1.0, |record| record.pace.factor(now))
    }

    /// How fast an engine is expected to serve a generation.
    pub fn engine_speed(&self, now: TimePoint, id: &str) -> EngineSpeed {
        let Some(record) = self.get(id) else {
            return EngineSpeed::default();
        };
        let pace = record.pace.factor(now);
        let is_known = |service: &&ServicePace| self.has_measured_paces || service.is_uneven(now);
        let service = self.service_paces.get(&record.service).filter(is_known);
        service.map_or_else(EngineSpeed::default, |service| service.engine_speed(now, pace, record.pace.concurrent()))
    }

    /// The time limit of an attempt at an idempotent call, so that another endpoint can be tried; `None` if the paces
    /// of the service's endpoints are not known to differ.
    pub fn attempt_limit(&self, now: TimePoint, id: &str, objective: Duration) -> Option<Duration> {
        let record = self.get(id)?;
        let service = self.uneven_service(now, &record.service)?;
        let pace = record.pace.factor(now);
        let expected = service.call_time(now)?.mul_f64(pace) + self.network_time(record);
        let longest = objective.mul_f64(ATTEMPT_LIMITS.1 * pace.max(1.0));
        Some(expected.mul_f64(ATTEMPT_TIME_FACTOR).clamp(objective.mul_f64(ATTEMPT_LIMITS.0), longest))
    }

    /// The usual times of a service, if its endpoints report or show different paces.
    pub(super) fn uneven_service(&self, now: TimePoint, service: &str) -> Option<&ServicePace> {
        self.service_paces.get(service).filter(|service| service.is_uneven(now))
    }

    /// The time of a round trip to an endpoint.
    pub(super) fn network_time(&self, record: &EndpointRecord) -> Duration {
        self.network_times.get(&record.zone).map(NetworkTime::estimate).unwrap_or_default()
    }
}

/// A measured time without the round trip.
fn less_network(took: Duration, network: Duration) -> Duration {
    took.saturating_sub(network).max(took.mul_f64(MIN_WORK_SHARE))
}
