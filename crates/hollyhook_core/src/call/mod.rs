//! Calls to plain services: at most once where they may not be repeated.

mod call_guard;
mod claim_ledger;
mod claim_shard;

pub use call_guard::{CallAction, CallEvent, CallGuard, CallOutcome};
pub use claim_ledger::{ClaimAnswer, ClaimLedger, ClaimRecord, ClaimVerdict};
pub use claim_shard::{ClaimAction, ClaimCommand, ClaimEvent, ClaimPolicy, ClaimRefusal, ClaimShard};
