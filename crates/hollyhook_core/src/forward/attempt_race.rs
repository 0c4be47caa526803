use super::AttemptLedger;

/// Identifies one attempt of a race.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(u32);

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
    is_suspected: bool,
}

impl AttemptRace {
    /// The maximum number of open attempts at one request, each of which takes a slot and memory at its endpoint.
    pub const MAX_OPEN: usize = 3;

    /// Adds an attempt that is being made.
    pub fn begin(&mut self) -> AttemptKey {
        let key = AttemptKey(self.next_key);
        self.next_key += 1;
        self.open.push(OpenAttempt { key, is_suspected: false });
        key
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
        self.open.extract_if(.., |attempt| attempt.key != key).map(|attempt| attempt.key).collect()
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
