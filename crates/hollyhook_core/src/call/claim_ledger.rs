use serde::{Deserialize, Serialize};

use crate::Name;

/// One claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// A digest of client account, service and key, in hexadecimal.
    pub key: Name,
    /// A digest of the request, in hexadecimal.
    pub request: Name,
    /// Names this one claim, so that its maker recognises it when the reply to the write was lost.
    pub claim: Name,
    /// When it was made, in Unix seconds.
    pub made_at: u64,
    /// The status and body of the answer, once known and small enough to keep.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<ClaimAnswer>,
}

/// The answer that a repeated call gets again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Name,
    /// The body, as text.
    pub body: Name,
}

/// What a ledger says of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// Nobody holds it.
    Free,
    /// The claim with this name is the asker's own.
    Own,
    /// Another call with the same key and request holds it.
    Held(ClaimRecord),
    /// The key was used with another request.
    Reused,
}

/// The claims of one shard of keys, as one object of the platform holds them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLedger {
    records: Vec<ClaimRecord>,
}

impl ClaimLedger {
    /// What the ledger says of a claim that someone wants to make.
    pub fn judge(&self, wanted: &ClaimRecord) -> ClaimVerdict {
        let Some(held) = self.records.iter().find(|record| record.key == wanted.key) else {
            return ClaimVerdict::Free;
        };
        if held.claim == wanted.claim {
            return ClaimVerdict::Own;
        }
        if held.request != wanted.request {
            return ClaimVerdict::Reused;
        }
        ClaimVerdict::Held(held.clone())
    }

    /// Adds a claim on a free key, or updates the claim with the same name.
    pub fn put(&mut self, record: ClaimRecord) {
        match self.records.iter_mut().find(|held| held.claim == record.claim) {
            Some(held) => *held = record,
            None => self.records.push(record),
        }
    }

    /// Gives a key back whose call was certainly not run.
    pub fn release(&mut self, claim: &str) {
        self.records.retain(|record| &*record.claim != claim);
    }

    /// Forgets claims made before that time, in Unix seconds.
    pub fn expire(&mut self, before: u64) {
        self.records.retain(|record| record.made_at >= before);
    }

    /// Forgets the answers of claims made before that time, in Unix seconds, but not the claims.
    pub fn forget_answers(&mut self, before: u64) {
        for record in self.records.iter_mut().filter(|record| record.made_at < before) {
            record.answer = None;
        }
    }

    /// The number of claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
