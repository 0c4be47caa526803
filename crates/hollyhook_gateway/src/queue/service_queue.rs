use std::collections::HashMap;
use std::time::Duration;

use futures::channel::oneshot;
use hollyhook_core::{DispatchRate, QueueLimits, QueueRefusal, QueueRequest, RequestQueue, RoomGate, TimePoint};

use super::queue_verdict::{QueueVerdict, RefusedWait};

/// How often waiting requests are checked for whether they can still end in time.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How often a service without waiting requests is checked for whether it is still overloaded.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Bounds of the Retry-After delay. With a shorter one, the caller would retry before the load has changed; the load
/// more than a few seconds ahead can't be predicted.
const MIN_RETRY: Duration = Duration::from_millis(120);
const MAX_RETRY: Duration = Duration::from_secs(5);

/// The queue of one service with its dispatch rate and the channels to the tasks that wait.
#[derive(Debug)]
pub(super) struct ServiceQueue {
    pub(super) queue: RequestQueue,
    pub(super) rate: DispatchRate,
    pub(super) gate: RoomGate,
    waiters: HashMap<u64, oneshot::Sender<QueueVerdict>>,
    /// Whether a request that got its turn is looking for an endpoint.
    is_turn_taken: bool,
    /// Whether a task drives the queue.
    pub(super) is_driven: bool,
    /// Whether the service was overloaded when that was last logged.
    pub(super) was_overloaded: bool,
    checked_at: TimePoint,
}

/// A step of a queue, to be carried out after its lock has been released.
pub(super) enum QueueStep {
    /// The request gets its turn.
    Send(QueueRequest, oneshot::Sender<QueueVerdict>),
    /// The request is refused.
    Refuse(QueueRequest, QueueRefusal, Duration, oneshot::Sender<QueueVerdict>),
}

impl ServiceQueue {
    pub(super) fn new(now: TimePoint, limits: QueueLimits, call_time: Duration) -> Self {
        Self {
            queue: RequestQueue::new(limits, now),
            rate: DispatchRate::new(now, call_time),
            gate: RoomGate::default(),
            waiters: HashMap::new(),
            is_turn_taken: false,
            is_driven: false,
            was_overloaded: false,
            checked_at: now,
        }
    }

    /// Adds a request; returns its id, the receiver of its verdict and the steps for those that it displaced.
    pub(super) fn push(
        &mut self,
        now: TimePoint,
        request: QueueRequest,
    ) -> Result<(u64, oneshot::Receiver<QueueVerdict>, Vec<QueueStep>), RefusedWait> {
        let priority = request.priority;
        self.queue.set_call_time(self.rate.call_time());
        self.rate.record_arrival(now, priority);
        let pushed = self.queue.push(now, request, self.rate.expected_rate(now));
        let (id, displaced) = pushed.map_err(|refusal| self.refused(now, priority, refusal))?;
        let receiver = self.add_waiter(id);
        let displaced = displaced.into_iter().map(|request| (request, QueueRefusal::Displaced)).collect();
        Ok((id, receiver, self.refuse_all(now, displaced)))
    }

    /// Ends the turn of a request that found no room; the request waits again.
    pub(super) fn restore(&mut self, now: TimePoint, request: QueueRequest) -> oneshot::Receiver<QueueVerdict> {
        self.is_turn_taken = false;
        self.record_full(now, request.priority);
        let receiver = self.add_waiter(request.id);
        self.queue.restore(now, request);
        receiver
    }

    /// Records that a request of a priority found no room.
    pub(super) fn record_full(&mut self, now: TimePoint, priority: u8) {
        self.gate.record_full(now, priority, self.rate.call_time());
    }

    pub(super) fn remove(&mut self, id: u64) {
        self.queue.remove(id);
        self.waiters.remove(&id);
    }

    pub(super) fn end_turn(&mut self) {
        self.is_turn_taken = false;
    }

    /// The refusal of a request, with the time after which its caller should retry.
    pub(super) fn refused(&self, now: TimePoint, priority: u8, refusal: QueueRefusal) -> RefusedWait {
        let wait = self.queue.expected_wait(now, priority, self.rate.expected_rate(now));
        RefusedWait { refusal, retry_after: wait.clamp(MIN_RETRY, MAX_RETRY) }
    }

    /// Whether requests wait, or the end of an overload has not been logged yet.
    pub(super) fn is_active(&self) -> bool {
        !self.queue.is_empty() || self.was_overloaded
    }

    /// Whether a new request must wait behind others, or for its turn.
    pub(super) fn must_wait(&self, now: TimePoint, priority: u8) -> bool {
        !self.queue.is_empty() || self.rate.is_overloaded(now) || self.gate.is_full_for(priority)
    }

    /// The requests that get their turn or are refused now.
    pub(super) fn steps(&mut self, now: TimePoint) -> Vec<QueueStep> {
        let mut steps = Vec::new();
        if now.since(self.checked_at) >= CHECK_INTERVAL {
            self.checked_at = now;
            self.queue.set_call_time(self.rate.call_time());
            let expired = self.queue.expire(now, self.rate.expected_rate(now));
            steps = self.refuse_all(now, expired);
        }
        if !self.is_turn_taken {
            let (rate, gate) = (&self.rate, &self.gate);
            let is_open = |priority| opens_at(rate, gate, now, priority) <= now;
            let request = self.queue.pop(now, is_open);
            if let Some((request, sender)) = request.and_then(|request| self.take_waiter(request)) {
                self.is_turn_taken = true;
                steps.push(QueueStep::Send(request, sender));
            }
        }
        steps
    }

    /// The latest time at which the queue has to be checked again.
    pub(super) fn next_check(&self, now: TimePoint) -> TimePoint {
        if self.queue.is_empty() {
            return now + LOAD_CHECK_INTERVAL;
        }
        let check = now + CHECK_INTERVAL;
        if self.is_turn_taken {
            return check;
        }
        let opens = self.queue.priorities().map(|priority| opens_at(&self.rate, &self.gate, now, priority));
        opens.min().map_or(check, |at| at.min(check))
    }

    fn add_waiter(&mut self, id: u64) -> oneshot::Receiver<QueueVerdict> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(id, sender);
        receiver
    }

    fn take_waiter(&mut self, request: QueueRequest) -> Option<(QueueRequest, oneshot::Sender<QueueVerdict>)> {
        let sender = self.waiters.remove(&request.id)?;
        Some((request, sender))
    }

    fn refuse_all(&mut self, now: TimePoint, refused: Vec<(QueueRequest, QueueRefusal)>) -> Vec<QueueStep> {
        let refuse = |(request, refusal): (QueueRequest, QueueRefusal)| {
            let retry_after = self.refused(now, request.priority, refusal).retry_after;
            let (request, sender) = self.take_waiter(request)?;
            Some(QueueStep::Refuse(request, refusal, retry_after, sender))
        };
        refused.into_iter().filter_map(refuse).collect()
    }
}

/// When a request of a priority may be sent.
fn opens_at(rate: &DispatchRate, gate: &RoomGate, now: TimePoint, priority: u8) -> TimePoint {
    rate.opens_at(now, priority).max(gate.opens_at(now, priority))
}
