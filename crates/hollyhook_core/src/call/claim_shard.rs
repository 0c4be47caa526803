use std::collections::VecDeque;
use std::time::Duration;

use super::{ClaimLedger, ClaimRecord, ClaimVerdict};
use crate::Name;

/// What is asked of a shard of claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimCommand {
    /// Claim a key for a call that is about to be sent.
    Claim(ClaimRecord),
    /// Keep the answer of a call for a repeat.
    Answer(ClaimRecord),
    /// Give a key back whose call was certainly not sent.
    Release(ClaimRecord),
}

/// What the driver reports to a [`ClaimShard`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// Something is asked.
    Submitted(ClaimCommand),
    /// The write that `Put` asked for took effect.
    Written {
        /// The version that it made.
        version: u64,
    },
    /// The write did not take effect: the object had another version.
    Conflicted,
    /// The write did not reach the platform.
    Unavailable,
    /// The write may have taken effect or not.
    Unanswered,
    /// The read that `Load` asked for came back.
    Loaded {
        /// The claims.
        ledger: ClaimLedger,
        /// Their version; none if there is no object yet.
        version: Option<u64>,
    },
    /// The read failed.
    LoadFailed,
    /// The time that `SetTimer` asked for has come.
    TimerFired,
}

/// What a [`ClaimShard`] asks its driver to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write the ledger if the object still has that version; none means that it does not exist.
    Put {
        /// The claims.
        ledger: ClaimLedger,
        /// The version that they build on.
        version: Option<u64>,
    },
    /// Read the object.
    Load,
    /// Tell whoever made a claim what the platform says of it.
    Resolve {
        /// The claim's name.
        claim: Name,
        /// What the ledger says; `Free` means that it had no room.
        verdict: ClaimVerdict,
    },
    /// Tell whoever made a claim that it could not be made; the call must not be sent.
    Refuse {
        /// The claim's name.
        claim: Name,
        /// Why.
        refusal: ClaimRefusal,
    },
    /// Fire a timer after that long.
    SetTimer {
        /// How long.
        after: Duration,
    },
}

/// Why a claim could not be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimRefusal {
    /// The platform is down.
    Unavailable,
    /// The platform did not answer, and may have taken the claim.
    Unanswered,
    /// Other hosts kept writing the shard first.
    Contended,
}

/// Claims keys in one object of the platform, many in one write, on the condition that nobody wrote it since.
///
/// A call may be sent only after `Resolve` with `Own`, which is said only of a ledger that the platform holds.
#[derive(Debug)]
pub struct ClaimShard {
    policy: ClaimPolicy,
    ledger: ClaimLedger,
    version: Option<u64>,
    queue: VecDeque<ClaimCommand>,
    batch: Vec<ClaimCommand>,
    written: Option<ClaimLedger>,
    conflicts: u32,
    /// Claims that may stand in the platform though their calls were refused.
    releases: Vec<ClaimRecord>,
    actions: Vec<ClaimAction>,
}

/// The bounds of a [`ClaimShard`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimPolicy {
    /// How long a claim is remembered.
    pub key_age: Duration,
    /// How long an answer is kept for a repeat.
    pub answer_age: Duration,
    /// Claims in one object, which keeps it below the platform's megabyte.
    pub max_claims: usize,
    /// Orders in one write.
    pub max_batch: usize,
    /// Writes that may lose against another host before the callers are told to come back.
    pub max_conflicts: u32,
    /// The pause before a release is tried again.
    pub release_pause: Duration,
}

impl Default for ClaimPolicy {
    fn default() -> Self {
        Self {
            key_age: Duration::from_hours(24),
            answer_age: Duration::from_mins(10),
            max_claims: 2_000,
            max_batch: 128,
            max_conflicts: 8,
            release_pause: Duration::from_millis(500),
        }
    }
}

impl ClaimShard {
    /// A shard of which nothing is known yet.
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

    /// Takes one event and says what to do; `now` is in Unix seconds.
    pub fn on(&mut self, now: u64, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Submitted(order) => self.submit(now, order),
            ClaimEvent::Written { version } => self.wrote(now, version),
            ClaimEvent::Conflicted | ClaimEvent::Unanswered => self.reload(),
            ClaimEvent::Unavailable => self.give_up(now, ClaimRefusal::Unavailable),
            ClaimEvent::Loaded { ledger, version } => self.loaded(now, ledger, version),
            ClaimEvent::LoadFailed => self.give_up(now, ClaimRefusal::Unanswered),
            ClaimEvent::TimerFired => self.retry_releases(now),
        }
        std::mem::take(&mut self.actions)
    }

    fn submit(&mut self, now: u64, order: ClaimCommand) {
        self.queue.push_back(order);
        if self.batch.is_empty() {
            self.begin(now);
        }
    }

    fn begin(&mut self, now: u64) {
        let count = self.queue.len().min(self.policy.max_batch);
        self.batch = self.queue.drain(..count).collect();
        self.conflicts = 0;
        if !self.batch.is_empty() {
            self.write(now);
        }
    }

    /// A batch that changes nothing needs no write, but a read: another host may have written since.
    fn write(&mut self, now: u64) {
        let ledger = self.applied(now);
        if ledger == self.ledger && self.version.is_some() {
            return self.actions.push(ClaimAction::Load);
        }
        self.put(ledger);
    }

    fn put(&mut self, ledger: ClaimLedger) {
        self.actions.push(ClaimAction::Put { ledger: ledger.clone(), version: self.version });
        self.written = Some(ledger);
    }

    /// The ledger with the batch in it, as far as it holds.
    fn applied(&self, now: u64) -> ClaimLedger {
        let mut ledger = self.ledger.clone();
        ledger.expire(now.saturating_sub(self.policy.key_age.as_secs()));
        ledger.forget_answers(now.saturating_sub(self.policy.answer_age.as_secs()));
        // Keys that are given back come first: a claim of the same batch may be on one of them.
        for order in &self.batch {
            if let ClaimCommand::Release(record) = order {
                ledger.release(&record.claim);
            }
        }
        for order in &self.batch {
            match order {
                ClaimCommand::Claim(record) => {
                    if ledger.judge(record) == ClaimVerdict::Free && ledger.len() < self.policy.max_claims {
                        ledger.put(record.clone());
                    }
                }
                ClaimCommand::Answer(record) => {
                    if ledger.judge(record) == ClaimVerdict::Own {
                        ledger.put(record.clone());
                    }
                }
                ClaimCommand::Release(_) => {}
            }
        }
        ledger
    }

    fn wrote(&mut self, now: u64, version: u64) {
        let Some(ledger) = self.written.take() else {
            return;
        };
        self.ledger = ledger;
        self.version = Some(version);
        self.settle();
        self.begin(now);
    }

    /// After a lost reply the object tells whether the claims are in it.
    fn reload(&mut self) {
        self.conflicts += 1;
        self.actions.push(ClaimAction::Load);
    }

    fn loaded(&mut self, now: u64, ledger: ClaimLedger, version: Option<u64>) {
        self.ledger = ledger;
        self.version = version;
        let applied = self.applied(now);
        if applied == self.ledger {
            // Every order is in effect already, or has no room.
            self.settle();
            return self.begin(now);
        }
        if self.conflicts >= self.policy.max_conflicts {
            return self.give_up(now, ClaimRefusal::Contended);
        }
        self.put(applied);
    }

    fn settle(&mut self) {
        self.written = None;
        for order in std::mem::take(&mut self.batch) {
            if let ClaimCommand::Claim(record) = order {
                let verdict = self.ledger.judge(&record);
                self.actions.push(ClaimAction::Resolve { claim: record.claim, verdict });
            }
        }
    }

    /// Refuses the claims; what may have been written is released when the platform is back.
    fn give_up(&mut self, now: u64, refusal: ClaimRefusal) {
        self.written = None;
        for order in std::mem::take(&mut self.batch) {
            match order {
                ClaimCommand::Claim(record) => {
                    self.actions.push(ClaimAction::Refuse { claim: Name::clone(&record.claim), refusal });
                    // An earlier write of the same batch may have been the one without an answer.
                    if refusal == ClaimRefusal::Unanswered || self.conflicts > 0 {
                        self.releases.push(record);
                    }
                }
                ClaimCommand::Release(record) => self.releases.push(record),
                ClaimCommand::Answer(_) => {}
            }
        }
        if !self.releases.is_empty() {
            self.actions.push(ClaimAction::SetTimer { after: self.policy.release_pause });
        }
        self.begin(now);
    }

    fn retry_releases(&mut self, now: u64) {
        let releases = std::mem::take(&mut self.releases);
        self.queue.extend(releases.into_iter().map(ClaimCommand::Release));
        if self.batch.is_empty() {
            self.begin(now);
        }
    }
}
