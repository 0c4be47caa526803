//! The terms on which endpoints accept requests, as they advertise them in their answers.

mod advertised_terms;
mod brittle_share;
mod rate_share;
mod terms_table;

pub use advertised_terms::AdvertisedTerms;
pub use rate_share::RateShare;
pub use terms_table::TermsTable;
