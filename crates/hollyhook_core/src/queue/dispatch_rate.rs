use std::collections::BTreeMap;
use std::time::Duration;

use super::dispatch_share::{DispatchShare, DispatchShares};
use super::rate_meter::RateMeter;
use crate::TimePoint;

/// Time without a rejection after which a service is no longer overloaded.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// How long fractions from other hosts apply without being set again.
const SHARE_RETENTION: Duration = Duration::from_secs(2);
/// Rejections per served request at which the rate stays the same, as long as other endpoints run the rejected
/// requests. One endpoint is often full while another has a free slot, so a multiplicative decrease for each such
/// rejection would leave slots unused.
const TOLERATED: f64 = 0.25;
/// Factor by which the rate decreases when none of the endpoints that were asked ran a request.
const DECREASE: f64 = 0.85;
/// Fraction of the throughput below which no rejection lowers the rate. A floor above the throughput would cause
/// further rejections, which exhaust the retry budget.
const MIN_THROUGHPUT: f64 = 0.9;
/// Growth of the rate in a second in which it is fully used: a number of requests per second, and a fraction of the
/// rate. The fraction lets a host with hundreds of requests per second regain its rate within seconds.
const INCREASE: f64 = 1.0;
const INCREASE_FRACTION: f64 = 0.1;
/// Time without a rejection after which the rate grows faster, and the fraction by which it then grows in a second. The
/// absence of rejections shows that the capacity has grown or was underestimated.
const QUIET_TIME: Duration = Duration::from_millis(300);
const QUIET_INCREASE_FRACTION: f64 = 2.0;
/// Minimum of the rate and of the initial rate, in requests per second, and the initial rate as a multiple of the
/// throughput. The initial rate is above the throughput, since one rejection may be due to chance; a much higher rate
/// would exhaust the retry budget before it has decreased.
const MIN_RATE: f64 = 1.0;
const MIN_INITIAL_RATE: f64 = 10.0;
const INITIAL_FACTOR: f64 = 2.0;
/// How long after the start of an overload the rate is only a rough estimate, and the factor by which it may be too low
/// in this time.
const SETTLING_TIME: Duration = Duration::from_secs(2);
const SETTLING_FACTOR: f64 = 3.0;
/// Minimum time between two decreases of the rate: rejections of requests that were sent before a decrease say nothing
/// about the rate after it.
const MIN_ROUND_TRIP: Duration = Duration::from_millis(50);
/// Time over which successful calls count towards the throughput.
const THROUGHPUT_MEMORY: Duration = Duration::from_secs(2);
/// Time for which unused turns accumulate, and the minimum of the number that may accumulate.
const BURST_TIME: Duration = Duration::from_millis(100);
const MIN_BURST: f64 = 2.0;
/// Number of turns that may be used in advance by a request that is not of the lowest arriving priority. A host that
/// sends ten requests per second has a turn every 100 ms: urgent requests that waited for it would miss their
/// objectives, while requests of the lowest priority can wait longer.
const ADVANCE: f64 = 3.0;
/// Requests per second from which a priority counts as arriving.
const MIN_ARRIVALS: f64 = 0.1;
/// Weight of the latest call in the usual time of a call.
const CALL_TIME_WEIGHT: f64 = 0.1;

/// How many requests of a service a host sends while the service is overloaded.
///
/// Without information from other hosts, the rate increases additively with each success and decreases
/// multiplicatively with a rejection. With it, the host sends a given fraction of the requests of each priority.
///
/// ```
/// use hollyhook_core::{DispatchRate, TimePoint};
/// use std::time::Duration;
///
/// let mut rate = DispatchRate::new(TimePoint::ZERO, Duration::from_millis(30));
/// assert!(!rate.is_overloaded(TimePoint::ZERO));
/// rate.record_rejection(TimePoint::from_millis(100), true);
/// assert!(rate.is_overloaded(TimePoint::from_millis(200)));
/// assert!(!rate.is_overloaded(TimePoint::from_millis(3_200)));
/// ```
#[derive(Debug)]
pub struct DispatchRate {
    /// Requests per second.
    rate: f64,
    turns: f64,
    refilled_at: TimePoint,
    rejected_at: Option<TimePoint>,
    lowered_at: TimePoint,
    /// When the last overload began.
    overloaded_at: TimePoint,
    successes: RateMeter,
    call_time: Duration,
    shares: DispatchShares,
    shares_set_at: Option<TimePoint>,
}

impl DispatchRate {
    /// The rate of a service that is not overloaded; `call_time` is assumed for its calls until one has been measured.
    pub fn new(now: TimePoint, call_time: Duration) -> Self {
        Self {
            rate: MIN_INITIAL_RATE,
            turns: MIN_BURST,
            refilled_at: now,
            rejected_at: None,
            lowered_at: now,
            overloaded_at: now,
            successes: RateMeter::new(now, THROUGHPUT_MEMORY),
            call_time,
            shares: BTreeMap::new(),
            shares_set_at: None,
        }
    }

    /// The usual time of a call, from sending it to its end.
    pub fn call_time(&self) -> Duration {
        self.call_time
    }

    /// Whether the service is overloaded: an endpoint rejected a request recently, or other hosts' demand leaves this
    /// host only a fraction of its requests.
    pub fn is_overloaded(&self, now: TimePoint) -> bool {
        self.is_rejected(now) || self.has_shares(now) && self.shares.values().any(DispatchShare::is_limited)
    }

    /// Requests per second that are expected to be sent; `None` while the service is not overloaded.
    pub fn rate(&self, now: TimePoint) -> Option<f64> {
        if !self.is_overloaded(now) {
            return None;
        }
        if self.has_shares(now) {
            return Some(self.shares.values().map(|share| share.rate(now)).sum::<f64>().max(MIN_RATE));
        }
        Some(self.rate)
    }

    /// Requests per second by which waits are forecast; `None` while the service is not overloaded.
    ///
    /// Shortly after the start of an overload, the rate is a low estimate that may double within a second. It is then
    /// multiplied by a margin, so that no request is refused only because of the estimate.
    pub fn expected_rate(&self, now: TimePoint) -> Option<f64> {
        self.rate(now).map(|rate| if self.is_settled(now) { rate } else { rate * SETTLING_FACTOR })
    }

    /// Requests per second that were served.
    fn throughput(&self, now: TimePoint) -> f64 {
        self.successes.rough_rate(now)
    }

    /// When the next request of a priority may be sent.
    pub fn opens_at(&self, now: TimePoint, priority: u8) -> TimePoint {
        if !self.is_overloaded(now) {
            return now;
        }
        if self.has_shares(now) {
            return self.shares.get(&priority).map_or(now, |share| share.opens_at(now));
        }
        let advance = if self.is_lowest(now, priority) { 0.0 } else { ADVANCE };
        now + Duration::from_secs_f64((1.0 - self.turns_at(now) - advance).max(0.0) / self.rate)
    }

    /// Counts a request that arrives.
    pub fn record_arrival(&mut self, now: TimePoint, priority: u8) {
        self.share(now, priority).record_arrival(now);
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: TimePoint, priority: u8) {
        self.refill(now);
        self.turns = (self.turns - 1.0).max(-ADVANCE);
        self.share(now, priority).take(now);
    }

    /// Records that an endpoint rejected a request; `is_last` states that no further endpoint is asked.
    pub fn record_rejection(&mut self, now: TimePoint, is_last: bool) {
        let was_overloaded = self.is_rejected(now);
        self.rejected_at = Some(now);
        self.refill(now);
        if !was_overloaded {
            self.rate = (self.throughput(now) * INITIAL_FACTOR).max(self.rate);
            self.turns = MIN_BURST;
            self.lowered_at = now;
            self.overloaded_at = now;
            return;
        }
        if now.since(self.lowered_at) < self.call_time.max(MIN_ROUND_TRIP) {
            return;
        }
        self.lowered_at = now;
        let by_one = self.rate - self.growth(INCREASE_FRACTION) / TOLERATED;
        let lowered = if is_last { self.rate * DECREASE } else { by_one };
        self.rate = self.rate.min(lowered.max(self.throughput(now) * MIN_THROUGHPUT).max(MIN_RATE));
    }

    /// Records that a request was served `took` after it was sent.
    pub fn record_success(&mut self, now: TimePoint, took: Duration) {
        self.successes.record(now);
        self.call_time = self.call_time.mul_f64(1.0 - CALL_TIME_WEIGHT) + took.mul_f64(CALL_TIME_WEIGHT);
        self.refill(now);
        // If fewer requests are sent than the rate allows, successes do not show that a higher rate is possible.
        if self.turns < self.burst() / 2.0 {
            let is_quiet = self.rejected_at.is_none_or(|at| now.since(at) >= QUIET_TIME);
            let fraction = if is_quiet { QUIET_INCREASE_FRACTION } else { INCREASE_FRACTION };
            self.rate += self.growth(fraction);
        }
    }

    /// Sets the fraction of each priority's requests that this host may send, from the demand at all hosts; `None` when
    /// there is no fresh information. A priority without a fraction is not limited.
    ///
    /// The fractions expire two seconds after they were last set.
    pub fn set_shares(&mut self, now: TimePoint, fractions: Option<&BTreeMap<u8, f64>>) {
        self.shares_set_at = fractions.map(|_| now);
        for (priority, fraction) in fractions.into_iter().flatten() {
            self.share(now, *priority).set_fraction(now, *fraction);
        }
        for (priority, share) in &mut self.shares {
            if fractions.is_none_or(|fractions| !fractions.contains_key(priority)) {
                share.set_fraction(now, 1.0);
            }
        }
    }

    /// Whether no requests of lower priorities arrive.
    fn is_lowest(&self, now: TimePoint, priority: u8) -> bool {
        let mut lower = self.shares.range(priority.saturating_add(1)..);
        !lower.any(|(_, share)| share.arrivals(now) >= MIN_ARRIVALS)
    }

    /// Whether the rate has had time to adapt to the overload.
    fn is_settled(&self, now: TimePoint) -> bool {
        now.since(self.overloaded_at) >= SETTLING_TIME
    }

    /// By how much a success raises the rate.
    fn growth(&self, fraction: f64) -> f64 {
        INCREASE.max(self.rate * fraction) / self.rate
    }

    /// Whether an endpoint rejected a request recently.
    fn is_rejected(&self, now: TimePoint) -> bool {
        self.rejected_at.is_some_and(|at| now.since(at) < RECOVERY_TIME)
    }

    fn has_shares(&self, now: TimePoint) -> bool {
        self.shares_set_at.is_some_and(|at| now.since(at) < SHARE_RETENTION)
    }

    fn share(&mut self, now: TimePoint, priority: u8) -> &mut DispatchShare {
        self.shares.entry(priority).or_insert_with(|| DispatchShare::new(now))
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_TIME.as_secs_f64()).max(MIN_BURST)
    }

    fn refill(&mut self, now: TimePoint) {
        self.turns = self.turns_at(now);
        self.refilled_at = now;
    }

    fn turns_at(&self, now: TimePoint) -> f64 {
        (self.turns + self.rate * now.since(self.refilled_at).as_secs_f64()).min(self.burst())
    }
}
