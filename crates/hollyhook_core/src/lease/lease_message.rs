use serde::{Deserialize, Serialize};

use crate::{EndpointId, Name, TimePoint};

/// The limit of an endpoint that is leased.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum LeasedLimit {
    /// How many requests the endpoint processes at a time.
    Slots(u32),
    /// How many requests per second the endpoint takes.
    Rate(f64),
}

/// What a host asks of the owner of an endpoint's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseQuestion {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its limit, as the host knows it.
    pub limit: LeasedLimit,
    /// The slots that the host wants in all, those that it has included, or the further requests that it wants to send.
    pub wanted: u32,
}

/// A host's questions to one owner, sent together.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseRound {
    /// The service whose endpoints are meant; `None` if the round only probes the host.
    pub service: Option<Name>,
    /// The host that is asked.
    pub owner: Name,
    /// Higher than in all earlier rounds of the host that asks.
    pub number: u64,
    /// When the questions were asked.
    pub asked_at: TimePoint,
    /// The questions; the answer has a number of slots or sends for each.
    pub questions: Vec<LeaseQuestion>,
}
