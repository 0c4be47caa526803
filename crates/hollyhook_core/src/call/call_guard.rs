use crate::{EndpointId, TimePoint};

/// What the driver reports to a [`CallGuard`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEvent {
    /// The call was accepted and needs an endpoint.
    Started,
    /// An endpoint was chosen for the call.
    Assigned {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// No endpoint can accept the call now.
    Unassigned,
    /// The connection to the endpoint could not be made: no byte was written.
    ConnectFailed,
    /// The first byte of the request is about to be written.
    Sending,
    /// The whole answer arrived.
    Answered,
    /// The connection broke before the whole answer arrived.
    ConnectionLost,
    /// The retry budget refused the retry that `Assign` requested.
    RetryRefused,
    /// The caller's deadline has passed.
    DeadlinePassed,
}

/// What a [`CallGuard`] requests from its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallAction {
    /// Choose an endpoint and report `Assigned`, `Unassigned` or `RetryRefused`.
    Assign {
        /// Endpoints to avoid, since an earlier attempt at this call failed there.
        avoid: Vec<EndpointId>,
        /// Whether the attempt is a retry, to be charged to the retry budget.
        is_retry: bool,
    },
    /// Connect to the endpoint, report `Sending`, then write the request.
    Send {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Report the outcome to the caller; no further action follows.
    Finish(CallOutcome),
}

/// The final outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The endpoint's whole answer arrived.
    Answered,
    /// No byte was written to any endpoint.
    NotRun,
    /// The call was sent, in whole or in part, and no whole answer arrived: it may or may not have run.
    Unknown,
}

/// State machine of one call to a plain service; a call that may not be repeated is sent at most once.
///
/// The call goes from not run to sent, then to answered or unknown. The outcome is `NotRun` only if no byte has been
/// written to any endpoint.
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

    /// Creates the guard of a new call; `deadline` is when the caller stops waiting.
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

    /// Handles one event; returns the driver's next action, or `None` if there is none.
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
            CallEvent::ConnectionLost => Some(self.handle_loss(now)),
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

    fn handle_loss(&mut self, now: TimePoint) -> CallAction {
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
