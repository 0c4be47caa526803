//! Plain calls: sent at most once where they may not be repeated, retried within a budget where they may.

mod call_driver;
mod claim_service;

pub(crate) use call_driver::{CallDriver, PlainCall};
pub(crate) use claim_service::ClaimService;
