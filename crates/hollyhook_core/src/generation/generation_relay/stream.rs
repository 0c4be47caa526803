//! Taking tokens and the end mark: only the current attempt at the next position counts.

use super::GenerationRelay;
use crate::{AttemptNumber, EndReason, ErrorKind, RelayAction, RelayCounter, RelayPhase, TimePoint};

impl GenerationRelay {
    pub(super) fn token(&mut self, now: TimePoint, attempt: AttemptNumber, position: u64, text: String) {
        if !self.is_current(attempt) || !self.is_listening() {
            return self.note(RelayCounter::StaleDropped);
        }
        if position < self.received {
            self.last_heard = now;
            return self.note(RelayCounter::DuplicateDropped);
        }
        if position > self.received {
            self.note(RelayCounter::GapFound);
            return self.reset(now);
        }
        self.hear(now);
        self.received += 1;
        self.log.push(&text);
        if self.replay.is_some() {
            return self.check_replay(&text);
        }
        self.digest = self.digest.chain(&text);
        self.delivered += 1;
        self.actions.push(RelayAction::Deliver { position, text });
    }

    fn hear(&mut self, now: TimePoint) {
        self.phase = RelayPhase::Streaming;
        self.is_accepted = true;
        self.last_heard = now;
        self.last_progress = now;
        self.lost_at = None;
        self.misses = 0;
        self.rounds = 0;
        if !self.has_token {
            self.has_token = true;
            self.actions.push(RelayAction::SetTimer { at: now + self.policy.silence_floor });
        }
    }

    /// Tokens before the delivered position are compared, not delivered.
    fn check_replay(&mut self, text: &str) {
        let Some(digest) = self.replay else {
            return;
        };
        let digest = digest.chain(text);
        self.replay = Some(digest);
        if self.received < self.delivered {
            return;
        }
        if digest == self.digest {
            self.replay = None;
        } else {
            self.cancel_current();
            self.fail(ErrorKind::GenerationDiverged);
        }
    }

    pub(super) fn end(&mut self, now: TimePoint, attempt: AttemptNumber, position: u64, reason: EndReason) {
        if !self.is_current(attempt) || !self.is_listening() {
            return self.note(RelayCounter::StaleDropped);
        }
        if position != self.received {
            self.note(RelayCounter::GapFound);
            return self.reset(now);
        }
        if self.replay.is_some() {
            self.cancel_current();
            return self.fail(ErrorKind::GenerationDiverged);
        }
        self.phase = RelayPhase::Done;
        self.actions.push(RelayAction::Complete { reason, tokens: self.delivered });
    }
}
