use std::time::Duration;

use rand::Rng;

use super::RateShare;
use crate::TimePoint;

/// The fraction of the rejections that an endpoint bears which trials of all hosts together may cause. The rest is for
/// requests that hosts send at the same moment on the same report.
const TRIAL_SHARE: f64 = 0.2;
/// Bounds of the first pause after a rejection.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Maximum number of times that the pause doubles with further rejections.
const MAX_DOUBLINGS: u32 = 5;
/// Time without a rejection after which the pause is as short as at first. An endpoint accepts some requests also while
/// hosts that do not know of each other use the same slots.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// How often this host may send a request to an endpoint that may have no room for it and fails if it has to reject too
/// many requests.
///
/// Nearly all requests are sent on better knowledge. These trials are for hosts that have none: without a request, a
/// host would not learn of room that has become free.
#[derive(Debug)]
pub(super) struct BrittleShare {
    limit: f64,
    trials: RateShare,
    /// Rejections of which none was followed by [`RECOVERY_TIME`] without another.
    rejections: u32,
    rejected_at: TimePoint,
}

impl BrittleShare {
    /// The share of one of `hosts` hosts, at an endpoint that fails above `limit` rejections per second.
    pub(super) fn new(now: TimePoint, limit: f64, hosts: usize, rng: &mut impl Rng) -> Self {
        Self { limit, trials: RateShare::new(now, limit * TRIAL_SHARE, hosts, rng), rejections: 0, rejected_at: now }
    }

    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Changes the limit or the number of hosts.
    pub(super) fn update(&mut self, now: TimePoint, limit: f64, hosts: usize) {
        self.limit = limit;
        self.trials.update(now, limit * TRIAL_SHARE, hosts);
    }

    /// Changes this host's share of the trials, which is a multiple of an equal one.
    pub(super) fn set_factor(&mut self, now: TimePoint, factor: f64) {
        self.trials.set_factor(now, factor);
    }

    pub(super) fn has_trial(&self, now: TimePoint) -> bool {
        self.trials.opens_in(now).is_zero()
    }

    pub(super) fn use_trial(&mut self, now: TimePoint) {
        self.trials.try_use(now);
    }

    /// Counts a rejection, and returns for how long this host must send nothing: one host alone then causes about as
    /// many rejections in a second as the endpoint bears, and fewer with each further one.
    pub(super) fn record_rejection(&mut self, now: TimePoint) -> Duration {
        if now.since(self.rejected_at) >= RECOVERY_TIME {
            self.rejections = 0;
        }
        let first = Duration::from_secs_f64(1.0 / self.limit.max(1.0)).clamp(MIN_PAUSE, MAX_FIRST_PAUSE);
        let pause = first * 2_u32.pow(self.rejections.min(MAX_DOUBLINGS));
        self.rejections += 1;
        self.rejected_at = now;
        pause
    }
}
