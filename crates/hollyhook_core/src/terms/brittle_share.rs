use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;

use super::RateShare;
use crate::TimePoint;

/// The fraction of the rejections that an endpoint bears which trials of all hosts together may cause. The rest is for
/// requests that hosts send at the same moment on the same report.
const TRIAL_SHARE: f64 = 0.07;
/// Rate at which all hosts together begin to use further slots of their own, as a fraction of the rate of rejections
/// that an endpoint bears. Hosts that disagree on the number of hosts divide the slots differently, so that each such
/// request may be rejected.
const GROWTH_SHARE: f64 = 0.27;
/// How long a host's turn to use a further slot remains valid if the host has no request at that moment.
const TURN_TIME: Duration = Duration::from_secs(1);
/// How long a slot counts as held after the answer to the request that used it.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// Maximum number of answers that are remembered.
const MAX_HELD: usize = 64;
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
pub(crate) struct BrittleShare {
    limit: f64,
    trials: RateShare,
    /// Rejections of which none was followed by [`RECOVERY_TIME`] without another.
    rejections: u32,
    rejected_at: TimePoint,
    /// Number of requests sent whose answers are outstanding.
    sent: u32,
    /// When the endpoint answered requests whose slots this host has not used again.
    held: VecDeque<TimePoint>,
    /// This host's turn to use a further slot, as a fraction of the interval between turns.
    phase: f64,
    grown_at: Option<TimePoint>,
}

impl BrittleShare {
    /// The share of one of `hosts` hosts, at an endpoint that fails above `limit` rejections per second.
    pub(crate) fn new(now: TimePoint, limit: f64, hosts: usize, rng: &mut impl Rng) -> Self {
        Self::with_phase(now, limit, hosts, rng.random())
    }

    /// The share of a host whose turns come after the fraction `phase` of the interval between them.
    pub(crate) fn with_phase(now: TimePoint, limit: f64, hosts: usize, phase: f64) -> Self {
        Self {
            limit,
            trials: RateShare::with_phase(now, limit * TRIAL_SHARE, hosts, phase),
            rejections: 0,
            rejected_at: now,
            sent: 0,
            held: VecDeque::new(),
            phase,
            grown_at: None,
        }
    }

    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Changes the limit or the number of hosts.
    pub(crate) fn update(&mut self, now: TimePoint, limit: f64, hosts: usize) {
        self.limit = limit;
        self.trials.update(now, limit * TRIAL_SHARE, hosts);
    }

    pub(crate) fn has_trial(&self, now: TimePoint) -> bool {
        self.trials.opens_in(now).is_zero()
    }

    pub(crate) fn use_trial(&mut self, now: TimePoint) {
        self.trials.try_use(now);
    }

    /// Counts a request that is sent.
    pub(crate) fn record_send(&mut self) {
        self.sent += 1;
    }

    /// Counts an answer: the slot of its request is held.
    pub(crate) fn record_answer(&mut self, now: TimePoint) {
        if self.sent == 0 {
            return;
        }
        self.sent -= 1;
        self.held.push_back(now);
        if self.held.len() > MAX_HELD {
            self.held.pop_front();
        }
    }

    /// Whether this host holds a slot: the endpoint has just answered a request in it.
    pub(crate) fn holds_slot(&self, now: TimePoint) -> bool {
        self.held.back().is_some_and(|at| now.since(*at) < HOLD_TIME)
    }

    /// Uses a slot that this host holds.
    pub(crate) fn use_held(&mut self, now: TimePoint) {
        while self.held.front().is_some_and(|at| now.since(*at) >= HOLD_TIME) {
            self.held.pop_front();
        }
        self.held.pop_front();
    }

    /// Whether it is the turn of this host, one of `owners` that own slots, to use a further one.
    pub(crate) fn may_grow(&self, now: TimePoint, owners: usize) -> bool {
        let interval = owners as f64 / (self.limit.max(0.1) * GROWTH_SHARE);
        let turns = now.since(TimePoint::ZERO).as_secs_f64() / interval + self.phase;
        let since_turn = Duration::from_secs_f64(turns.fract() * interval);
        since_turn < TURN_TIME && self.grown_at.is_none_or(|at| now.since(at) > since_turn)
    }

    /// Uses this host's turn.
    pub(crate) fn use_growth(&mut self, now: TimePoint) {
        self.grown_at = Some(now);
    }

    /// Counts a rejection, and returns for how long this host must send nothing: one host alone then causes about as
    /// many rejections in a second as the endpoint bears, and fewer with each further one.
    pub(crate) fn record_rejection(&mut self, now: TimePoint) -> Duration {
        if now.since(self.rejected_at) >= RECOVERY_TIME {
            self.rejections = 0;
        }
        let first = Duration::from_secs_f64(1.0 / self.limit.max(1.0)).clamp(MIN_PAUSE, MAX_FIRST_PAUSE);
        let pause = first * 2_u32.pow(self.rejections.min(MAX_DOUBLINGS));
        self.rejections += 1;
        self.held.clear();
        self.rejected_at = now;
        pause
    }
}
