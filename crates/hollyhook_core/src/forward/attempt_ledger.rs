use std::time::Duration;

use super::AttemptFailure;
use crate::{Error, ErrorKind, RequestKind, RouteConfig};

/// Why no further attempt is made for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// The request may have run, and its kind must not be repeated.
    NotRepeatable,
    /// The request may have run at as many endpoints as its route allows.
    RunLimit,
    /// As many attempts as allowed did not run, because endpoints rejected the request or could not be connected to.
    NotRunLimit,
    /// The deadline of the caller or the route passed.
    DeadlineExceeded,
    /// The retry budget of the service is exhausted.
    BudgetExhausted,
    /// No endpoint is left to try.
    NoEndpoint,
    /// Every endpoint that is left has advertised that it accepts no more requests for now.
    Throttled,
    /// Even the best endpoint would serve the request after the caller's deadline.
    Overloaded,
    /// Which software version began the stream is not known, and no other may continue it.
    OriginUnknown,
    /// The request is quarantined, because endpoints crashed while running it.
    Quarantined,
    /// The queue of waiting requests was full, and the request had no place in it or lost it to another.
    QueueFull,
    /// The host is shutting down, and the request could not end in its grace period.
    Stopping,
}

impl StopReason {
    /// Whether the service has too many requests for its capacity.
    fn is_overload(self) -> bool {
        matches!(self, Self::Overloaded | Self::Throttled | Self::QueueFull)
    }

    /// The reason, as stated in the error message to the caller.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "the request was sent, may not be repeated, and what became of it is not known",
            Self::RunLimit => "the request was sent to as many endpoints as its route allows",
            Self::NotRunLimit => "every endpoint that was asked turned the request away",
            Self::DeadlineExceeded => "the caller's time is up",
            Self::BudgetExhausted => "the retry budget of the service is spent",
            Self::NoEndpoint => "no endpoint of the service is left",
            Self::Throttled => "the endpoints of the service take no more requests for now",
            Self::OriginUnknown => "which software version began the stream is not known, and no other may continue it",
            Self::Quarantined => "endpoints that began to run the same request ended",
            Self::Overloaded => "the endpoints have more before this request than its caller's time allows",
            Self::QueueFull => "more requests wait for the service than this host has places for",
            Self::Stopping => "this host is stopping and the request might not end in time",
        }
    }
}

/// Counts the failed attempts at one request, and decides whether another may be made and which error the caller gets.
///
/// ```
/// use hollyhook_core::{AttemptFailure, AttemptLedger, ErrorKind, RequestKind, StopReason};
/// use std::time::Duration;
///
/// let mut ledger = AttemptLedger::new(RequestKind::NonIdempotent, 1, 3);
/// ledger.record_failure(AttemptFailure::Rejected);
/// assert_eq!(ledger.stop_reason(Duration::from_secs(1)), None);
/// ledger.record_failure(AttemptFailure::Broken);
/// let reason = ledger.stop_reason(Duration::from_secs(1)).unwrap();
/// assert_eq!(reason, StopReason::NotRepeatable);
/// assert_eq!(ledger.final_error(reason, 0, Duration::ZERO).kind(), ErrorKind::OutcomeUnknown);
/// ```
#[derive(Debug, Clone)]
pub struct AttemptLedger {
    kind: RequestKind,
    max_runs: u32,
    max_not_run: u32,
    runs: u32,
    not_run: u32,
    misdirected: u32,
}

impl AttemptLedger {
    /// A ledger for a request that may run at `max_runs` endpoints, and for up to `max_not_run` attempts that do not
    /// run.
    pub fn new(kind: RequestKind, max_runs: u32, max_not_run: u32) -> Self {
        Self { kind, max_runs, max_not_run, runs: 0, not_run: 0, misdirected: 0 }
    }

    /// A ledger for a request on a route, which sets the kind of the request and the limit on runs.
    pub fn for_route(route: &RouteConfig, max_not_run: u32) -> Self {
        Self::new(route.kind, route.max_attempts, max_not_run)
    }

    /// Records a failed attempt.
    ///
    /// An attempt that reached another incarnation does not count against `max_not_run`: it indicates nothing about the
    /// service's load, and the endpoint is not chosen again. After an outage of the platform, most endpoints that a
    /// host knows may have been replaced by another incarnation.
    pub fn record_failure(&mut self, failure: AttemptFailure) {
        match failure {
            AttemptFailure::WrongIncarnation => self.misdirected += 1,
            failure if failure.is_not_run() => self.not_run += 1,
            _ => self.runs += 1,
        }
    }

    /// Records an attempt that ended because its stream migrated to another endpoint.
    pub fn record_migration(&mut self) {
        self.runs += 1;
    }

    /// The number of failed attempts.
    pub fn attempts(&self) -> u32 {
        self.runs + self.not_run + self.misdirected
    }

    /// Whether another attempt may be made while `open` attempts, which may have run, are still open.
    pub fn allows_beside(&self, open: usize) -> bool {
        self.kind.is_repeatable() && self.runs + (open as u32) < self.max_runs && self.not_run < self.max_not_run
    }

    /// Whether the next attempt, if it runs, is the last allowed.
    pub fn is_last(&self) -> bool {
        self.runs + 1 >= self.max_runs
    }

    /// Why no further attempt may be made, or `None` if one may; the retry budget is checked elsewhere.
    pub fn stop_reason(&self, time_left: Duration) -> Option<StopReason> {
        if self.runs > 0 && !self.kind.is_repeatable() {
            Some(StopReason::NotRepeatable)
        } else if self.runs >= self.max_runs {
            Some(StopReason::RunLimit)
        } else if self.not_run >= self.max_not_run {
            Some(StopReason::NotRunLimit)
        } else if time_left.is_zero() {
            Some(StopReason::DeadlineExceeded)
        } else {
            None
        }
    }

    /// The error for the caller after the last attempt, with `delivered` events already sent to the caller.
    ///
    /// "Not run" and the retry delay are stated only if no attempt can have run.
    pub fn final_error(&self, reason: StopReason, delivered: u64, retry_after: Duration) -> Error {
        let kind = match (self.runs, self.not_run + self.misdirected, delivered) {
            (0, _, _) if reason.is_overload() => ErrorKind::Overloaded,
            (0, _, _) if reason == StopReason::Stopping => ErrorKind::Draining,
            (0, _, _) if reason == StopReason::Quarantined => ErrorKind::Quarantined,
            (0, 0, _) => ErrorKind::NoEndpoint,
            (0, _, _) => ErrorKind::NotRun,
            (_, _, 0) => ErrorKind::OutcomeUnknown,
            _ => ErrorKind::GenerationLost,
        };
        let error = Error::new(kind, reason.as_str());
        if self.runs == 0 { error.retry_after(retry_after) } else { error }
    }
}
