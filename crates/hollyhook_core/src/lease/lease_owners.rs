use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use rand::seq::IteratorRandom;

use super::LEASE_TIME;
use crate::route::rendezvous_weight;
use crate::{EndpointId, Name, TimePoint, ZoneName};

/// The owner of an endpoint's limit, and the host that takes its place while it is lost.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct OwnerPair {
    pub(crate) owner: Name,
    pub(crate) successor: Option<Name>,
}

/// The hosts among which the owners of limits are chosen, and those in force within the last [`LEASE_TIME`].
#[derive(Debug, Default)]
pub(crate) struct LeaseOwners {
    own: Option<Name>,
    hosts: BTreeMap<Name, ZoneName>,
    /// Earlier hosts with the time until which they were in force; none were known before the first list.
    earlier: VecDeque<(TimePoint, BTreeMap<Name, ZoneName>)>,
    /// The endpoints with a limit, each with its zone and its owners.
    known: BTreeMap<EndpointId, (ZoneName, OwnerPair)>,
}

impl LeaseOwners {
    /// Sets this host's name and all hosts.
    pub(crate) fn set(&mut self, now: TimePoint, own: &Name, hosts: BTreeMap<Name, ZoneName>) {
        self.own = Some(Name::clone(own));
        self.earlier.retain(|(until, _)| now.since(*until) <= LEASE_TIME);
        if hosts == self.hosts {
            return;
        }
        let earlier = std::mem::replace(&mut self.hosts, hosts);
        self.earlier.push_back((now, earlier));
        let hosts = &self.hosts;
        self.known.retain(|endpoint, (zone, pair)| match owners_among(hosts, endpoint, zone) {
            Some(owners) => {
                *pair = owners;
                true
            }
            None => false,
        });
    }

    /// Looks up the owner of an endpoint's limit.
    pub(crate) fn add(&mut self, endpoint: &EndpointId, zone: &ZoneName) {
        if self.known.contains_key(endpoint) {
            return;
        }
        if let Some(pair) = owners_among(&self.hosts, endpoint, zone) {
            self.known.insert(EndpointId::clone(endpoint), (ZoneName::clone(zone), pair));
        }
    }

    /// Forgets the endpoints for which `is_known` returns false.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.known.retain(|endpoint, _| is_known(endpoint));
    }

    pub(crate) fn is_known(&self) -> bool {
        !self.hosts.is_empty()
    }

    pub(crate) fn is_own(&self, owner: &Name) -> bool {
        self.own.as_ref() == Some(owner)
    }

    /// One of the other hosts.
    pub(crate) fn any_other(&self, rng: &mut impl Rng) -> Option<Name> {
        self.hosts.keys().filter(|host| !self.is_own(host)).choose(rng).cloned()
    }

    /// The owners of an endpoint's limit, if they have been looked up.
    pub(crate) fn of(&self, endpoint: &str) -> Option<&OwnerPair> {
        self.known.get(endpoint).map(|(_, pair)| pair)
    }

    /// The owners of an endpoint's limit, which have been looked up, by the hosts known now and by those within the last [`LEASE_TIME`], in which leases
    /// may have been made that are in force; `None` before hosts were known.
    pub(crate) fn lately(
        &self,
        now: TimePoint,
        endpoint: &EndpointId,
        zone: &ZoneName,
    ) -> impl Iterator<Item = Option<OwnerPair>> {
        let earlier = self.earlier.iter().filter(move |(until, _)| now.since(*until) <= LEASE_TIME);
        let earlier = earlier.map(move |(_, hosts)| owners_among(hosts, endpoint, zone));
        std::iter::once(self.of(endpoint).cloned()).chain(earlier)
    }
}

/// The hosts that own an endpoint's limit, of the endpoint's zone if it has any: they can then be reached from wherever
/// the endpoint can. All hosts that know the same hosts choose the same ones, and a host that comes or goes changes only
/// what it owns itself.
fn owners_among(hosts: &BTreeMap<Name, ZoneName>, endpoint: &EndpointId, zone: &ZoneName) -> Option<OwnerPair> {
    let is_near = |host_zone: &ZoneName| host_zone == zone;
    let has_near = hosts.values().any(is_near);
    let usable = hosts.iter().filter(|(_, host_zone)| !has_near || is_near(host_zone));
    let mut ranked: Vec<(u64, &Name)> =
        usable.map(|(host, _)| (rendezvous_weight(host.as_bytes(), endpoint), host)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut hosts = ranked.into_iter().map(|(_, host)| Name::clone(host));
    Some(OwnerPair { owner: hosts.next()?, successor: hosts.next() })
}
