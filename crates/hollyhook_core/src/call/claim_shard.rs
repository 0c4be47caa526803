use std::collections::VecDeque;
use std::time::Duration;

use super::{ClaimLedger, ClaimRecord, ClaimVerdict};
use crate::Name;

/// A command to a [`ClaimShard`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimCommand {
    /// Claim a key for a call that is about to be sent.
    Claim(ClaimRecord),
    /// Store the answer to a call, to be replayed if the call is repeated.
    Answer(ClaimRecord),
    /// Free the key of a call that certainly was not sent.
    Release(ClaimRecord),
}

/// What the driver reports to a [`ClaimShard`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A command was submitted.
    Submitted(ClaimCommand),
    /// The write that `Put` requested took effect.
    Written {
        /// The object's new version.
        version: u64,
    },
    /// The write did not take effect, since the object had another version.
    Conflicted,
    /// The write did not reach the platform.
    Unavailable,
    /// No reply to the write arrived: it may or may not have taken effect.
    Unanswered,
    /// The read that `Load` requested succeeded.
    Loaded {
        /// The claims in the object.
        ledger: ClaimLedger,
        /// The object's version; `None` if the object does not exist yet.
        version: Option<u64>,
    },
    /// The read failed.
    LoadFailed,
    /// The timer that `SetTimer` requested fired.
    TimerFired,
}

/// What a [`ClaimShard`] requests from its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write the ledger to the object if the object still has the given version.
    Put {
        /// The claims to write.
        ledger: ClaimLedger,
        /// The version that the ledger is based on; `None` if the object must not exist yet.
        version: Option<u64>,
    },
    /// Read the object and report `Loaded` or `LoadFailed`.
    Load,
    /// Report the verdict on a claim to its caller.
    Resolve {
        /// The claim's name.
        claim: Name,
        /// The verdict on the claim; `Free` means that the ledger was full, so that the claim was not made.
        verdict: ClaimVerdict,
    },
    /// Report to its caller that a claim could not be made; the call must not be sent.
    Refuse {
        /// The claim's name.
        claim: Name,
        /// Why the claim could not be made.
        refusal: ClaimRefusal,
    },
    /// Set a timer that reports `TimerFired`.
    SetTimer {
        /// The delay until the timer fires.
        after: Duration,
    },
}

/// Why a claim could not be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimRefusal {
    /// The platform is down.
    Unavailable,
    /// The platform did not answer, and may have stored the claim.
    Unanswered,
    /// Writes of other hosts to the same shard kept conflicting with this host's.
    Contended,
}

/// State machine that stores the claims on one shard of the keys in one object of the platform.
///
/// Claims are batched into one conditional write, which fails if another host has written the object since it was read.
/// A call may be sent only after `Resolve` with the verdict `Own`, which is returned only for a ledger that the
/// platform holds.
#[derive(Debug)]
pub struct ClaimShard {
    policy: ClaimPolicy,
    ledger: ClaimLedger,
    version: Option<u64>,
    queue: VecDeque<ClaimCommand>,
    batch: Vec<ClaimCommand>,
    written: Option<ClaimLedger>,
    conflicts: u32,
    /// Claims to remove from the platform: their calls were refused or not sent, but the claims may be stored.
    releases: Vec<ClaimRecord>,
    actions: Vec<ClaimAction>,
}

/// The limits and time spans of a [`ClaimShard`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimPolicy {
    /// How long a claim is kept.
    pub key_age: Duration,
    /// How long an answer is kept for replay.
    pub answer_age: Duration,
    /// Maximum number of claims in one object, which keeps it below the platform's limit of one megabyte.
    pub max_claims: usize,
    /// Maximum number of commands in one write.
    pub max_batch: usize,
    /// Conflicting or unanswered writes of a batch after which its claims are refused, so that the callers try again
    /// later.
    pub max_conflicts: u32,
    /// The delay before a failed release is tried again.
    pub release_retry_delay: Duration,
}

impl Default for ClaimPolicy {
    fn default() -> Self {
        Self {
            key_age: Duration::from_hours(24),
            answer_age: Duration::from_mins(10),
            max_claims: 2_000,
            max_batch: 128,
            max_conflicts: 8,
            release_retry_delay: Duration::from_millis(500),
        }
    }
}

impl ClaimShard {
    /// Creates a shard whose object has not been read yet.
    pub fn new(policy: ClaimPolicy) -> Self {
        Self {
            policy,
            ledger: ClaimLedger::default(),
            version: None,
            queue: VecDeque::new(),
            batch: Vec::new(),
            written: None,
            conflicts: 0,
            releases: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the driver's next actions; `now` is in Unix seconds.
    pub fn on(&mut self, now: u64, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Submitted(command) => self.submit(now, command),
            ClaimEvent::Written { version } => self.handle_written(now, version),
            ClaimEvent::Conflicted | ClaimEvent::Unanswered => self.reload(),
            ClaimEvent::Unavailable => self.give_up(now, ClaimRefusal::Unavailable),
            ClaimEvent::Loaded { ledger, version } => self.handle_loaded(now, ledger, version),
            ClaimEvent::LoadFailed => self.give_up(now, ClaimRefusal::Unanswered),
            ClaimEvent::TimerFired => self.retry_releases(now),
        }
        std::mem::take(&mut self.actions)
    }

    fn submit(&mut self, now: u64, command: ClaimCommand) {
        self.queue.push_back(command);
        if self.batch.is_empty() {
            self.begin_batch(now);
        }
    }

    fn begin_batch(&mut self, now: u64) {
        let count = self.queue.len().min(self.policy.max_batch);
        self.batch = self.queue.drain(..count).collect();
        self.conflicts = 0;
        if !self.batch.is_empty() {
            self.write(now);
        }
    }

    /// Writes the batch; a batch that changes nothing only reads, since another host may have written in the meantime.
    fn write(&mut self, now: u64) {
        let ledger = self.apply_batch(now);
        if ledger == self.ledger && self.version.is_some() {
            return self.actions.push(ClaimAction::Load);
        }
        self.put(ledger);
    }

    fn put(&mut self, ledger: ClaimLedger) {
        self.actions.push(ClaimAction::Put { ledger: ledger.clone(), version: self.version });
        self.written = Some(ledger);
    }

    /// The known ledger with the batch applied: claims on free keys while there is room, answers to own claims,
    /// releases.
    fn apply_batch(&self, now: u64) -> ClaimLedger {
        let mut ledger = self.ledger.clone();
        ledger.expire(now.saturating_sub(self.policy.key_age.as_secs()));
        ledger.expire_answers(now.saturating_sub(self.policy.answer_age.as_secs()));
        // Releases go first, since a claim of the same batch may be on a key that they free.
        for command in &self.batch {
            if let ClaimCommand::Release(record) = command {
                ledger.release(&record.claim);
            }
        }
        for command in &self.batch {
            match command {
                ClaimCommand::Claim(record) => {
                    if ledger.verdict(record) == ClaimVerdict::Free && ledger.len() < self.policy.max_claims {
                        ledger.put(record.clone());
                    }
                }
                ClaimCommand::Answer(record) => {
                    if ledger.verdict(record) == ClaimVerdict::Own {
                        ledger.put(record.clone());
                    }
                }
                ClaimCommand::Release(_) => {}
            }
        }
        ledger
    }

    fn handle_written(&mut self, now: u64, version: u64) {
        let Some(ledger) = self.written.take() else {
            return;
        };
        self.ledger = ledger;
        self.version = Some(version);
        self.resolve_claims();
        self.begin_batch(now);
    }

    /// Reads the object again after a conflict, or after a lost reply to see whether the write took effect.
    fn reload(&mut self) {
        self.conflicts += 1;
        self.actions.push(ClaimAction::Load);
    }

    fn handle_loaded(&mut self, now: u64, ledger: ClaimLedger, version: Option<u64>) {
        self.ledger = ledger;
        self.version = version;
        let applied = self.apply_batch(now);
        if applied == self.ledger {
            // Each command of the batch is in effect already, or was not applied, such as a claim on a full ledger.
            self.resolve_claims();
            return self.begin_batch(now);
        }
        if self.conflicts >= self.policy.max_conflicts {
            return self.give_up(now, ClaimRefusal::Contended);
        }
        self.put(applied);
    }

    fn resolve_claims(&mut self) {
        self.written = None;
        for command in std::mem::take(&mut self.batch) {
            if let ClaimCommand::Claim(record) = command {
                let verdict = self.ledger.verdict(&record);
                self.actions.push(ClaimAction::Resolve { claim: record.claim, verdict });
            }
        }
    }

    /// Refuses the claims of the batch; those that may have been stored are released once the platform is back.
    fn give_up(&mut self, now: u64, refusal: ClaimRefusal) {
        self.written = None;
        for command in std::mem::take(&mut self.batch) {
            match command {
                ClaimCommand::Claim(record) => {
                    self.actions.push(ClaimAction::Refuse { claim: Name::clone(&record.claim), refusal });
                    // An earlier write of the same batch may have gone unanswered and taken effect.
                    if refusal == ClaimRefusal::Unanswered || self.conflicts > 0 {
                        self.releases.push(record);
                    }
                }
                ClaimCommand::Release(record) => self.releases.push(record),
                ClaimCommand::Answer(_) => {}
            }
        }
        if !self.releases.is_empty() {
            self.actions.push(ClaimAction::SetTimer { after: self.policy.release_retry_delay });
        }
        self.begin_batch(now);
    }

    fn retry_releases(&mut self, now: u64) {
        let releases = std::mem::take(&mut self.releases);
        self.queue.extend(releases.into_iter().map(ClaimCommand::Release));
        if self.batch.is_empty() {
            self.begin_batch(now);
        }
    }
}
