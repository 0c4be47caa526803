//! Calls to plain services. A call that is not repeatable is sent at most once; a call that is repeatable, or was not
//! sent, is retried within a budget.

mod call_driver;
mod claim_service;

pub(crate) use call_driver::{CallDriver, PlainCall};
pub(crate) use claim_service::ClaimService;
