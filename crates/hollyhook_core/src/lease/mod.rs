//! Leases of limits that are too small to divide among hosts: each limited endpoint has one host, its owner, that leases
//! its slots and sends to the others for as long as they need them.

mod lease_book;
mod lease_ledger;
mod lease_message;
mod lease_owners;
mod owner_inquiry;
mod refusal_pause;
mod send_leases;
mod slot_leases;
mod wait_counter;

pub(crate) use lease_book::LeaseBook;
pub(crate) use lease_ledger::LeaseLedger;
pub use lease_message::{LeaseQuestion, LeaseRound, LeasedLimit};
pub(crate) use lease_owners::{LeaseOwners, OwnerPair};

use std::time::Duration;

use crate::{EndpointId, Name};

/// How long leased slots may be used without being renewed. The borrower counts from its question and the owner from its
/// later answer, so that no slot is used by two hosts. A borrower that is lost holds its slots for no longer.
pub(crate) const LEASE_TIME: Duration = Duration::from_secs(1);
/// How long after the last message of another host an owner leases itself more than its equal part: hosts that can't reach
/// it fall back to theirs.
pub(crate) const CONTACT_TIME: Duration = Duration::from_millis(1_500);
/// How long a leased send may wait for its request.
pub(crate) const SEND_TIME: Duration = Duration::from_millis(500);

/// An endpoint whose limit is leased.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LeaseCandidate {
    pub(crate) id: EndpointId,
    pub(crate) owner: Name,
    pub(crate) limit: LeasedLimit,
    /// Requests of this host that are open there.
    pub(crate) open: u32,
    /// Leased sends that have not been used.
    pub(crate) sends_left: u32,
    /// Whether the endpoint would get requests of this host now if it had a lease.
    pub(crate) is_usable: bool,
    pub(crate) is_in_own_zone: bool,
}
