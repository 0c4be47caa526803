use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::EndpointRecord;
use super::rendezvous::rendezvous_weight;
use crate::{EndpointId, Name, ZoneName};

const POSITION: &[u8] = b"position";

/// The endpoints of each service and availability zone on a ring, by a hash of their names (consistent hashing).
///
/// From a number on, every host that knows the same endpoints meets them in the same order. So a choice looks at the few that
/// follow the number, whatever the number of endpoints, and another host looks at the same few.
#[derive(Debug, Default)]
pub(super) struct RingIndex {
    rings: BTreeMap<Name, BTreeMap<ZoneName, EndpointRing>>,
}

type EndpointRing = BTreeSet<(u64, EndpointId)>;

impl RingIndex {
    pub(super) fn add(&mut self, record: &EndpointRecord) {
        let zones = self.rings.entry(Name::clone(&record.service)).or_default();
        let ring = zones.entry(ZoneName::clone(&record.zone)).or_default();
        ring.insert(place(&record.id));
    }

    pub(super) fn remove(&mut self, record: &EndpointRecord) {
        let Some(zones) = self.rings.get_mut(&record.service) else {
            return;
        };
        let Some(ring) = zones.get_mut(&record.zone) else {
            return;
        };
        ring.remove(&place(&record.id));
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

    /// The endpoints of a service zone by zone, each zone's in the order in which they follow a number.
    pub(super) fn after_number(
        &self,
        service: &str,
        number: u64,
    ) -> impl Iterator<Item = impl Iterator<Item = &EndpointId>> {
        let rings = self.rings.get(service).into_iter().flat_map(BTreeMap::values);
        rings.map(move |ring| {
            let from = (number, EndpointId::default());
            let later = ring.range(from.clone()..);
            let earlier = ring.range((Bound::Unbounded, Bound::Excluded(from)));
            later.chain(earlier).map(|(_, id)| id)
        })
    }
}

fn place(id: &EndpointId) -> (u64, EndpointId) {
    (rendezvous_weight(POSITION, id), EndpointId::clone(id))
}
