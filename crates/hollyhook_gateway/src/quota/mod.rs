//! Loans between hosts of what they may use of limits that hold for all hosts together.

mod quota_borrower;
mod quota_message;
mod quota_server;

pub(crate) use quota_borrower::{BorrowState, QuotaBorrower};
pub(crate) use quota_server::{answer_quota_request, is_quota_request};
