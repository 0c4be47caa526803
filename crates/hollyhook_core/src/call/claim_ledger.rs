use serde::{Deserialize, Serialize};

use crate::Name;

/// The claim of one call on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// A digest of client account, service and key, in hexadecimal.
    pub key: Name,
    /// A digest of the request, in hexadecimal.
    pub request: Name,
    /// The unique name of the claim, by which the host that made it recognises it if the reply to the write was lost.
    pub claim: Name,
    /// When the claim was made, in Unix seconds.
    pub made_at: u64,
    /// The answer to the call, once known, if it is small enough to keep.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<ClaimAnswer>,
}

/// The stored answer to a call, replayed when the call is repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Name,
    /// The body, as text.
    pub body: Name,
}

/// Whether a wanted claim can be made on its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// No claim holds the key.
    Free,
    /// The wanted claim itself holds the key.
    Own,
    /// Another call with the same request holds the key.
    Held(ClaimRecord),
    /// A call with another request holds the key.
    Reused,
}

/// The claims on one shard of the keys, stored as one object of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLedger {
    records: Vec<ClaimRecord>,
}

impl ClaimLedger {
    /// Whether a wanted claim can be made, or holds its key already.
    pub fn verdict(&self, wanted: &ClaimRecord) -> ClaimVerdict {
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

    /// Replaces the claim with the same name, or adds the claim if there is none.
    pub fn put(&mut self, record: ClaimRecord) {
        match self.records.iter_mut().find(|held| held.claim == record.claim) {
            Some(held) => *held = record,
            None => self.records.push(record),
        }
    }

    /// Removes the claim of a call that certainly did not run, so that its key is free again.
    pub fn release(&mut self, claim: &str) {
        self.records.retain(|record| &*record.claim != claim);
    }

    /// Removes claims made before a time, in Unix seconds.
    pub fn expire(&mut self, before: u64) {
        self.records.retain(|record| record.made_at >= before);
    }

    /// Removes the answers of claims made before a time, in Unix seconds, but keeps the claims.
    pub fn expire_answers(&mut self, before: u64) {
        for record in self.records.iter_mut().filter(|record| record.made_at < before) {
            record.answer = None;
        }
    }

    /// The number of claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the ledger holds no claim.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
