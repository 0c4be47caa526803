use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{DemandSummary, PaceReading, ZoneDemand};
use crate::{Name, ZoneName};

/// A host's report of demand to another host.
///
/// A host of the same zone gets the sender's own summary, and a host of another zone gets the sum of the sender's zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemandMessage {
    /// The host that sends the message.
    pub host: Name,
    /// Its own summary, or the sum of its zone.
    pub own: DemandSummary,
    /// Whether the collector asks a host of its zone to take part if it has requests for the services of the summary.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub invites: bool,
    /// Summaries that other hosts of the zone sent to this one although the recipient is the collector, by host.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub collected: BTreeMap<Name, DemandSummary>,
}

impl DemandMessage {
    /// Maximum number of hosts whose summaries are passed on in one message.
    pub(super) const MAX_COLLECTED: usize = 64;

    /// Whether the message is within its bounds and has only figures that can be used.
    pub fn is_valid(&self) -> bool {
        let has_valid_collected =
            self.collected.len() <= Self::MAX_COLLECTED && self.collected.values().all(DemandSummary::is_valid);
        self.own.is_valid() && has_valid_collected
    }
}

/// A host's answer to a [`DemandMessage`].
///
/// A host of the same zone gets the sums of all zones, and a host of another zone gets the sum of this zone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReply {
    /// The sums by zone.
    pub zones: BTreeMap<ZoneName, ZoneDemand>,
    /// The merged paces of all zones, for a host of the same zone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<PaceReading>,
}

impl DemandReply {
    /// Maximum number of zones in a reply.
    const MAX_ZONES: usize = 64;

    /// Whether the reply is within its bounds and has only figures that can be used.
    pub fn is_valid(&self) -> bool {
        let has_valid_zones =
            self.zones.len() <= Self::MAX_ZONES && self.zones.values().all(|demand| demand.sum.is_valid());
        let paces = DemandSummary { paces: self.paces.clone(), ..DemandSummary::default() };
        has_valid_zones && paces.is_valid()
    }
}
