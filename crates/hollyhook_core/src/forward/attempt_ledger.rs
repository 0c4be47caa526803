use std::time::Duration;

use super::AttemptFailure;
use crate::{Error, ErrorKind, RequestKind, RouteConfig};

/// Why no further attempt is made for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// It may have run and may not be repeated.
    MayNotRepeat,
    /// It may have run at as many endpoints as its route allows.
    MostRuns,
    /// Every endpoint that was asked turned it away.
    MostTurnedAway,
    /// The caller's or the route's time is up.
    TimeUp,
    /// The retry budget of the service is spent.
    BudgetSpent,
    /// No endpoint is left.
    NoEndpoint,
    /// Every endpoint that is left takes no more requests for now, by its own word.
    HeldBack,
    /// Every endpoint that was asked would serve it too late.
    Overloaded,
    /// It ends the endpoints that run it.
    Quarantined,
}

impl StopReason {
    /// What a person should know.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::MayNotRepeat => "the request was sent, may not be repeated, and what became of it is not known",
            Self::MostRuns => "the request was sent to as many endpoints as its route allows",
            Self::MostTurnedAway => "every endpoint that was asked turned the request away",
            Self::TimeUp => "the caller's time is up",
            Self::BudgetSpent => "the retry budget of the service is spent",
            Self::NoEndpoint => "no endpoint of the service is left",
            Self::HeldBack => "the endpoints of the service take no more requests for now",
            Self::Quarantined => "endpoints that began to run the same request ended",
            Self::Overloaded => "the endpoints have more before this request than its caller's time allows",
        }
    }
}

/// The attempts at one request: which may have run, whether another may be made, and what is true at the end.
///
/// ```
/// use hollyhook_core::{AttemptFailure, AttemptLedger, ErrorKind, RequestKind, StopReason};
/// use std::time::Duration;
///
/// let mut ledger = AttemptLedger::new(RequestKind::NonIdempotent, 1, 3);
/// ledger.note(AttemptFailure::Rejected);
/// assert_eq!(ledger.stop_reason(Duration::from_secs(1)), None);
/// ledger.note(AttemptFailure::Broken);
/// let reason = ledger.stop_reason(Duration::from_secs(1)).unwrap();
/// assert_eq!(reason, StopReason::MayNotRepeat);
/// assert_eq!(ledger.end(reason, 0, Duration::ZERO).kind(), ErrorKind::OutcomeUnknown);
/// ```
#[derive(Debug, Clone)]
pub struct AttemptLedger {
    kind: RequestKind,
    most_runs: u32,
    most_turned_away: u32,
    runs: u32,
    turned_away: u32,
    misdirected: u32,
}

impl AttemptLedger {
    /// A ledger for a request that may run at `most_runs` endpoints and be turned away by `most_turned_away`.
    pub fn new(kind: RequestKind, most_runs: u32, most_turned_away: u32) -> Self {
        Self { kind, most_runs, most_turned_away, runs: 0, turned_away: 0, misdirected: 0 }
    }

    /// A ledger for a request on a route.
    pub fn for_route(route: &RouteConfig, most_turned_away: u32) -> Self {
        Self::new(route.kind, route.max_attempts, most_turned_away)
    }

    /// Counts an attempt that failed.
    ///
    /// One that met another incarnation does not count as turned away: it tells nothing of the service's load, and the
    /// endpoint is not chosen again. After an outage of the platform most of what a host knows may be of that kind.
    pub fn note(&mut self, failure: AttemptFailure) {
        match failure {
            AttemptFailure::WrongIncarnation => self.misdirected += 1,
            failure if failure.is_not_run() => self.turned_away += 1,
            _ => self.runs += 1,
        }
    }

    /// Attempts that failed.
    pub fn attempts(&self) -> u32 {
        self.runs + self.turned_away + self.misdirected
    }

    /// Whether the next attempt is the last that may run.
    pub fn is_last(&self) -> bool {
        self.runs + 1 >= self.most_runs
    }

    /// Why no further attempt may be made, if none may; the retry budget is asked besides.
    pub fn stop_reason(&self, time_left: Duration) -> Option<StopReason> {
        if self.runs > 0 && !self.kind.is_repeatable() {
            Some(StopReason::MayNotRepeat)
        } else if self.runs >= self.most_runs {
            Some(StopReason::MostRuns)
        } else if self.turned_away >= self.most_turned_away {
            Some(StopReason::MostTurnedAway)
        } else if time_left.is_zero() {
            Some(StopReason::TimeUp)
        } else {
            None
        }
    }

    /// What the caller is told at the end; "not run" only if no attempt may have run, with when to come back.
    pub fn end(&self, reason: StopReason, delivered: u64, retry_after: Duration) -> Error {
        let kind = match (self.runs, self.turned_away + self.misdirected, delivered) {
            (0, _, _) if matches!(reason, StopReason::Overloaded | StopReason::HeldBack) => ErrorKind::Overloaded,
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
