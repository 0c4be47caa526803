use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::route::rendezvous_weight;
use crate::{HostRecord, Name, TimePoint};

/// Hash key of the order of hosts. The order differs from that in which hosts are chosen to read the store, since those
/// have more work already.
const ORDER_KEY: &[u8] = b"demand";
/// How long a host that did not answer is skipped.
const SKIP_TIME: Duration = Duration::from_secs(4);

/// The hosts of a zone in the order of preference as collectors of the zone's demand; the first that answers is the
/// collector.
///
/// All hosts with the same list of hosts compute the same order.
pub fn collector_order<'h>(hosts: impl Iterator<Item = &'h HostRecord>, zone: &str) -> Vec<&'h HostRecord> {
    let mut order: Vec<&HostRecord> = hosts.filter(|record| &*record.zone == zone).collect();
    order.sort_by_cached_key(|record| Reverse((rendezvous_weight(ORDER_KEY, &record.host), Name::clone(&record.host))));
    order
}

/// Chooses the collector of a zone, and skips hosts that did not answer.
#[derive(Debug, Default)]
pub struct CollectorChoice {
    skipped: BTreeMap<Name, TimePoint>,
}

impl CollectorChoice {
    /// The first `limit` hosts of an [order](collector_order) that are not skipped.
    pub fn candidates<'h>(&self, now: TimePoint, order: &[&'h HostRecord], limit: usize) -> Vec<&'h HostRecord> {
        let usable = order.iter().filter(|record| self.skipped.get(&record.host).is_none_or(|until| now >= *until));
        usable.take(limit).copied().collect()
    }

    /// Skips a host that did not answer, for `SKIP_TIME`.
    pub fn skip(&mut self, now: TimePoint, host: &Name) {
        self.skipped.retain(|_, until| now < *until);
        self.skipped.insert(Name::clone(host), now + SKIP_TIME);
    }
}
