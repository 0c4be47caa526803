//! Requests that end the endpoints which run them: how they are told from others, and refused by all hosts.

mod break_list;
mod crash_ledger;
mod crash_record;
mod request_digest;

pub use crash_ledger::{CrashLedger, CrashRecords, LedgerChange};
pub use crash_record::CrashRecord;
pub use request_digest::{DigestError, RequestDigest};
