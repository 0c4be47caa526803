//! The life of one generation on this host.

mod loss;
mod search;
mod stream;

use crate::{
    AttemptNumber, EndpointId, ErrorKind, OpenMode, PrefixDigest, RelayAction, RelayCounter, RelayEvent, RelayPhase,
    RelayPolicy, StreamTimeouts, TimePoint, TokenLog,
};

/// Carries one generation to its caller over as many attempts as it takes.
///
/// A token counts only if it comes from the current attempt at the next position; so every token is delivered
/// exactly once, in order, and never from two generations.
#[derive(Debug)]
pub struct GenerationRelay {
    policy: RelayPolicy,
    phase: RelayPhase,
    attempt: AttemptNumber,
    attempts: u32,
    /// Attempts that no endpoint took, and searches that were put off, since the last token.
    misses: u32,
    rounds: u32,
    endpoint: Option<EndpointId>,
    avoid: Vec<EndpointId>,
    log: TokenLog,
    log_base: u64,
    received: u64,
    delivered: u64,
    digest: PrefixDigest,
    replay: Option<PrefixDigest>,
    last_heard: TimePoint,
    last_progress: TimePoint,
    is_accepted: bool,
    has_token: bool,
    lost_at: Option<TimePoint>,
    actions: Vec<RelayAction>,
}

impl GenerationRelay {
    /// A relay of a new generation.
    pub fn new(policy: RelayPolicy) -> Self {
        Self {
            policy,
            phase: RelayPhase::Idle,
            attempt: AttemptNumber::FIRST,
            attempts: 0,
            misses: 0,
            rounds: 0,
            endpoint: None,
            avoid: Vec::new(),
            log: TokenLog::default(),
            log_base: 0,
            received: 0,
            delivered: 0,
            digest: PrefixDigest::default(),
            replay: None,
            last_heard: TimePoint::ZERO,
            last_progress: TimePoint::ZERO,
            is_accepted: false,
            has_token: false,
            lost_at: None,
            actions: Vec::new(),
        }
    }

    /// A relay that takes a generation over from another host.
    ///
    /// The caller already holds `delivered` tokens with that digest, from attempts before `attempt`. If `endpoint`
    /// still holds the generation, it is attached to there; else it is replayed and checked against the digest.
    #[must_use]
    pub fn taken_over(
        mut self,
        endpoint: Option<EndpointId>,
        attempt: AttemptNumber,
        delivered: u64,
        digest: PrefixDigest,
    ) -> Self {
        self.endpoint = endpoint;
        self.attempt = attempt;
        self.log_base = delivered;
        self.received = delivered;
        self.delivered = delivered;
        self.digest = digest;
        self
    }

    /// Where the generation stands.
    pub fn phase(&self) -> RelayPhase {
        self.phase
    }

    /// The current attempt.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// The endpoint of the current attempt.
    pub fn endpoint(&self) -> Option<&EndpointId> {
        self.endpoint.as_ref()
    }

    /// Tokens delivered to the caller, including those that another host delivered.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// The digest of the tokens delivered.
    pub fn digest(&self) -> PrefixDigest {
        self.digest
    }

    /// The tokens received on this host, for a resume or a whole answer.
    pub fn log(&self) -> &TokenLog {
        &self.log
    }

    /// Takes one event and says what to do.
    pub fn on(&mut self, now: TimePoint, event: RelayEvent) -> Vec<RelayAction> {
        if self.phase != RelayPhase::Done {
            self.handle(now, event);
        }
        std::mem::take(&mut self.actions)
    }

    fn handle(&mut self, now: TimePoint, event: RelayEvent) {
        match event {
            RelayEvent::Started => self.start(now),
            RelayEvent::CallerLeft => self.leave_caller(),
            RelayEvent::TimerFired { timeouts } => self.wake(now, timeouts),
            RelayEvent::Assigned { attempt, endpoint } => self.assigned(now, attempt, endpoint),
            RelayEvent::Unassigned { attempt, .. } => self.unassigned(now, attempt),
            RelayEvent::Opened { attempt } => {
                if self.is_current(attempt) {
                    self.is_accepted = true;
                    self.last_heard = now;
                }
            }
            RelayEvent::TokenArrived { attempt, position, text } => self.token(now, attempt, position, text),
            RelayEvent::EndArrived { attempt, position, reason } => self.end(now, attempt, position, reason),
            RelayEvent::ConnectionLost { attempt } => {
                if self.is_current(attempt) && self.phase == RelayPhase::Streaming {
                    self.note(RelayCounter::ResetSeen);
                    self.reset(now);
                }
            }
            RelayEvent::Unreachable { attempt } => {
                if self.is_current(attempt) && self.phase == RelayPhase::Streaming {
                    self.note(RelayCounter::ConnectFailed);
                    self.leave(now, false);
                }
            }
            RelayEvent::Refused { attempt, refusal } => self.refused(now, attempt, refusal),
            RelayEvent::Probed { attempt, report } => self.probed(now, attempt, report),
        }
    }

    fn start(&mut self, now: TimePoint) {
        if self.phase != RelayPhase::Idle {
            return;
        }
        self.attempts = 1;
        if let Some(endpoint) = self.endpoint.clone() {
            return self.open(now, endpoint, OpenMode::Attach { position: self.received });
        }
        if self.delivered > 0 {
            // The caller holds a part of it: with no endpoint left, it is lost rather than not run.
            self.mark_lost(now);
        }
        self.assign();
    }

    fn wake(&mut self, now: TimePoint, patience: StreamTimeouts) {
        match self.phase {
            RelayPhase::Searching => self.search_again(now),
            RelayPhase::Probing => self.leave(now, true),
            RelayPhase::Streaming => self.judge_silence(now, patience),
            RelayPhase::Idle | RelayPhase::Assigning | RelayPhase::Done => {}
        }
    }

    fn leave_caller(&mut self) {
        self.cancel_current();
        self.phase = RelayPhase::Done;
    }

    fn cancel_current(&mut self) {
        if let Some(endpoint) = self.endpoint.clone() {
            self.actions.push(RelayAction::Cancel { attempt: self.attempt, endpoint });
        }
    }

    fn fail(&mut self, kind: ErrorKind) {
        self.phase = RelayPhase::Done;
        self.actions.push(RelayAction::Fail { kind, delivered: self.delivered });
    }

    fn note(&mut self, note: RelayCounter) {
        self.actions.push(RelayAction::Count(note));
    }

    fn is_current(&self, attempt: AttemptNumber) -> bool {
        attempt == self.attempt
    }

    fn is_listening(&self) -> bool {
        matches!(self.phase, RelayPhase::Streaming | RelayPhase::Probing)
    }
}
