use std::time::Duration;

use super::{
    AttemptNumber, EndReason, EndpointRefusal, OpenMode, Patience, PrefixDigest, ProbeReport, RelayAction, RelayEvent,
    RelayNote, RelayPolicy, TokenLog,
};
use crate::{EndpointId, ErrorKind, TimePoint};

/// Attempts that no endpoint takes before the search pauses, so that an outage is no storm of connections.
const MISSES_IN_ROUND: u32 = 3;
/// Doublings of the pause between searches.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// Where a generation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RelayPhase {
    /// Not started.
    Idle,
    /// An endpoint is being searched.
    Assigning,
    /// No endpoint was found after a loss; the search goes on at the next wake.
    Searching,
    /// A connection is being opened or streams.
    Streaming,
    /// The stream is suspect and a probe is out.
    Probing,
    /// The caller has the final answer, or has left.
    Done,
}

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
            RelayEvent::TimerFired { patience } => self.wake(now, patience),
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
                    self.note(RelayNote::ResetSeen);
                    self.reset(now);
                }
            }
            RelayEvent::Unreachable { attempt } => {
                if self.is_current(attempt) && self.phase == RelayPhase::Streaming {
                    self.note(RelayNote::ConnectFailed);
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

    fn assign(&mut self) {
        self.phase = RelayPhase::Assigning;
        let is_resume = self.lost_at.is_some();
        self.actions.push(RelayAction::Assign { attempt: self.attempt, avoid: self.avoid.clone(), is_resume });
    }

    fn assigned(&mut self, now: TimePoint, attempt: AttemptNumber, endpoint: EndpointId) {
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
        self.note(RelayNote::Resumed);
        OpenMode::Resume
    }

    fn begin_replay(&mut self) {
        self.note(RelayNote::Replayed);
        self.log.clear();
        self.log_base = 0;
        self.received = 0;
        self.replay = Some(PrefixDigest::default());
    }

    fn open(&mut self, now: TimePoint, endpoint: EndpointId, mode: OpenMode) {
        self.phase = RelayPhase::Streaming;
        self.has_token = false;
        self.is_accepted = false;
        self.last_heard = now;
        self.last_progress = now;
        self.endpoint = Some(EndpointId::clone(&endpoint));
        self.actions.push(RelayAction::Open { attempt: self.attempt, endpoint, mode });
        self.actions.push(RelayAction::Wake { at: now + self.policy.open_timeout });
    }

    fn unassigned(&mut self, now: TimePoint, attempt: AttemptNumber) {
        if !self.is_current(attempt) || self.phase != RelayPhase::Assigning {
            return;
        }
        self.note(RelayNote::SearchFailed);
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
        self.actions.push(RelayAction::Wake { at: now + pause });
    }

    fn token(&mut self, now: TimePoint, attempt: AttemptNumber, position: u64, text: String) {
        if !self.is_current(attempt) || !self.is_listening() {
            return self.note(RelayNote::StaleDropped);
        }
        if position < self.received {
            self.last_heard = now;
            return self.note(RelayNote::DuplicateDropped);
        }
        if position > self.received {
            self.note(RelayNote::GapFound);
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
            self.actions.push(RelayAction::Wake { at: now + self.policy.silence_floor });
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

    fn end(&mut self, now: TimePoint, attempt: AttemptNumber, position: u64, reason: EndReason) {
        if !self.is_current(attempt) || !self.is_listening() {
            return self.note(RelayNote::StaleDropped);
        }
        if position != self.received {
            self.note(RelayNote::GapFound);
            return self.reset(now);
        }
        if self.replay.is_some() {
            self.cancel_current();
            return self.fail(ErrorKind::GenerationDiverged);
        }
        self.phase = RelayPhase::Done;
        self.actions.push(RelayAction::Complete { reason, tokens: self.delivered });
    }

    fn refused(&mut self, now: TimePoint, attempt: AttemptNumber, refusal: EndpointRefusal) {
        if !self.is_current(attempt) || !self.is_listening() {
            return;
        }
        self.note(RelayNote::RefusalSeen);
        match refusal {
            EndpointRefusal::Invalid => self.fail(ErrorKind::EndpointRefused),
            EndpointRefusal::Superseded => self.fail(ErrorKind::Superseded),
            EndpointRefusal::Busy | EndpointRefusal::Unable | EndpointRefusal::NotHeld => self.leave(now, false),
        }
    }

    /// A broken connection says nothing about the endpoint, but a dead one refuses the probe at once.
    fn reset(&mut self, now: TimePoint) {
        self.mark_lost(now);
        self.probe(now, self.policy.reset_probe_timeout);
    }

    fn probe(&mut self, now: TimePoint, timeout: Duration) {
        let Some(endpoint) = self.endpoint.clone() else {
            return self.fail(ErrorKind::Internal);
        };
        self.phase = RelayPhase::Probing;
        self.actions.push(RelayAction::Probe { attempt: self.attempt, endpoint });
        self.actions.push(RelayAction::Wake { at: now + timeout });
    }

    fn probed(&mut self, now: TimePoint, attempt: AttemptNumber, report: ProbeReport) {
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
            self.note(RelayNote::StallLeft);
            return self.leave(now, true);
        }
        self.note(RelayNote::ProbeWaited);
        self.phase = RelayPhase::Streaming;
        self.last_heard = now;
        self.actions.push(RelayAction::Wake { at: now + self.policy.silence_floor });
    }

    fn reattach(&mut self, now: TimePoint) {
        let Some(endpoint) = self.endpoint.clone() else {
            return self.fail(ErrorKind::Internal);
        };
        self.mark_lost(now);
        self.actions.push(RelayAction::Close { attempt: self.attempt });
        if !self.take_attempt() {
            return;
        }
        self.note(RelayNote::Reattached);
        self.open(now, endpoint, OpenMode::Attach { position: self.received });
    }

    /// A refusal before anything was lost is no loss: with no other endpoint, the caller is told so at once.
    fn leave(&mut self, now: TimePoint, must_cancel: bool) {
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

    /// An attempt that no endpoint took costs no work, so only the time for the search bounds these.
    fn miss(&mut self, now: TimePoint) {
        self.attempt = self.attempt.next();
        self.misses += 1;
        match self.lost_at {
            None if self.misses >= self.policy.max_attempts => self.fail(ErrorKind::NoEndpoint),
            Some(lost_at) if self.misses.is_multiple_of(MISSES_IN_ROUND) => self.search_later(now, lost_at),
            _ => self.assign(),
        }
    }

    fn take_attempt(&mut self) -> bool {
        if self.attempts >= self.policy.max_attempts {
            self.fail(ErrorKind::GenerationLost);
            return false;
        }
        self.attempts += 1;
        self.attempt = self.attempt.next();
        true
    }

    fn wake(&mut self, now: TimePoint, patience: Patience) {
        match self.phase {
            RelayPhase::Searching => self.search_again(now),
            RelayPhase::Probing => self.leave(now, true),
            RelayPhase::Streaming => self.judge_silence(now, patience),
            RelayPhase::Idle | RelayPhase::Assigning | RelayPhase::Done => {}
        }
    }

    fn search_again(&mut self, now: TimePoint) {
        let is_over = self.lost_at.is_some_and(|lost_at| now.since(lost_at) >= self.policy.resume_window);
        if is_over { self.fail(ErrorKind::GenerationLost) } else { self.assign() }
    }

    fn judge_silence(&mut self, now: TimePoint, patience: Patience) {
        let limit = match (self.is_accepted, self.has_token) {
            (false, _) => self.policy.open_timeout,
            (true, false) => patience.first_token,
            (true, true) => patience.between_tokens,
        };
        let suspect_at = self.last_heard + limit;
        if now < suspect_at {
            return self.actions.push(RelayAction::Wake { at: suspect_at });
        }
        if !self.is_accepted {
            // There is nothing at this endpoint that a probe could save.
            self.note(RelayNote::OpenTimedOut);
            return self.leave(now, true);
        }
        self.note(RelayNote::SilenceSuspected);
        self.probe(now, self.policy.probe_timeout);
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

    fn mark_lost(&mut self, now: TimePoint) {
        self.lost_at.get_or_insert(now);
    }

    fn note(&mut self, note: RelayNote) {
        self.actions.push(RelayAction::Note(note));
    }

    fn is_current(&self, attempt: AttemptNumber) -> bool {
        attempt == self.attempt
    }

    fn is_listening(&self) -> bool {
        matches!(self.phase, RelayPhase::Streaming | RelayPhase::Probing)
    }
}
