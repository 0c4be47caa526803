//! Calls to plain services: a call that may not be repeated is sent at most once.

mod call_guard;
mod claim_ledger;
mod claim_shard;

pub use call_guard::{CallAction, CallEvent, CallGuard, CallOutcome};
pub use claim_ledger::{ClaimAnswer, ClaimLedger, ClaimRecord, ClaimVerdict};
pub use claim_shard::{ClaimAction, ClaimCommand, ClaimEvent, ClaimPolicy, ClaimRefusal, ClaimShard};
