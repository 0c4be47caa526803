use std::time::Duration;

use crate::TimePoint;

/// The load that an endpoint reports, in requests per slot: its last report and a smoothed mean.
///
/// When calls take less time than the age of a report, a single report does not show the present load; the mean of
/// several reports shows how busy the endpoint usually is.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadTrend {
    last: f64,
    mean: f64,
    at: Option<TimePoint>,
}

impl LoadTrend {
    /// Time in which the weight of earlier reports in the mean falls to 1/e.
    const MEAN_TIME: Duration = Duration::from_millis(1_500);
    /// Minimum weight of a report in the mean, for one that immediately follows another.
    const MIN_GAIN: f64 = 0.1;
    /// Time after the last report in which the weight of the endpoint's own mean, against that of its service, falls to
    /// 1/e.
    const FORGET_TIME: Duration = Duration::from_secs(4);

    /// Adds a report.
    pub(crate) fn add(&mut self, now: TimePoint, load: f64) {
        let gain = match self.at {
            Some(at) => (1.0 - decay(now.since(at), Self::MEAN_TIME)).max(Self::MIN_GAIN),
            None => 1.0,
        };
        self.mean += gain * (load - self.mean);
        self.last = load;
        self.at = Some(now);
    }

    /// The load expected now of an endpoint whose requests take `run_time`, where its service has the mean load
    /// `usual`.
    ///
    /// The last report loses its weight within about `run_time`, after which the requests that it counted have ended.
    /// The endpoint's mean loses its weight more slowly, within seconds.
    pub(crate) fn expected(&self, now: TimePoint, run_time: Duration, usual: f64) -> f64 {
        let Some(at) = self.at else {
            return usual;
        };
        let age = now.since(at);
        let deviation = (self.mean - usual) * decay(age, Self::FORGET_TIME);
        usual + deviation + (self.last - self.mean) * decay(age, run_time)
    }
}

/// The weight left after `age` if it falls to 1/e in `time`.
fn decay(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64().max(1e-6)).exp()
}
