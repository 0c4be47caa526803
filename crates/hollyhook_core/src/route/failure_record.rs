use std::time::Duration;

use crate::TimePoint;

/// What an endpoint's answers say of its failures, and when a request may find out whether it is well again.
///
/// An endpoint whose share of failures keeps requests away answers nothing by which it could be found well. So it gets one
/// request at a time to try, rarely while that fails, and more often with each that succeeds, until its share is its own again:
/// a circuit breaker that is half open.
#[derive(Debug, Clone, Default)]
pub(super) struct FailureRecord {
    share: f64,
    answered_at: TimePoint,
    trial: Option<TrialState>,
}

#[derive(Debug, Clone)]
struct TrialState {
    next_at: TimePoint,
    /// Between the answer to one trial and the next one.
    pause: Duration,
    /// Whether a request was sent as a trial and nothing was answered since.
    is_open: bool,
}

impl FailureRecord {
    /// Weight of one answer in the smoothed share of failures; about the last ten answers count.
    const GAIN: f64 = 0.1;
    /// Weight of a trial that succeeds: it stands for all requests that were kept away meanwhile.
    const TRIAL_GAIN: f64 = 0.2;
    /// Share of failures from which on others are preferred, also those of other zones.
    const AVOIDED_FROM: f64 = 0.06;
    /// In that time an old share halves. Where no request may be repeated, nothing else renews it.
    const HALF_LIFE: Duration = Duration::from_secs(10);
    const FIRST_PAUSE: Duration = Duration::from_secs(1);
    const LEAST_PAUSE: Duration = Duration::from_millis(100);
    const LONGEST_PAUSE: Duration = Duration::from_secs(4);
    /// How the pause between two trials changes with one that succeeds, and with one that fails.
    const SUCCESS_FACTOR: f64 = 0.6;
    const FAILURE_FACTOR: f64 = 2.0;

    /// The share of answers that were failures, smoothed; from 0 to 1.
    pub(super) fn share(&self, now: TimePoint) -> f64 {
        if self.share <= 0.0 {
            return 0.0;
        }
        let halvings = now.since(self.answered_at).as_secs_f64() / Self::HALF_LIFE.as_secs_f64();
        self.share * 0.5_f64.powf(halvings)
    }

    /// When the next request may be sent as a trial; none if the endpoint is not avoided.
    pub(super) fn next_trial(&self) -> Option<TimePoint> {
        self.trial.as_ref().map(|trial| trial.next_at)
    }

    /// Whether a request may be sent as a trial now.
    pub(super) fn is_trial_due(&self, now: TimePoint) -> bool {
        self.next_trial().is_some_and(|at| now >= at)
    }

    /// Takes in that a request is sent, as a trial if one is due.
    pub(super) fn send(&mut self, now: TimePoint) {
        if let Some(trial) = self.trial.as_mut().filter(|trial| now >= trial.next_at) {
            trial.is_open = true;
            // Also if its answer is never heard of.
            trial.next_at = now + Self::LONGEST_PAUSE;
        }
    }

    /// Takes in an answer.
    pub(super) fn answer(&mut self, now: TimePoint, is_failure: bool) {
        let is_trial = self.trial.as_ref().is_some_and(|trial| trial.is_open);
        let gain = if is_trial && !is_failure { Self::TRIAL_GAIN } else { Self::GAIN };
        let sample = if is_failure { 1.0 } else { 0.0 };
        let share = self.share(now);
        self.share = share + gain * (sample - share);
        self.answered_at = now;
        self.trial = (self.share >= Self::AVOIDED_FROM).then(|| self.trial_after(now, is_failure));
    }

    fn trial_after(&self, now: TimePoint, is_failure: bool) -> TrialState {
        let pause = match &self.trial {
            None => Self::FIRST_PAUSE,
            Some(trial) if trial.is_open && is_failure => {
                trial.pause.mul_f64(Self::FAILURE_FACTOR).min(Self::LONGEST_PAUSE)
            }
            Some(trial) if trial.is_open => trial.pause.mul_f64(Self::SUCCESS_FACTOR).max(Self::LEAST_PAUSE),
            Some(trial) => trial.pause,
        };
        TrialState { next_at: now + pause, pause, is_open: false }
    }
}
