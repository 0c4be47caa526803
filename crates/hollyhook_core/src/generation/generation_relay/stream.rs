//! Receiving tokens and the end event; only those of the current attempt at the next position are accepted.

use super::GenerationRelay;
use crate::{AttemptNumber, EndReason, ErrorKind, RelayAction, RelayCounter, RelayPhase, TimePoint};

impl GenerationRelay {
    pub(super) fn token_arrived(&mut self, now: TimePoint, attempt: AttemptNumber, position: u64, text: String) {
        if !self.is_current(attempt) || !self.has_open_attempt() {
            return self.count(RelayCounter::StaleDropped);
        }
        if position < self.received {
            self.last_activity = now;
            return self.count(RelayCounter::DuplicateDropped);
        }
        if position > self.received {
            self.count(RelayCounter::GapFound);
            return self.connection_broke(now);
        }
        self.record_progress(now);
        self.received += 1;
        self.log.push(&text);
        if self.replay_digest.is_some() {
            return self.check_replay(&text);
        }
        self.digest = self.digest.chain(&text);
        self.delivered += 1;
        self.actions.push(RelayAction::Deliver { position, text });
    }

    fn record_progress(&mut self, now: TimePoint) {
        self.phase = RelayPhase::Streaming;
        self.is_accepted = true;
        self.last_activity = now;
        self.last_progress = now;
        self.lost_at = None;
        self.unaccepted = 0;
        self.search_rounds = 0;
        if !self.has_token {
            self.has_token = true;
            self.actions.push(RelayAction::SetTimer { at: now + self.policy.silence_floor });
        }
    }

    /// Compares the digest of replayed tokens with that of the delivered tokens, instead of delivering them again.
    fn check_replay(&mut self, text: &str) {
        let Some(digest) = self.replay_digest else {
            return;
        };
        let digest = digest.chain(text);
        self.replay_digest = Some(digest);
        if self.received < self.delivered {
            return;
        }
        if digest == self.digest {
            self.replay_digest = None;
        } else {
            self.cancel_current();
            self.fail(ErrorKind::GenerationDiverged);
        }
    }

    pub(super) fn end_arrived(&mut self, now: TimePoint, attempt: AttemptNumber, position: u64, reason: EndReason) {
        if !self.is_current(attempt) || !self.has_open_attempt() {
            return self.count(RelayCounter::StaleDropped);
        }
        if position != self.received {
            self.count(RelayCounter::GapFound);
            return self.connection_broke(now);
        }
        if self.replay_digest.is_some() {
            self.cancel_current();
            return self.fail(ErrorKind::GenerationDiverged);
        }
        self.phase = RelayPhase::Done;
        self.actions.push(RelayAction::Complete { reason, tokens: self.delivered });
    }
}
