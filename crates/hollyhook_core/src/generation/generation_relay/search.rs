//! Finding an endpoint for an attempt, and opening the attempt there.

use super::GenerationRelay;
use crate::{
    AttemptNumber, EndpointId, ErrorKind, OpenMode, PrefixDigest, RelayAction, RelayCounter, RelayPhase, TimePoint,
};

/// Unaccepted attempts after which the search pauses, to limit the rate of connections during an outage.
const ATTEMPTS_PER_ROUND: u32 = 3;
/// Maximum number of times that the pause between searches doubles.
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

    /// Chooses how to open the next attempt.
    ///
    /// A log without the first tokens can't be resumed from, so the generation is replayed from the prompt.
    fn next_mode(&mut self) -> OpenMode {
        if self.log_start > 0 {
            self.begin_replay();
        }
        if self.log.is_empty() {
            return OpenMode::Fresh;
        }
        self.count(RelayCounter::Resumed);
        OpenMode::Resume
    }

    fn begin_replay(&mut self) {
        self.count(RelayCounter::Replayed);
        self.log.clear();
        self.log_start = 0;
        self.received = 0;
        self.replay_digest = Some(PrefixDigest::default());
    }

    pub(super) fn open(&mut self, now: TimePoint, endpoint: EndpointId, mode: OpenMode) {
        self.phase = RelayPhase::Streaming;
        self.has_token = false;
        self.is_accepted = false;
        self.is_attach = matches!(mode, OpenMode::Attach { .. });
        self.last_activity = now;
        self.last_progress = now;
        self.endpoint = Some(EndpointId::clone(&endpoint));
        self.actions.push(RelayAction::Open { attempt: self.attempt, endpoint, mode });
        self.actions.push(RelayAction::SetTimer { at: now + self.policy.open_timeout });
    }

    pub(super) fn unassigned(&mut self, now: TimePoint, attempt: AttemptNumber) {
        if !self.is_current(attempt) || self.phase != RelayPhase::Assigning {
            return;
        }
        self.count(RelayCounter::SearchFailed);
        let Some(lost_at) = self.lost_at else {
            return self.fail(ErrorKind::NoEndpoint);
        };
        self.schedule_search(now, lost_at);
    }

    /// Schedules the next search after an increasing pause, or fails the generation at the end of the resume window.
    fn schedule_search(&mut self, now: TimePoint, lost_at: TimePoint) {
        if now.since(lost_at) >= self.policy.resume_window {
            return self.fail(ErrorKind::GenerationLost);
        }
        // An endpoint that an earlier attempt failed over from may have recovered, so all endpoints are allowed again.
        self.avoid.clear();
        self.phase = RelayPhase::BackingOff;
        let pause = self.policy.search_interval * 2_u32.pow(self.search_rounds.min(MAX_PAUSE_DOUBLINGS));
        self.search_rounds += 1;
        self.actions.push(RelayAction::SetTimer { at: now + pause });
    }

    pub(super) fn search_again(&mut self, now: TimePoint) {
        let is_over = self.lost_at.is_some_and(|lost_at| now.since(lost_at) >= self.policy.resume_window);
        if is_over { self.fail(ErrorKind::GenerationLost) } else { self.assign() }
    }

    /// Searches for another endpoint after the current one did not accept the attempt.
    ///
    /// After a loss, only the resume window limits such attempts, since they cost the endpoints no work.
    pub(super) fn not_accepted(&mut self, now: TimePoint) {
        if !self.advance_attempt() {
            return;
        }
        self.unaccepted += 1;
        match self.lost_at {
            None if self.unaccepted >= self.policy.max_attempts => self.fail(ErrorKind::NoEndpoint),
            Some(lost_at) if self.unaccepted.is_multiple_of(ATTEMPTS_PER_ROUND) => self.schedule_search(now, lost_at),
            _ => self.assign(),
        }
    }

    /// Advances to the next attempt, or fails the generation and returns false if this host may make no further one.
    pub(super) fn begin_attempt(&mut self) -> bool {
        if self.attempts >= self.policy.max_attempts {
            self.fail(ErrorKind::GenerationLost);
            return false;
        }
        self.attempts += 1;
        self.advance_attempt()
    }

    /// Advances to the next number, or fails the generation and returns false if the number belongs to another host.
    fn advance_attempt(&mut self) -> bool {
        let next = self.attempt.next();
        if !next.is_of_host(self.first_attempt) {
            self.fail(ErrorKind::GenerationLost);
            return false;
        }
        self.attempt = next;
        true
    }
}
