//! Judging silence, resets and refusals: attach again, resume elsewhere, or wait.

use std::time::Duration;

use super::GenerationRelay;
use crate::{
    AttemptNumber, EndpointRefusal, ErrorKind, OpenMode, ProbeReport, RelayAction, RelayCounter, RelayPhase,
    StreamTimeouts, TimePoint,
};

impl GenerationRelay {
    pub(super) fn refused(&mut self, now: TimePoint, attempt: AttemptNumber, refusal: EndpointRefusal) {
        if !self.is_current(attempt) || !self.is_listening() {
            return;
        }
        self.note(RelayCounter::RefusalSeen);
        match refusal {
            EndpointRefusal::Invalid => self.fail(ErrorKind::EndpointRefused),
            EndpointRefusal::Superseded => self.fail(ErrorKind::Superseded),
            EndpointRefusal::Busy | EndpointRefusal::Unable | EndpointRefusal::NotHeld => self.leave(now, false),
        }
    }

    /// A broken connection says nothing about the endpoint, but a dead one refuses the probe at once.
    pub(super) fn reset(&mut self, now: TimePoint) {
        self.mark_lost(now);
        self.probe(now, self.policy.reset_probe_timeout);
    }

    fn probe(&mut self, now: TimePoint, timeout: Duration) {
        let Some(endpoint) = self.endpoint.clone() else {
            return self.fail(ErrorKind::Internal);
        };
        self.phase = RelayPhase::Probing;
        self.actions.push(RelayAction::Probe { attempt: self.attempt, endpoint });
        self.actions.push(RelayAction::SetTimer { at: now + timeout });
    }

    pub(super) fn probed(&mut self, now: TimePoint, attempt: AttemptNumber, report: ProbeReport) {
        if !self.is_current(attempt) || self.phase != RelayPhase::Probing {
            return;
        }
        let ProbeReport::Holds { produced, is_finished } = report else {
            return self.leave(now, true);
        };
        let is_ahead = produced > self.received || is_finished;
        let is_broken = self.lost_at.is_some();
        if is_ahead || is_broken {
            return self.reattach(now);
        }
        if self.has_token && now.since(self.last_progress) >= self.policy.stall_limit {
            self.note(RelayCounter::StallLeft);
            return self.leave(now, true);
        }
        self.note(RelayCounter::ProbeWaited);
        self.phase = RelayPhase::Streaming;
        self.last_heard = now;
        self.actions.push(RelayAction::SetTimer { at: now + self.policy.silence_floor });
    }

    pub(super) fn reattach(&mut self, now: TimePoint) {
        let Some(endpoint) = self.endpoint.clone() else {
            return self.fail(ErrorKind::Internal);
        };
        self.mark_lost(now);
        self.actions.push(RelayAction::Close { attempt: self.attempt });
        if !self.take_attempt() {
            return;
        }
        self.note(RelayCounter::Reattached);
        self.open(now, endpoint, OpenMode::Attach { position: self.received });
    }

    /// A refusal before anything was lost is no loss: with no other endpoint, the caller is told so at once.
    pub(super) fn leave(&mut self, now: TimePoint, must_cancel: bool) {
        if must_cancel || self.delivered > 0 {
            self.mark_lost(now);
        }
        if must_cancel {
            self.cancel_current();
        } else {
            self.actions.push(RelayAction::Close { attempt: self.attempt });
        }
        if let Some(endpoint) = self.endpoint.take() {
            self.avoid.push(endpoint);
        }
        if !must_cancel {
            return self.miss(now);
        }
        if self.take_attempt() {
            self.assign();
        }
    }

    pub(super) fn judge_silence(&mut self, now: TimePoint, patience: StreamTimeouts) {
        let limit = match (self.is_accepted, self.has_token) {
            (false, _) => self.policy.open_timeout,
            (true, false) => patience.first_token,
            (true, true) => patience.between_tokens,
        };
        let suspect_at = self.last_heard + limit;
        if now < suspect_at {
            return self.actions.push(RelayAction::SetTimer { at: suspect_at });
        }
        if !self.is_accepted {
            // There is nothing at this endpoint that a probe could save.
            self.note(RelayCounter::OpenTimedOut);
            return self.leave(now, true);
        }
        self.note(RelayCounter::SilenceSuspected);
        self.probe(now, self.policy.probe_timeout);
    }

    pub(super) fn mark_lost(&mut self, now: TimePoint) {
        self.lost_at.get_or_insert(now);
    }
}
