use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::rendezvous::rendezvous_weight;
use crate::{EndpointId, ZoneName};

/// Chooses the subset of a service's endpoints that a host uses, so that the host's cost does not grow with the fleet.
///
/// Half of the subset is in the host's own zone and half in the other zones, in equal parts, so that the host keeps
/// some endpoints if any zone is lost. Within a zone, the host uses the endpoints that rendezvous hashing ranks first
/// for its name: each host uses different ones, and few of them change when the fleet changes.
///
/// ```
/// use hollyhook_core::EndpointSubset;
///
/// let fleet = (0..100).map(|number| (format!("e{number}").into(), "zone-a".into()));
/// let subset = EndpointSubset::new("host-1", "zone-a").limit(10).choose(fleet);
/// assert_eq!(subset.len(), 10);
/// ```
#[derive(Debug, Clone)]
pub struct EndpointSubset<'a> {
    host: &'a str,
    zone: &'a str,
    limit: usize,
}

impl<'a> EndpointSubset<'a> {
    /// The default maximum number of endpoints in a subset.
    ///
    /// With 1,000 hosts and 10,000 endpoints, each endpoint is then in the subsets of about 13 hosts.
    pub const LIMIT: usize = 128;

    /// The subset of a host in a zone, with the default limit.
    pub fn new(host: &'a str, zone: &'a str) -> Self {
        Self { host, zone, limit: Self::LIMIT }
    }

    /// Sets the maximum number of endpoints.
    #[must_use]
    pub fn limit(mut self, endpoints: usize) -> Self {
        self.limit = endpoints;
        self
    }

    /// Chooses from the endpoints of one service; returns all of them if there are no more than the limit.
    pub fn choose(&self, fleet: impl IntoIterator<Item = (EndpointId, ZoneName)>) -> Vec<EndpointId> {
        let mut zones: BTreeMap<ZoneName, Vec<EndpointId>> = BTreeMap::new();
        for (endpoint, zone) in fleet {
            zones.entry(zone).or_default().push(endpoint);
        }
        for endpoints in zones.values_mut() {
            endpoints.sort_by_cached_key(|endpoint| Reverse(rendezvous_weight(self.host.as_bytes(), endpoint)));
        }
        self.alternate(zones)
    }

    /// Takes endpoints alternately from the own zone and the other zones, until the limit is reached or none are left.
    fn alternate(&self, zones: BTreeMap<ZoneName, Vec<EndpointId>>) -> Vec<EndpointId> {
        let (own, others): (Vec<_>, Vec<_>) = zones.into_iter().partition(|(zone, _)| **zone == *self.zone);
        let mut own = own.into_iter().flat_map(|(_, endpoints)| endpoints);
        let mut others = interleave(others.into_iter().map(|(_, endpoints)| endpoints).collect()).into_iter();
        let mut chosen = Vec::new();
        loop {
            let before = chosen.len();
            for next in [own.next(), others.next()].into_iter().flatten() {
                if chosen.len() < self.limit {
                    chosen.push(next);
                }
            }
            if chosen.len() == before {
                return chosen;
            }
        }
    }
}

/// Merges lists by taking one item of each in turn.
fn interleave(lists: Vec<Vec<EndpointId>>) -> Vec<EndpointId> {
    let mut lists: Vec<_> = lists.into_iter().map(Vec::into_iter).collect();
    let mut joined = Vec::new();
    loop {
        let before = joined.len();
        joined.extend(lists.iter_mut().filter_map(Iterator::next));
        if joined.len() == before {
            return joined;
        }
    }
}
