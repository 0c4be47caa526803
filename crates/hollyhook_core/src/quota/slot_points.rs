use super::QuotaPart;
use crate::route::slot_weight;
use crate::{EndpointId, HostPosition};

/// The points of a host's own slots in the unit interval, in ascending order.
///
/// A part of a quota lends the slots whose points it contains. A host with few slots has to lend them whole: a part of
/// any size may contain none of them.
#[derive(Debug, Default)]
pub(super) struct SlotPoints(Vec<f64>);

impl SlotPoints {
    pub(super) fn new(position: HostPosition, endpoints: &[(EndpointId, u32)]) -> Self {
        let of_endpoint = |(endpoint, capacity): &(EndpointId, u32)| {
            let own = position.own_slots(endpoint, *capacity);
            let points = (0..own).map(|slot| slot_weight(endpoint, position.index, slot));
            points.collect::<Vec<f64>>()
        };
        let mut points: Vec<f64> = endpoints.iter().flat_map(of_endpoint).collect();
        points.sort_by(f64::total_cmp);
        Self(points)
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// The end of the smallest part from 0 on that contains `count` slots.
    pub(super) fn end_of_first(&self, count: usize) -> f64 {
        if count == 0 { 0.0 } else { self.0.get(count).copied().unwrap_or(1.0) }
    }

    pub(super) fn count_in(&self, part: QuotaPart) -> usize {
        self.0.iter().filter(|point| part.contains(**point)).count()
    }

    /// The part with its begin moved down until it contains `count` slots, or to `limit`.
    pub(super) fn grow_down(&self, part: QuotaPart, count: usize, limit: f64) -> QuotaPart {
        let below = self.0.iter().rev().filter(|point| (limit..part.to).contains(*point));
        match below.take(count).last() {
            Some(from) => QuotaPart { from: part.from.min(*from), ..part },
            None => part,
        }
    }
}
