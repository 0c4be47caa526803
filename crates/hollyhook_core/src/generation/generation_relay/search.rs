//! Finding an endpoint for an attempt, and opening it there.

use super::GenerationRelay;
use crate::{
    AttemptNumber, EndpointId, ErrorKind, OpenMode, PrefixDigest, RelayAction, RelayCounter, RelayPhase, TimePoint,
};

/// Attempts that no endpoint takes before the search pauses, so that an outage is no storm of connections.
const MISSES_IN_ROUND: u32 = 3;
/// Doublings of the pause between searches.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

impl GenerationRelay {
    pub(super) fn assign(&mut self) {
        self.phase = RelayPhase::Assigning;
        let is_resume = self.lost_at.is_some();
        self.actions.push(RelayAction::Assign { attempt: self.attempt, avoid: self.avoid.clone(), is_resume });
    }

    pub(super) fn assigned(&mut self, now: TimePoint, attempt: AttemptNumber, endpoint: EndpointId) {
        if !self.is_current(attempt) || self.phase != RelayPhase::Assigning {
            return;
        }
        let mode = self.next_mode();
        self.open(now, endpoint, mode);
    }

    /// A log that does not reach back to the first token can't be resumed from, so its tokens are replayed.
    fn next_mode(&mut self) -> OpenMode {
        if self.log_base > 0 {
            self.begin_replay();
        }
        if self.log.is_empty() {
            return OpenMode::Fresh;
        }
        self.note(RelayCounter::Resumed);
        OpenMode::Resume
    }

    fn begin_replay(&mut self) {
        self.note(RelayCounter::Replayed);
        self.log.clear();
        self.log_base = 0;
        self.received = 0;
        self.replay = Some(PrefixDigest::default());
    }

    pub(super) fn open(&mut self, now: TimePoint, endpoint: EndpointId, mode: OpenMode) {
        self.phase = RelayPhase::Streaming;
        self.has_token = false;
        self.is_accepted = false;
        self.last_heard = now;
        self.last_progress = now;
        self.endpoint = Some(EndpointId::clone(&endpoint));
        self.actions.push(RelayAction::Open { attempt: self.attempt, endpoint, mode });
        self.actions.push(RelayAction::SetTimer { at: now + self.policy.open_timeout });
    }

    pub(super) fn unassigned(&mut self, now: TimePoint, attempt: AttemptNumber) {
        if !self.is_current(attempt) || self.phase != RelayPhase::Assigning {
            return;
        }
        self.note(RelayCounter::SearchFailed);
        let Some(lost_at) = self.lost_at else {
            return self.fail(ErrorKind::NoEndpoint);
        };
        self.search_later(now, lost_at);
    }

    /// Searches again after a pause that grows, until the window is over.
    fn search_later(&mut self, now: TimePoint, lost_at: TimePoint) {
        if now.since(lost_at) >= self.policy.resume_window {
            return self.fail(ErrorKind::GenerationLost);
        }
        // An endpoint that was left may have come back, and is better than none.
        self.avoid.clear();
        self.phase = RelayPhase::Searching;
        let pause = self.policy.search_interval * 2_u32.pow(self.rounds.min(MAX_PAUSE_DOUBLINGS));
        self.rounds += 1;
        self.actions.push(RelayAction::SetTimer { at: now + pause });
    }

    pub(super) fn search_again(&mut self, now: TimePoint) {
        let is_over = self.lost_at.is_some_and(|lost_at| now.since(lost_at) >= self.policy.resume_window);
        if is_over { self.fail(ErrorKind::GenerationLost) } else { self.assign() }
    }

    /// An attempt that no endpoint took costs no work, so only the time for the search bounds these.
    pub(super) fn miss(&mut self, now: TimePoint) {
        self.attempt = self.attempt.next();
        self.misses += 1;
        match self.lost_at {
            None if self.misses >= self.policy.max_attempts => self.fail(ErrorKind::NoEndpoint),
            Some(lost_at) if self.misses.is_multiple_of(MISSES_IN_ROUND) => self.search_later(now, lost_at),
            _ => self.assign(),
        }
    }

    pub(super) fn take_attempt(&mut self) -> bool {
        if self.attempts >= self.policy.max_attempts {
            self.fail(ErrorKind::GenerationLost);
            return false;
        }
        self.attempts += 1;
        self.attempt = self.attempt.next();
        true
    }
}
