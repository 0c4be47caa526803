//! Quarantine: finds requests, and parts of prompts, that crash the endpoints which run them, so that all hosts refuse
//! them.

mod crash_inquiry;
mod crash_ledger;
mod crash_record;
mod part_evidence;
mod part_watch;
mod request_digest;
mod spread_plan;
mod suspect_request;
mod unanswered_list;

use crash_record::RunLength;

pub use crash_inquiry::{CrashInquiry, EndpointFinding};
pub use crash_ledger::{CrashLedger, CrashRecords, QuarantineChange};
pub use crash_record::CrashRecord;
pub use request_digest::{DigestError, RequestDigest};
pub use spread_plan::{SpreadScope, SpreadStep, spread_plan, spread_through};
pub use suspect_request::SuspectRequest;
