//! Handling of silent streams, broken connections and refusals: wait, attach again, or fail over to another endpoint.

use std::time::Duration;

use super::GenerationRelay;
use crate::{
    AttemptNumber, EndpointRefusal, ErrorKind, OpenMode, ProbeReport, RelayAction, RelayCounter, RelayPhase,
    StreamTimeouts, TimePoint,
};

impl GenerationRelay {
    pub(super) fn refused(&mut self, now: TimePoint, attempt: AttemptNumber, refusal: EndpointRefusal) {
        if !self.is_current(attempt) || !self.has_open_attempt() {
            return;
        }
        self.count(RelayCounter::RefusalSeen);
        match refusal {
            EndpointRefusal::Invalid => self.fail(ErrorKind::EndpointRefused),
            EndpointRefusal::Superseded => self.fail(ErrorKind::Superseded),
            EndpointRefusal::Busy | EndpointRefusal::Unable | EndpointRefusal::NotHeld => self.fail_over(now, false),
        }
    }

    /// Probes the endpoint after its connection broke or skipped a position.
    ///
    /// A broken connection does not show whether the endpoint is dead, but a dead endpoint refuses the probe at once.
    pub(super) fn connection_broke(&mut self, now: TimePoint) {
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
            return self.fail_over(now, true);
        };
        let has_more = produced > self.received || is_finished;
        let is_lost = self.lost_at.is_some();
        if has_more || is_lost {
            return self.reattach(now);
        }
        if self.has_token && now.since(self.last_progress) >= self.policy.stall_limit {
            self.count(RelayCounter::StallLeft);
            return self.fail_over(now, true);
        }
        self.count(RelayCounter::ProbeWaited);
        self.phase = RelayPhase::Streaming;
        self.last_activity = now;
        self.actions.push(RelayAction::SetTimer { at: now + self.policy.silence_floor });
    }

    pub(super) fn reattach(&mut self, now: TimePoint) {
        let Some(endpoint) = self.endpoint.clone() else {
            return self.fail(ErrorKind::Internal);
        };
        self.mark_lost(now);
        self.actions.push(RelayAction::Close { attempt: self.attempt });
        if !self.begin_attempt() {
            return;
        }
        self.count(RelayCounter::Reattached);
        self.open(now, endpoint, OpenMode::Attach { position: self.received });
    }

    /// Moves the generation off its current endpoint, and searches for another one.
    ///
    /// `must_cancel` is false if the endpoint did not accept the attempt. This counts as a loss only if tokens have
    /// been delivered: otherwise, if there is no other endpoint, the caller gets the error at once, not at the end of
    /// the resume window.
    pub(super) fn fail_over(&mut self, now: TimePoint, must_cancel: bool) {
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
            return self.not_accepted(now);
        }
        if self.begin_attempt() {
            self.assign();
        }
    }

    pub(super) fn check_silence(&mut self, now: TimePoint, timeouts: StreamTimeouts) {
        let limit = match (self.is_accepted, self.has_token) {
            (false, _) => self.policy.open_timeout,
            (true, false) => timeouts.first_token,
            (true, true) => timeouts.between_tokens,
        };
        let suspected_at = self.last_activity + limit;
        if now < suspected_at {
            return self.actions.push(RelayAction::SetTimer { at: suspected_at });
        }
        if !self.is_accepted {
            self.count(RelayCounter::OpenTimedOut);
            if self.is_attach {
                // The endpoint may still hold the work, which would be done again elsewhere.
                self.mark_lost(now);
                return self.probe(now, self.policy.probe_timeout);
            }
            // No probe: an endpoint that has not accepted the attempt has done no work for it that could be saved.
            return self.fail_over(now, true);
        }
        self.count(RelayCounter::SilenceSuspected);
        self.probe(now, self.policy.probe_timeout);
    }

    pub(super) fn mark_lost(&mut self, now: TimePoint) {
        self.lost_at.get_or_insert(now);
    }
}
