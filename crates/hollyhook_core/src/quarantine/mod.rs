//! Requests that end the endpoints which run them: how they are told from others, and refused by all hosts.

mod crash_ledger;
mod crash_record;
mod request_digest;
mod unanswered_list;

pub use crash_ledger::{CrashLedger, CrashRecords, QuarantineChange};
pub use crash_record::CrashRecord;
pub use request_digest::{DigestError, RequestDigest};
