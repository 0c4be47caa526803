//! What endpoints say of themselves in their answers, on which terms they take requests.

mod terms_ledger;

pub use terms_ledger::TermsLedger;
