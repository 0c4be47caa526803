use crate::demand::collector_order;
use crate::{HostRecord, Name};

/// Number of hosts of a zone that are tried one after the other as the one that passes records on.
const MAX_TRIED: usize = 2;

/// How far crash records that a host receives still have to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpreadScope {
    /// To all hosts.
    Site,
    /// To the other hosts of the recipient's zone.
    Zone,
    /// To the recipient only.
    Host,
}

/// A message with crash records, and the hosts to try as its recipient until one answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpreadStep {
    /// How far the recipient has to pass the records on.
    pub scope: SpreadScope,
    /// The hosts to try, best first.
    pub recipients: Vec<HostRecord>,
}

/// The host of the zone of `own` to which `own` gives its records to be passed on to all hosts; `None` if `own` has to do
/// that itself.
///
/// Where each host told all others, the loss of a zone would make messages grow with the square of the hosts. The host
/// that passes records on sends those of all hosts together.
pub fn spread_through(own: &HostRecord, hosts: &[HostRecord]) -> Option<SpreadStep> {
    let order = collector_order(hosts.iter(), &own.zone);
    let before: Vec<HostRecord> =
        order.into_iter().take_while(|record| record.host != own.host).take(MAX_TRIED).cloned().collect();
    (!before.is_empty()).then_some(SpreadStep { scope: SpreadScope::Site, recipients: before })
}

/// The messages by which `own` passes records on that have to go as far as `scope`.
pub fn spread_plan(own: &HostRecord, scope: SpreadScope, hosts: &[HostRecord]) -> Vec<SpreadStep> {
    let mut steps = Vec::new();
    if scope <= SpreadScope::Zone {
        let members = hosts.iter().filter(|record| record.zone == own.zone && record.host != own.host);
        steps.extend(members.map(|record| SpreadStep { scope: SpreadScope::Host, recipients: vec![record.clone()] }));
    }
    if scope == SpreadScope::Site {
        let mut zones: Vec<&Name> = hosts.iter().map(|record| &record.zone).filter(|zone| **zone != own.zone).collect();
        zones.sort();
        zones.dedup();
        steps.extend(zones.into_iter().map(|zone| {
            let recipients = collector_order(hosts.iter(), zone).into_iter().take(MAX_TRIED).cloned().collect();
            SpreadStep { scope: SpreadScope::Zone, recipients }
        }));
    }
    steps
}
