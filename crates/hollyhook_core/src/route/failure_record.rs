use std::time::Duration;

use crate::TimePoint;

/// The share of failures among an endpoint's answers, and when a trial request may test whether the endpoint has
/// recovered.
///
/// An endpoint that is avoided because of its share of failures gets no requests whose answers could lower that share.
/// So it gets one trial request at a time, rarely while trials fail and more often with each one that succeeds, until
/// its share of failures is low again: the half-open state of a circuit breaker.
#[derive(Debug, Clone, Default)]
pub(super) struct FailureRecord {
    share: f64,
    answered_at: TimePoint,
    trial: Option<TrialState>,
}

#[derive(Debug, Clone)]
struct TrialState {
    next_at: TimePoint,
    /// The time between the answer to one trial and the next trial.
    pause: Duration,
    /// Whether a request was sent as a trial and the endpoint has not answered any request since.
    is_open: bool,
}

impl FailureRecord {
    /// Weight of one answer in the smoothed share of failures, which thus reflects about the last ten answers.
    const GAIN: f64 = 0.1;
    /// Weight of a successful trial; higher, since it stands for all requests that avoided the endpoint meanwhile.
    const TRIAL_GAIN: f64 = 0.2;
    /// Share of failures from which other endpoints are preferred, including those of other zones, and trials are sent.
    const TRIAL_THRESHOLD: f64 = 0.06;
    /// Time in which the share halves without answers. If no request may be repeated, no trials are sent, and the share
    /// falls only in this way.
    const HALF_LIFE: Duration = Duration::from_secs(10);
    const FIRST_PAUSE: Duration = Duration::from_secs(1);
    const MIN_PAUSE: Duration = Duration::from_millis(100);
    const MAX_PAUSE: Duration = Duration::from_secs(4);
    /// Factors by which a successful and a failed trial change the pause before the next trial.
    const SUCCESS_FACTOR: f64 = 0.6;
    const FAILURE_FACTOR: f64 = 2.0;

    /// The smoothed share of answers that were failures, from 0 to 1.
    pub(super) fn share(&self, now: TimePoint) -> f64 {
        if self.share <= 0.0 {
            return 0.0;
        }
        let halvings = now.since(self.answered_at).as_secs_f64() / Self::HALF_LIFE.as_secs_f64();
        self.share * 0.5_f64.powf(halvings)
    }

    /// When the next request may be sent as a trial; `None` if the share of failures was below the threshold at
    /// the last answer.
    pub(super) fn next_trial(&self) -> Option<TimePoint> {
        self.trial.as_ref().map(|trial| trial.next_at)
    }

    /// Whether a request may be sent as a trial now.
    pub(super) fn is_trial_due(&self, now: TimePoint) -> bool {
        self.next_trial().is_some_and(|at| now >= at)
    }

    /// Records that a request is sent to the endpoint; the request is a trial if one is due.
    pub(super) fn add_send(&mut self, now: TimePoint) {
        if let Some(trial) = self.trial.as_mut().filter(|trial| now >= trial.next_at) {
            trial.is_open = true;
            // Applies until an answer arrives, and if none ever does.
            trial.next_at = now + Self::MAX_PAUSE;
        }
    }

    /// Records an answer and schedules the next trial if the share of failures is at or above the threshold.
    pub(super) fn add_answer(&mut self, now: TimePoint, is_failure: bool) {
        let is_trial = self.trial.as_ref().is_some_and(|trial| trial.is_open);
        let gain = if is_trial && !is_failure { Self::TRIAL_GAIN } else { Self::GAIN };
        let sample = if is_failure { 1.0 } else { 0.0 };
        let share = self.share(now);
        self.share = share + gain * (sample - share);
        self.answered_at = now;
        self.trial = (self.share >= Self::TRIAL_THRESHOLD).then(|| self.trial_after(now, is_failure));
    }

    fn trial_after(&self, now: TimePoint, is_failure: bool) -> TrialState {
        let pause = match &self.trial {
            None => Self::FIRST_PAUSE,
            Some(trial) if trial.is_open && is_failure => {
                trial.pause.mul_f64(Self::FAILURE_FACTOR).min(Self::MAX_PAUSE)
            }
            Some(trial) if trial.is_open => trial.pause.mul_f64(Self::SUCCESS_FACTOR).max(Self::MIN_PAUSE),
            Some(trial) => trial.pause,
        };
        TrialState { next_at: now + pause, pause, is_open: false }
    }
}
