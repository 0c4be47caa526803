use std::collections::BTreeMap;

use super::QuotaTotals;
use crate::{HostPosition, HostRecord, Name};

/// The slots that the asked hosts own, for each one that is missing: about half of their slots are in use or lent.
const SLOTS_ASKED: f64 = 2.0;

/// How many slots each of the other hosts owns that has any.
///
/// It is a guess by which lenders are chosen: a lender lends only what it counts as its own.
#[derive(Debug)]
pub(super) struct SlotOwners(BTreeMap<Name, u32>);

impl SlotOwners {
    /// Counts the slots by the places of hosts in the order of their names.
    pub(super) fn new(own: HostPosition, totals: &QuotaTotals, others: &[HostRecord]) -> Self {
        let mut names: Vec<&Name> = others.iter().map(|record| &record.host).collect();
        names.sort_unstable();
        let counts = HostPosition::slot_counts(own.count, &totals.slots);
        let index_of = |rank: usize| if rank < own.index { rank } else { rank + 1 };
        let owned = names.into_iter().enumerate().map(|(rank, name)| {
            let slots = counts.get(index_of(rank)).copied().unwrap_or_default();
            (Name::clone(name), slots)
        });
        Self(owned.filter(|(_, slots)| *slots > 0).collect())
    }

    pub(super) fn contains(&self, host: &Name) -> bool {
        self.0.contains_key(host)
    }

    /// Keeps as many of the first lenders as it takes to borrow `missing` slots, and returns the fraction of its quota that
    /// each of them should lend.
    pub(super) fn keep_enough(&self, lenders: &mut Vec<HostRecord>, missing: f64) -> f64 {
        let mut owned = 0.0;
        lenders.retain(|record| {
            let is_needed = owned < missing * SLOTS_ASKED;
            if is_needed {
                owned += self.0.get(&record.host).copied().map_or(0.0, f64::from);
            }
            is_needed
        });
        if owned > 0.0 { missing / owned } else { 0.0 }
    }
}
