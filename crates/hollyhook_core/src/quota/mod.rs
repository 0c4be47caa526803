//! Quotas: what each host may use of limits that hold for all hosts together. Hosts begin with equal quotas and lend each
//! other what they don't use.

mod lender_choice;
mod quota_ledger;
mod quota_loan;
mod quota_usage;
mod service_quota;
mod slot_owners;
mod slot_points;

pub use quota_ledger::{QuotaLedger, QuotaRound};
pub use quota_loan::{QuotaLoan, QuotaPart};
pub use quota_usage::QuotaTotals;
