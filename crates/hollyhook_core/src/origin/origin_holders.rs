use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::route::rendezvous_weight;
use crate::{HostRecord, Name, ZoneName};

/// Number of hosts, each of another availability zone, that keep a copy of a stream's origin: losses of several hosts, or
/// of a zone, rarely take all of them.
const COPIES: usize = 3;

/// The hosts that keep copies of the origin of a stream; all hosts that know the same hosts find the same ones.
///
/// `first_attempt` is the client attempt that brought the stream's first event.
pub fn origin_holders<'h>(hosts: impl Iterator<Item = &'h HostRecord>, first_attempt: &Name) -> Vec<&'h HostRecord> {
    let mut zones: BTreeMap<&ZoneName, (u64, &HostRecord)> = BTreeMap::new();
    for record in hosts {
        let ranked = (rendezvous_weight(first_attempt.as_bytes(), &record.host), record);
        let best = zones.entry(&record.zone).or_insert(ranked);
        if ranked.0 > best.0 {
            *best = ranked;
        }
    }
    let mut holders: Vec<(u64, &HostRecord)> = zones.into_values().collect();
    holders.sort_by_key(|(weight, _)| Reverse(*weight));
    holders.truncate(COPIES);
    holders.into_iter().map(|(_, record)| record).collect()
}
