//! The state machine that relays one generation on this host.

mod loss;
mod search;
mod stream;

use crate::{
    AttemptNumber, EndpointId, ErrorKind, OpenMode, PrefixDigest, RelayAction, RelayCounter, RelayEvent, RelayPhase,
    RelayPolicy, StreamTimeouts, TimePoint, TokenLog,
};

/// Relays one generation to its caller, over several attempts if endpoints or connections fail.
///
/// A token is accepted only from the current attempt and at the next position, so every token is delivered exactly
/// once and in order, and tokens of different generations are never mixed.
#[derive(Debug)]
pub struct GenerationRelay {
    policy: RelayPolicy,
    phase: RelayPhase,
    attempt: AttemptNumber,
    /// The first attempt of this host.
    first_attempt: AttemptNumber,
    /// Attempts that count towards `max_attempts` of the policy.
    attempts: u32,
    /// Attempts that no endpoint accepted since the last token.
    unaccepted: u32,
    /// Searches that were deferred by a pause since the last token.
    search_rounds: u32,
    endpoint: Option<EndpointId>,
    avoid: Vec<EndpointId>,
    log: TokenLog,
    /// The position of the first token in the log.
    log_start: u64,
    /// The position of the next token; lower than `delivered` during a replay.
    received: u64,
    delivered: u64,
    digest: PrefixDigest,
    /// The digest of the tokens replayed so far, during a replay.
    replay_digest: Option<PrefixDigest>,
    /// When the current attempt was opened, sent something, or was confirmed by a probe.
    last_activity: TimePoint,
    /// When the current attempt was opened or sent a new token.
    last_progress: TimePoint,
    is_accepted: bool,
    /// Whether the current attempt attaches to work that its endpoint holds.
    is_attach: bool,
    has_token: bool,
    /// When the current attempt or an earlier one was lost, if no token has followed since.
    lost_at: Option<TimePoint>,
    actions: Vec<RelayAction>,
}

impl GenerationRelay {
    /// Creates a relay of a new generation.
    pub fn new(policy: RelayPolicy) -> Self {
        Self {
            policy,
            phase: RelayPhase::Idle,
            attempt: AttemptNumber::FIRST,
            first_attempt: AttemptNumber::FIRST,
            attempts: 0,
            unaccepted: 0,
            search_rounds: 0,
            endpoint: None,
            avoid: Vec::new(),
            log: TokenLog::default(),
            log_start: 0,
            received: 0,
            delivered: 0,
            digest: PrefixDigest::default(),
            replay_digest: None,
            last_activity: TimePoint::ZERO,
            last_progress: TimePoint::ZERO,
            is_accepted: false,
            is_attach: false,
            has_token: false,
            lost_at: None,
            actions: Vec::new(),
        }
    }

    /// Makes the relay take a generation over from another host.
    ///
    /// The caller already has the first `delivered` tokens, whose digest is `digest`, from attempts before `attempt`.
    /// If `endpoint` still holds the generation, the relay attaches to it there; otherwise the generation is replayed
    /// and verified against the digest.
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
        self.first_attempt = attempt;
        self.log_start = delivered;
        self.received = delivered;
        self.delivered = delivered;
        self.digest = digest;
        self
    }

    /// The current phase.
    pub fn phase(&self) -> RelayPhase {
        self.phase
    }

    /// The current attempt.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// The endpoint of the current attempt, if one is assigned.
    pub fn endpoint(&self) -> Option<&EndpointId> {
        self.endpoint.as_ref()
    }

    /// The number of tokens delivered to the caller, including those that another host delivered.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// The digest of the delivered tokens.
    pub fn digest(&self) -> PrefixDigest {
        self.digest
    }

    /// The tokens received on this host, for resuming the generation and for unstreamed answers.
    pub fn log(&self) -> &TokenLog {
        &self.log
    }

    /// Handles one event and returns the actions that the driver must perform, in order.
    pub fn on(&mut self, now: TimePoint, event: RelayEvent) -> Vec<RelayAction> {
        if self.phase != RelayPhase::Done {
            self.handle(now, event);
        }
        std::mem::take(&mut self.actions)
    }

    fn handle(&mut self, now: TimePoint, event: RelayEvent) {
        match event {
            RelayEvent::Started => self.start(now),
            RelayEvent::CallerLeft => self.caller_left(),
            RelayEvent::TimerFired { timeouts } => self.timer_fired(now, timeouts),
            RelayEvent::Assigned { attempt, endpoint } => self.assigned(now, attempt, endpoint),
            RelayEvent::Unassigned { attempt, .. } => self.unassigned(now, attempt),
            RelayEvent::Opened { attempt } => {
                if self.is_current(attempt) {
                    self.is_accepted = true;
                    self.last_activity = now;
                }
            }
            RelayEvent::TokenArrived { attempt, position, text } => self.token_arrived(now, attempt, position, text),
            RelayEvent::EndArrived { attempt, position, reason } => self.end_arrived(now, attempt, position, reason),
            RelayEvent::ConnectionLost { attempt } => {
                if self.is_current(attempt) && self.phase == RelayPhase::Streaming {
                    self.count(RelayCounter::ResetSeen);
                    self.connection_broke(now);
                }
            }
            RelayEvent::Unreachable { attempt } => {
                if self.is_current(attempt) && self.phase == RelayPhase::Streaming {
                    self.count(RelayCounter::ConnectFailed);
                    self.fail_over(now, false);
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
            // The caller has a part of the generation: if there is no endpoint, the error is `GenerationLost` and not
            // `NoEndpoint`, which says that nothing was run.
            self.mark_lost(now);
        }
        self.assign();
    }

    fn timer_fired(&mut self, now: TimePoint, timeouts: StreamTimeouts) {
        match self.phase {
            RelayPhase::BackingOff => self.search_again(now),
            RelayPhase::Probing => self.fail_over(now, true),
            RelayPhase::Streaming => self.check_silence(now, timeouts),
            RelayPhase::Idle | RelayPhase::Assigning | RelayPhase::Done => {}
        }
    }

    fn caller_left(&mut self) {
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

    fn count(&mut self, counter: RelayCounter) {
        self.actions.push(RelayAction::Count(counter));
    }

    fn is_current(&self, attempt: AttemptNumber) -> bool {
        attempt == self.attempt
    }

    fn has_open_attempt(&self) -> bool {
        matches!(self.phase, RelayPhase::Streaming | RelayPhase::Probing)
    }
}
