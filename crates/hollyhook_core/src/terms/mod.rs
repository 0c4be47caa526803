//! What endpoints say of themselves in their answers, on which terms they take requests.

mod rate_share;
mod advertised_terms;
mod terms_table;

pub use rate_share::RateShare;
pub use advertised_terms::AdvertisedTerms;
pub use terms_table::TermsTable;
