//! What endpoints say of themselves in their answers, on which terms they take requests.

mod rate_share;
mod terms_ledger;

pub use rate_share::RateShare;
pub use terms_ledger::TermsLedger;
