//! Leases between hosts of limits that are too small to divide.

mod lease_borrower;
mod lease_message;
mod lease_server;

pub(crate) use lease_borrower::{LeaseBorrower, LeaseState};
pub(crate) use lease_server::{answer_lease_request, is_lease_request};
