use std::collections::BTreeMap;
use std::time::Duration;

use super::priority_level::PriorityLevel;
use super::rate_meter::RateMeter;
use super::{QueueLimits, QueueRefusal, QueueRequest};
use crate::TimePoint;

/// How long sent requests count towards the rate at which requests leave the queue.
const OUTFLOW_MEMORY: Duration = Duration::from_secs(3);
/// Minimum fraction of the dispatch rate by which the wait of a priority is forecast, even if requests of higher
/// priorities arrive at the full rate: the measured arrival rate of a few requests is inexact, and some of those
/// requests are refused instead of being sent.
const MIN_FREE: f64 = 0.1;
/// Multiple of the usual time of a call that is reserved for a request once it is sent.
const CALL_TIME_MARGIN: f64 = 1.5;

/// The requests of one service that wait at one host for their turn.
///
/// Requests are sent by priority, then in turn by account, then by the time left. Each priority with demand gets a
/// minimum share of the turns.
///
/// ```
/// use hollyhook_core::{QueueLimits, QueueRequest, RequestQueue, TimePoint};
///
/// let limits = QueueLimits { requests: 100, bytes: 1 << 20, minimum_share: 0.02 };
/// let now = TimePoint::from_millis(1);
/// let mut queue = RequestQueue::new(limits, now);
/// queue.push(now, QueueRequest::new("batch".into(), 2, now), None).unwrap();
/// let (urgent, displaced) = queue.push(now, QueueRequest::new("desk".into(), 0, now), None).unwrap();
/// assert!(displaced.is_empty());
/// assert_eq!(queue.pop(now, |_| true).unwrap().id, urgent);
/// ```
#[derive(Debug)]
pub struct RequestQueue {
    limits: QueueLimits,
    levels: BTreeMap<u8, PriorityLevel>,
    requests: BTreeMap<u64, QueueRequest>,
    bytes: usize,
    next_id: u64,
    outflow: RateMeter,
    /// Usual time of a call.
    call_time: Duration,
    /// When the host stops; requests that would end later are refused.
    closes_at: Option<TimePoint>,
}

impl RequestQueue {
    /// Minimum fraction of its caller's time limit that is left when a waiting request is refused, so that the caller
    /// has time to try another host.
    pub const RESERVED_TIME: f64 = 0.2;

    /// An empty queue.
    pub fn new(limits: QueueLimits, now: TimePoint) -> Self {
        Self {
            limits,
            levels: BTreeMap::new(),
            requests: BTreeMap::new(),
            bytes: 0,
            next_id: 0,
            outflow: RateMeter::new(now, OUTFLOW_MEMORY),
            call_time: Duration::ZERO,
            closes_at: None,
        }
    }

    /// Changes the bounds; waiting requests beyond them stay.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Sets the usual time of a call, from sending it to its end.
    pub fn set_call_time(&mut self, call_time: Duration) {
        self.call_time = call_time;
    }

    /// Sets when the host stops; requests that can't end before `at` are refused.
    pub fn close_at(&mut self, at: TimePoint) {
        self.closes_at = Some(at);
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// When the oldest waiting request arrived.
    pub fn oldest_arrival(&self) -> Option<TimePoint> {
        self.requests.values().map(|request| request.arrived).min()
    }

    /// The priorities that have waiting requests, the highest first.
    pub fn priorities(&self) -> impl Iterator<Item = u8> + '_ {
        self.levels.iter().filter(|(_, level)| !level.is_empty()).map(|(priority, _)| *priority)
    }

    /// Adds a request, and returns its id and the requests that it displaced.
    ///
    /// `rate` is how many requests per second are expected to be sent; `None` if it is not limited or not known.
    ///
    /// # Errors
    ///
    /// Why the request may not wait.
    pub fn push(
        &mut self,
        now: TimePoint,
        mut request: QueueRequest,
        rate: Option<f64>,
    ) -> Result<(u64, Vec<QueueRequest>), QueueRefusal> {
        self.level(now, request.priority).record_arrival(now);
        let displaced = self.make_place(now, &request)?;
        if self.is_empty() {
            self.outflow.skip_to(now);
        }
        request.id = self.next_id;
        self.next_id += 1;
        let id = request.id;
        self.insert(now, request);
        if let Some(refusal) = self.lateness_of(now, id, rate) {
            self.remove(id);
            self.insert_all(now, displaced);
            return Err(refusal);
        }
        Ok((id, displaced))
    }

    /// Adds a request that was popped but not sent, at its former place.
    pub fn restore(&mut self, now: TimePoint, request: QueueRequest) {
        let first_end = now + self.call_time;
        self.level(now, request.priority).restore(&request, first_end);
        self.bytes += request.bytes;
        self.requests.insert(request.id, request);
    }

    /// Removes a request whose caller has left; returns it if it was waiting.
    pub fn remove(&mut self, id: u64) -> Option<QueueRequest> {
        let request = self.requests.remove(&id)?;
        self.bytes -= request.bytes;
        if let Some(level) = self.levels.get_mut(&request.priority) {
            level.remove(&request);
        }
        Some(request)
    }

    /// Removes and returns the next request to send, of the priorities for which `is_open` returns true.
    ///
    /// A lower priority that has accumulated a turn of its minimum share goes before the highest open one.
    pub fn pop(&mut self, now: TimePoint, is_open: impl Fn(u8) -> bool) -> Option<QueueRequest> {
        let open = self.priorities().find(|priority| is_open(*priority))?;
        let is_owed = |priority: &u8| *priority > open && self.levels[priority].credit >= 1.0;
        let priority = self.priorities().find(is_owed).unwrap_or(open);
        let first_end = now + self.call_time;
        let level = self.levels.get_mut(&priority)?;
        let id = level.pop(first_end)?;
        level.forget_if_empty();
        self.share_turn(now, priority);
        self.outflow.record(now);
        let request = self.requests.remove(&id)?;
        self.bytes -= request.bytes;
        Some(request)
    }

    /// Removes the requests that can no longer end in time, each with the cause.
    pub fn expire(&mut self, now: TimePoint, rate: Option<f64>) -> Vec<(QueueRequest, QueueRefusal)> {
        let first_end = now + self.call_time;
        let mut refused = Vec::new();
        for priority in self.priorities().collect::<Vec<_>>() {
            let forecast = self.levels.get_mut(&priority).map(|level| level.forecast(first_end)).unwrap_or_default();
            for (id, ahead) in forecast {
                let wait = self.wait_behind(now, priority, ahead, rate);
                let refusal = self.requests.get(&id).and_then(|request| self.lateness(now, request, wait));
                refused.extend(refusal.map(|refusal| (id, refusal)));
            }
        }
        let refused = refused.into_iter();
        refused.filter_map(|(id, refusal)| self.remove(id).map(|request| (request, refusal))).collect()
    }

    /// How long a new request of a priority would wait for its turn.
    pub fn expected_wait(&self, now: TimePoint, priority: u8, rate: Option<f64>) -> Duration {
        let ahead = self.levels.get(&priority).map_or(0, PriorityLevel::len);
        self.wait_behind(now, priority, ahead, rate)
    }

    fn level(&mut self, now: TimePoint, priority: u8) -> &mut PriorityLevel {
        self.levels.entry(priority).or_insert_with(|| PriorityLevel::new(now))
    }

    fn insert(&mut self, now: TimePoint, request: QueueRequest) {
        let first_end = now + self.call_time;
        self.level(now, request.priority).insert(&request, first_end);
        self.bytes += request.bytes;
        self.requests.insert(request.id, request);
    }

    fn insert_all(&mut self, now: TimePoint, requests: Vec<QueueRequest>) {
        for request in requests {
            self.insert(now, request);
        }
    }

    /// Counts a turn of a priority, and adds the minimum share of this turn to the credit of all others with demand.
    fn share_turn(&mut self, now: TimePoint, priority: u8) {
        let share = self.limits.minimum_share;
        for (other, level) in &mut self.levels {
            if *other == priority {
                level.credit = (level.credit - 1.0).max(0.0);
            } else if level.has_demand(now) {
                level.credit = (level.credit + share).min(1.0);
            } else {
                level.credit = 0.0;
            }
        }
    }

    /// Displaces requests until there is space for a new one, and returns them.
    fn make_place(&mut self, now: TimePoint, request: &QueueRequest) -> Result<Vec<QueueRequest>, QueueRefusal> {
        let mut displaced = Vec::new();
        while self.len() >= self.limits.requests || self.bytes + request.bytes > self.limits.bytes {
            let Some(victim) = self.victim(request).and_then(|id| self.remove(id)) else {
                self.insert_all(now, displaced);
                return Err(QueueRefusal::Full);
            };
            displaced.push(victim);
        }
        Ok(displaced)
    }

    /// The request that a new one displaces: the last one of the lowest priority, if that priority is lower than that
    /// of the new request, or if its account would still have more waiting requests than the account of the new one.
    ///
    /// Otherwise an account that fills the queue would leave no places for the others of its priority.
    fn victim(&self, request: &QueueRequest) -> Option<u64> {
        let (priority, level) = self.levels.iter().rev().find(|(_, level)| !level.is_empty())?;
        let (id, places) = level.last()?;
        let is_larger = || places > level.account_len(&request.account) + 1;
        (*priority > request.priority || *priority == request.priority && is_larger()).then_some(id)
    }

    fn lateness_of(&self, now: TimePoint, id: u64, rate: Option<f64>) -> Option<QueueRefusal> {
        let request = self.requests.get(&id)?;
        let ahead = self.levels.get(&request.priority).map_or(0, |level| level.ahead(request));
        self.lateness(now, request, self.wait_behind(now, request.priority, ahead, rate))
    }

    /// Why a request that waits for another `wait` can't end in time; `None` if it can.
    fn lateness(&self, now: TimePoint, request: &QueueRequest, wait: Duration) -> Option<QueueRefusal> {
        let call_time = self.call_time.mul_f64(CALL_TIME_MARGIN);
        let sent_at = now + wait;
        if self.closes_at.is_some_and(|at| sent_at + call_time > at) {
            return Some(QueueRefusal::Stopping);
        }
        let reserve = request.deadline.since(request.arrived).mul_f64(Self::RESERVED_TIME).max(call_time);
        (sent_at + reserve > request.deadline).then_some(QueueRefusal::TooLate)
    }

    /// The expected wait of a request with `ahead` others of its priority before it.
    ///
    /// Requests of higher priorities that wait or are expected to arrive are sent first, except for the minimum share.
    fn wait_behind(&self, now: TimePoint, priority: u8, ahead: usize, rate: Option<f64>) -> Duration {
        let Some(rate) = rate.or_else(|| self.outflow.rate(now)).filter(|rate| *rate > 0.0) else {
            return Duration::ZERO;
        };
        let (mut waiting, mut inflow) = (0, 0.0);
        for level in self.levels.range(..priority).map(|(_, level)| level) {
            waiting += level.len();
            inflow += level.inflow(now);
        }
        let free = (rate - inflow).max(rate * MIN_FREE);
        let in_order = (waiting + ahead) as f64 / free;
        let credit = self.levels.get(&priority).map_or(0.0, |level| level.credit);
        let by_share = ((ahead + 1) as f64 - credit).max(0.0) / (rate * self.limits.minimum_share).max(f64::EPSILON);
        Duration::try_from_secs_f64(in_order.min(by_share)).unwrap_or(Duration::MAX)
    }
}
