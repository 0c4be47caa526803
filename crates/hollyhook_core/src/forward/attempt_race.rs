use std::time::Duration;

use super::AttemptLedger;
use crate::TimePoint;

/// How long an earlier attempt stays open after the request that continues from its copy was sent, if that one has no
/// response head. The engines of both may work on the request for 400 ms; the rest is left for the network and timers.
const TAKEOVER_LIMIT: Duration = Duration::from_millis(250);

/// Identifies one attempt of a race.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(u32);

/// What an attempt begins from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptBasis {
    /// The request alone.
    Start,
    /// The last event that the caller has.
    Cursor,
    /// The last event that the caller has, and a copy of an earlier attempt's KV cache.
    Copy,
}

/// Open attempts that may not go on beside another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RaceClosure {
    /// The attempt that goes on with the request.
    pub kept: AttemptKey,
    /// The attempts whose connections are to be closed now.
    pub closed: Vec<AttemptKey>,
}

/// What a request's driver does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RaceStep {
    /// No attempt is open: begin one, or end the request if its ledger says so.
    Begin,
    /// Every open attempt is suspected: begin another beside them, at an endpoint that shows signs of life.
    BeginBeside,
    /// Wait for the open attempts.
    Wait,
}

/// The open attempts at one request: which are suspected, and which has won.
///
/// A silent attempt is only suspected, since its endpoint may have paused. It stays open while another attempt is made,
/// and whichever answers first wins; the others are cancelled. Only an attempt that is known to be lost is removed
/// before another one has answered. While an attempt is open, exhausted limits on further attempts do not end the
/// request.
///
/// A request must not be worked on at two engines for long once it continues at the second one. An attempt that continues
/// the request therefore takes it over when its head has been accepted, which shows that its engine lives and has
/// admitted the request, and one that continues from a copy after 250 ms at the latest: the earlier attempts are then
/// closed. If the later attempt fails before that, the earlier ones stay open and go on.
///
/// ```
/// use hollyhook_core::{AttemptLedger, AttemptRace, RaceStep, RequestKind};
///
/// let ledger = AttemptLedger::new(RequestKind::Idempotent, 3, 4);
/// let mut race = AttemptRace::default();
/// assert_eq!(race.next_step(&ledger), RaceStep::Begin);
/// let first = race.begin();
/// assert_eq!(race.next_step(&ledger), RaceStep::Wait);
/// race.suspect(first);
/// assert_eq!(race.next_step(&ledger), RaceStep::BeginBeside);
/// let second = race.begin();
/// assert_eq!(race.next_step(&ledger), RaceStep::Wait);
/// assert_eq!(race.win(first), [second]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct AttemptRace {
    open: Vec<OpenAttempt>,
    next_key: u32,
}

#[derive(Debug, Clone, Copy)]
struct OpenAttempt {
    key: AttemptKey,
    basis: AttemptBasis,
    is_suspected: bool,
    /// When the request was sent; `None` while there is no connection to send it on.
    sent_at: Option<TimePoint>,
    /// Whether the head of the response has been accepted.
    is_accepted: bool,
}

impl OpenAttempt {
    fn has_taken_over(&self, now: TimePoint) -> bool {
        let is_due = self.takeover_at().is_some_and(|at| at <= now);
        is_due || self.is_accepted && self.basis != AttemptBasis::Start
    }

    /// When the attempt takes over without a head.
    fn takeover_at(&self) -> Option<TimePoint> {
        self.is_sent_from_copy().then_some(self.sent_at? + TAKEOVER_LIMIT)
    }

    fn is_sent_from_copy(&self) -> bool {
        self.basis == AttemptBasis::Copy && self.sent_at.is_some()
    }
}

impl AttemptRace {
    /// The maximum number of open attempts at one request, each of which takes a slot and memory at its endpoint.
    pub const MAX_OPEN: usize = 3;

    /// Adds an attempt that is being made with the request alone.
    pub fn begin(&mut self) -> AttemptKey {
        self.begin_from(AttemptBasis::Start)
    }

    /// Adds an attempt that is being made.
    pub fn begin_from(&mut self, basis: AttemptBasis) -> AttemptKey {
        let key = AttemptKey(self.next_key);
        self.next_key += 1;
        self.open.push(OpenAttempt { key, basis, is_suspected: false, sent_at: None, is_accepted: false });
        key
    }

    /// Records when the request of an attempt was sent.
    pub fn record_sent(&mut self, key: AttemptKey, at: TimePoint) {
        if let Some(attempt) = self.open.iter_mut().find(|attempt| attempt.key == key) {
            attempt.sent_at = Some(at);
        }
    }

    /// Records that the head of an attempt's response has been accepted.
    pub fn record_accepted(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.open.iter_mut().find(|attempt| attempt.key == key) {
            attempt.is_accepted = true;
        }
    }

    /// Removes the attempts that may not go on beside another one, and returns them; `None` if there are none.
    ///
    /// These are the ones before an attempt that has taken the request over, and the ones without a head or a copy after
    /// an attempt that is trusted again.
    pub fn settle(&mut self, now: TimePoint) -> Option<RaceClosure> {
        let successor = self.open.iter().rev().find(|attempt| attempt.has_taken_over(now)).map(|attempt| attempt.key);
        if let Some(kept) = successor {
            let closed = self.extract(|attempt| attempt.key < kept);
            if !closed.is_empty() {
                return Some(RaceClosure { kept, closed });
            }
        }
        let kept = self.open.iter().find(|attempt| !attempt.is_suspected)?.key;
        let closed =
            self.extract(|attempt| attempt.key > kept && attempt.basis == AttemptBasis::Cursor && !attempt.is_accepted);
        (!closed.is_empty()).then_some(RaceClosure { kept, closed })
    }

    /// When an attempt is going to take the request over from others that are still open.
    pub fn settle_at(&self) -> Option<TimePoint> {
        self.open.iter().skip(1).filter_map(OpenAttempt::takeover_at).min()
    }

    /// Marks an attempt as suspected, because its endpoint has been silent for too long; returns whether it was not
    /// suspected before.
    pub fn suspect(&mut self, key: AttemptKey) -> bool {
        self.mark(key, true)
    }

    /// Marks an attempt as no longer suspected; returns whether it was suspected before.
    pub fn trust(&mut self, key: AttemptKey) -> bool {
        self.mark(key, false)
    }

    fn mark(&mut self, key: AttemptKey, is_suspected: bool) -> bool {
        let Some(attempt) = self.open.iter_mut().find(|attempt| attempt.key == key) else {
            return false;
        };
        std::mem::replace(&mut attempt.is_suspected, is_suspected) != is_suspected
    }

    /// Records that an attempt has answered, or has sent an event that its caller does not have yet; returns the other
    /// attempts, which are to be cancelled.
    pub fn win(&mut self, key: AttemptKey) -> Vec<AttemptKey> {
        self.trust(key);
        self.extract(|attempt| attempt.key != key)
    }

    /// Whether the events of an attempt are not read for now, because the request was sent on with a copy: the attempt
    /// may win only if that one fails before it takes over.
    pub fn is_held(&self, key: AttemptKey) -> bool {
        self.open.iter().any(|attempt| attempt.key > key && attempt.is_sent_from_copy())
    }

    fn extract(&mut self, is_removed: impl Fn(&OpenAttempt) -> bool) -> Vec<AttemptKey> {
        self.open.extract_if(.., |attempt| is_removed(attempt)).map(|attempt| attempt.key).collect()
    }

    /// Removes an attempt that has failed or was cancelled.
    pub fn remove(&mut self, key: AttemptKey) {
        self.open.retain(|attempt| attempt.key != key);
    }

    /// Whether an open attempt is suspected.
    pub fn is_suspected(&self, key: AttemptKey) -> bool {
        self.open.iter().any(|attempt| attempt.key == key && attempt.is_suspected)
    }

    /// The number of open attempts.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// What to do next. `ledger` counts the attempts that have failed.
    pub fn next_step(&self, ledger: &AttemptLedger) -> RaceStep {
        if self.open.is_empty() {
            return RaceStep::Begin;
        }
        let is_any_trusted = self.open.iter().any(|attempt| !attempt.is_suspected);
        let may_begin = self.open.len() < Self::MAX_OPEN && ledger.allows_beside(self.open.len());
        if is_any_trusted || !may_begin { RaceStep::Wait } else { RaceStep::BeginBeside }
    }
}
