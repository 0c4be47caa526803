use crate::{EndpointId, TimePoint};

/// What the driver reports to a [`CallGuard`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEvent {
    /// The call was admitted.
    Started,
    /// An endpoint was found.
    Assigned {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// No endpoint can take it now.
    Unassigned,
    /// The connection could not be made: no byte was written.
    ConnectFailed,
    /// The first byte is about to be written.
    Sending,
    /// The whole answer came.
    Answered,
    /// The connection broke before the whole answer came.
    ConnectionLost,
    /// The retry that was asked for was refused by the budget.
    RetryRefused,
    /// The caller's time is over.
    DeadlinePassed,
}

/// What a [`CallGuard`] asks its driver to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallAction {
    /// Find an endpoint, avoiding those.
    Assign {
        /// Endpoints that failed this call before.
        avoid: Vec<EndpointId>,
        /// Whether the retry budget has to pay.
        is_retry: bool,
    },
    /// Connect to the endpoint, report `Sending`, write.
    Send {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Give the caller the final word.
    Finish(CallOutcome),
}

/// The final word on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The endpoint's whole answer came.
    Answered,
    /// No byte was written to any endpoint.
    NotRun,
    /// It was sent, and no answer came.
    Unknown,
}

/// Sends one call to a plain service, and never twice if it may not be repeated.
///
/// Goes not run → sent → answered or unknown. "Not run" is said only while no byte has been written.
#[derive(Debug)]
pub struct CallGuard {
    is_repeatable: bool,
    deadline: TimePoint,
    tries_left: u32,
    endpoint: Option<EndpointId>,
    avoid: Vec<EndpointId>,
    was_sent: bool,
    is_done: bool,
}

impl CallGuard {
    const MAX_TRIES: u32 = 4;

    /// A guard of a new call; `deadline` is when the caller stops waiting.
    pub fn new(is_repeatable: bool, deadline: TimePoint) -> Self {
        Self {
            is_repeatable,
            deadline,
            tries_left: Self::MAX_TRIES,
            endpoint: None,
            avoid: Vec::new(),
            was_sent: false,
            is_done: false,
        }
    }

    /// Whether a byte may have been written to an endpoint.
    pub fn was_sent(&self) -> bool {
        self.was_sent
    }

    /// Takes one event and says what to do, if anything.
    pub fn on(&mut self, now: TimePoint, event: CallEvent) -> Option<CallAction> {
        if self.is_done {
            return None;
        }
        match event {
            CallEvent::Started => Some(self.assign(false)),
            CallEvent::Assigned { endpoint } => Some(self.send(endpoint)),
            CallEvent::Sending => {
                self.was_sent = true;
                None
            }
            CallEvent::Answered => Some(self.finish(CallOutcome::Answered)),
            CallEvent::Unassigned | CallEvent::RetryRefused | CallEvent::DeadlinePassed => Some(self.give_up()),
            CallEvent::ConnectFailed => Some(self.retry(now)),
            CallEvent::ConnectionLost => Some(self.lose(now)),
        }
    }

    fn assign(&mut self, is_retry: bool) -> CallAction {
        self.tries_left -= 1;
        CallAction::Assign { avoid: self.avoid.clone(), is_retry }
    }

    fn send(&mut self, endpoint: EndpointId) -> CallAction {
        self.endpoint = Some(EndpointId::clone(&endpoint));
        CallAction::Send { endpoint }
    }

    fn lose(&mut self, now: TimePoint) -> CallAction {
        if self.was_sent && !self.is_repeatable {
            return self.finish(CallOutcome::Unknown);
        }
        self.retry(now)
    }

    fn retry(&mut self, now: TimePoint) -> CallAction {
        if self.tries_left == 0 || now >= self.deadline {
            return self.give_up();
        }
        self.avoid.extend(self.endpoint.take());
        self.assign(true)
    }

    fn give_up(&mut self) -> CallAction {
        let outcome = if self.was_sent { CallOutcome::Unknown } else { CallOutcome::NotRun };
        self.finish(outcome)
    }

    fn finish(&mut self, outcome: CallOutcome) -> CallAction {
        self.is_done = true;
        CallAction::Finish(outcome)
    }
}
