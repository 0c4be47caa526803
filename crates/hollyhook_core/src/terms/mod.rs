//! What endpoints say of themselves in their answers, on which terms they take requests.

mod rate_share;
mod stated_terms;
mod terms_ledger;

pub use rate_share::RateShare;
pub use stated_terms::StatedTerms;
pub use terms_ledger::TermsLedger;
