use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::EndpointRecord;
use super::rendezvous::rendezvous_weight;
use crate::{EndpointGroup, EndpointId, Name, ZoneName};

/// Key under which the ring position of an endpoint is hashed.
const POSITION_KEY: &[u8] = b"position";

/// A hash ring of the endpoints of each service and availability zone (consistent hashing).
///
/// All hosts that know the same endpoints find them in the same order from a given position. So a choice examines only
/// the few endpoints that follow a position, however many there are, and all hosts examine the same few.
#[derive(Debug, Default)]
pub(super) struct RingIndex {
    rings: BTreeMap<Name, BTreeMap<ZoneName, EndpointRing>>,
}

type EndpointRing = BTreeSet<(u64, EndpointId)>;

impl RingIndex {
    pub(super) fn add(&mut self, record: &EndpointRecord) {
        let zones = self.rings.entry(Name::clone(&record.service)).or_default();
        let ring = zones.entry(ZoneName::clone(&record.zone)).or_default();
        ring.insert(ring_entry(&record.id));
    }

    pub(super) fn remove(&mut self, record: &EndpointRecord) {
        let Some(zones) = self.rings.get_mut(&record.service) else {
            return;
        };
        let Some(ring) = zones.get_mut(&record.zone) else {
            return;
        };
        ring.remove(&ring_entry(&record.id));
        if ring.is_empty() {
            zones.remove(&record.zone);
        }
        if zones.is_empty() {
            self.rings.remove(&record.service);
        }
    }

    /// All endpoints of a service.
    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = &EndpointId> + use<'_> {
        let rings = self.rings.get(service).into_iter().flat_map(BTreeMap::values);
        rings.flatten().map(|(_, id)| id)
    }

    /// The number of endpoints in a group.
    pub(super) fn group_size(&self, group: &EndpointGroup) -> usize {
        self.ring(group).map_or(0, BTreeSet::len)
    }

    /// The endpoints of a group, in ring order.
    pub(super) fn of_group(&self, group: &EndpointGroup) -> impl Iterator<Item = &EndpointId> {
        self.ring(group).into_iter().flatten().map(|(_, id)| id)
    }

    /// The endpoints of a group, in ring order from behind an endpoint on.
    pub(super) fn after_endpoint(&self, group: &EndpointGroup, id: &EndpointId) -> impl Iterator<Item = &EndpointId> {
        let (from, ring) = (ring_entry(id), self.ring(group));
        let later = ring.map(|ring| ring.range((Bound::Excluded(from.clone()), Bound::Unbounded)));
        let earlier = ring.map(|ring| ring.range(..from));
        later.into_iter().flatten().chain(earlier.into_iter().flatten()).map(|(_, id)| id)
    }

    fn ring(&self, group: &EndpointGroup) -> Option<&EndpointRing> {
        self.rings.get(&group.service)?.get(&group.zone)
    }

    /// The endpoints of a service by zone, those of each zone in ring order from a position on.
    pub(super) fn after_position(
        &self,
        service: &str,
        position: u64,
    ) -> impl Iterator<Item = impl Iterator<Item = &EndpointId>> {
        let rings = self.rings.get(service).into_iter().flat_map(BTreeMap::values);
        rings.map(move |ring| {
            let from = (position, EndpointId::default());
            let later = ring.range(from.clone()..);
            let earlier = ring.range((Bound::Unbounded, Bound::Excluded(from)));
            later.chain(earlier).map(|(_, id)| id)
        })
    }
}

fn ring_entry(id: &EndpointId) -> (u64, EndpointId) {
    (rendezvous_weight(POSITION_KEY, id), EndpointId::clone(id))
}
