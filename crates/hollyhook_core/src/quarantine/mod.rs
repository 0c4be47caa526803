//! Quarantine: finds requests that crash the endpoints which run them, so that all hosts refuse them.

mod crash_ledger;
mod crash_record;
mod request_digest;
mod unanswered_list;

pub use crash_ledger::{CrashLedger, CrashRecords, QuarantineChange};
pub use crash_record::CrashRecord;
pub use request_digest::{DigestError, RequestDigest};
