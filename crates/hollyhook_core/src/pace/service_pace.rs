use std::time::Duration;

use super::EngineSpeed;
use super::log_average::{LogAverage, LogDecay};
use crate::TimePoint;

/// Tracks the usual times of the endpoints of one service, to which the paces of the endpoints relate.
#[derive(Debug, Clone, Default)]
pub struct ServicePace {
    /// Seconds that a call takes.
    call: LogAverage,
    /// Seconds between two events of a stream, by number of concurrent requests.
    events: [LogAverage; Self::BANDS],
    /// Prompt tokens read per millisecond, by number of concurrent requests.
    reads: [LogAverage; Self::BANDS],
    /// Seconds from the first to the last event of a stream.
    runs: LogAverage,
    /// Requests per slot, as logarithms of 1 + load.
    load: LogAverage,
    /// When paces last differed or an endpoint last reported its pace.
    uneven_at: Option<TimePoint>,
}

impl ServicePace {
    /// Concurrent requests are counted in bands of powers of two: 0 and 1, 2 and 3, 4 to 7, and so on.
    const BANDS: usize = 7;
    /// Long enough that a slow endpoint hardly changes the usual times, and short enough to follow a new software
    /// version.
    const DECAY: LogDecay = LogDecay { half_life: Duration::from_mins(1), max_weight: 2_000.0 };
    const LOAD_DECAY: LogDecay = LogDecay { half_life: Duration::from_secs(2), max_weight: 200.0 };
    /// Number of samples from which a usual time counts as known.
    const MIN_SAMPLES: f64 = 8.0;
    /// How long a service counts as uneven after its endpoints last reported or showed different paces.
    const UNEVEN_TIME: Duration = Duration::from_secs(30);
    /// Time that a stream is expected to take until one has been measured: 130 events of 30 ms.
    const RUN_TIME: Duration = Duration::from_secs(4);

    /// Whether the endpoints of the service report or show different paces, so that choices consider them.
    pub fn is_uneven(&self, now: TimePoint) -> bool {
        self.uneven_at.is_some_and(|at| now.since(at) < Self::UNEVEN_TIME)
    }

    /// Records that an endpoint reported its pace or differs from the others.
    pub fn mark_uneven(&mut self, now: TimePoint) {
        self.uneven_at = Some(now);
    }

    /// Adds the time of a call at an endpoint that reports the pace `reported`; returns it as a factor of the usual
    /// one if that is known.
    pub fn add_call(&mut self, now: TimePoint, took: Duration, reported: f64) -> Option<f64> {
        let sample = took.as_secs_f64().max(1e-6).ln();
        let usual = self.call_time(now);
        self.call.add(now, sample - reported.ln(), 1.0, Self::DECAY);
        usual.map(|usual| (sample - usual.as_secs_f64().ln()).exp())
    }

    /// Adds the time between two events of a stream; returns it as a factor of the usual one if that is known.
    pub fn add_event_time(&mut self, now: TimePoint, gap: Duration, concurrent: u32, reported: f64) -> Option<f64> {
        let sample = gap.as_secs_f64().max(1e-6).ln();
        let band = &mut self.events[band(concurrent)];
        let usual = usual(band, now);
        band.add(now, sample - reported.ln(), 1.0, Self::DECAY);
        usual.map(|usual| (sample - usual).exp())
    }

    /// Adds the time in which an engine without a queue read a prompt; returns it as a factor of the usual one if that
    /// is known.
    pub fn add_read(
        &mut self,
        now: TimePoint,
        took: Duration,
        tokens: u64,
        concurrent: u32,
        reported: f64,
    ) -> Option<f64> {
        let rate = (tokens.max(1) as f64 / (took.as_secs_f64() * 1e3).max(1e-3)).ln();
        let band = &mut self.reads[band(concurrent)];
        let usual = usual(band, now);
        band.add(now, rate + reported.ln(), 1.0, Self::DECAY);
        usual.map(|usual| (usual - rate).exp())
    }

    /// Adds the time from the first to the last event of a stream.
    pub fn add_run(&mut self, now: TimePoint, took: Duration) {
        self.runs.add(now, took.as_secs_f64().max(1e-3).ln(), 1.0, Self::DECAY);
    }

    /// Adds the load that an endpoint reported, in requests per slot.
    pub fn add_load(&mut self, now: TimePoint, load: f64) {
        self.load.add(now, load.ln_1p(), 1.0, Self::LOAD_DECAY);
    }

    /// The usual time of a call; `None` until enough have been measured.
    pub fn call_time(&self, now: TimePoint) -> Option<Duration> {
        usual(&self.call, now).map(|log| Duration::from_secs_f64(log.exp()))
    }

    /// The usual time that a request occupies a slot: that of a call, or of a stream if no calls are measured.
    pub fn run_time(&self, now: TimePoint) -> Duration {
        let run = usual(&self.runs, now).map_or(Self::RUN_TIME, |log| Duration::from_secs_f64(log.exp()));
        self.call_time(now).unwrap_or(run)
    }

    /// The mean load of the service's endpoints, in requests per slot.
    pub fn load(&self) -> f64 {
        self.load.mean().exp_m1()
    }

    /// The speed of an engine of the given pace that processes `concurrent` requests at a time.
    pub fn engine_speed(&self, now: TimePoint, pace: f64, concurrent: u32) -> EngineSpeed {
        let assumed = EngineSpeed::default();
        let read = nearest(&self.reads, concurrent, now).map_or(assumed.read_tokens_per_ms, f64::exp);
        let event = nearest(&self.events, concurrent, now).map_or(assumed.event_time.as_secs_f64(), f64::exp);
        EngineSpeed { read_tokens_per_ms: read / pace, event_time: Duration::from_secs_f64(event * pace) }
    }
}

fn band(concurrent: u32) -> usize {
    (concurrent.max(1).ilog2() as usize).min(ServicePace::BANDS - 1)
}

/// The mean if it has enough samples.
fn usual(average: &LogAverage, now: TimePoint) -> Option<f64> {
    (average.weight(now, ServicePace::DECAY.half_life) >= ServicePace::MIN_SAMPLES).then(|| average.mean())
}

/// The mean of the known band nearest to a number of concurrent requests.
fn nearest(bands: &[LogAverage], concurrent: u32, now: TimePoint) -> Option<f64> {
    let wanted = band(concurrent);
    let known = bands.iter().enumerate().filter_map(|(band, average)| Some((band, usual(average, now)?)));
    known.min_by_key(|(band, _)| band.abs_diff(wanted)).map(|(_, log)| log)
}
