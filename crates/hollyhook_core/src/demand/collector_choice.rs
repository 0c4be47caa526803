use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::route::rendezvous_weight;
use crate::{HostRecord, Name, TimePoint};

/// Key by which hosts are ordered: another order than that of the hosts that read the store, which have more to do.
const ORDER_KEY: &[u8] = b"demand";
/// How long a host that did not answer is skipped.
const SKIP_TIME: Duration = Duration::from_secs(4);

/// The hosts of a zone in the order in which they collect the zone's demand; the first that answers does.
///
/// All hosts that know the same hosts find the same order.
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
    /// Up to `limit` hosts of an [order](collector_order) to ask, best first, without those that are skipped.
    pub fn candidates<'h>(&self, now: TimePoint, order: &[&'h HostRecord], limit: usize) -> Vec<&'h HostRecord> {
        let usable = order.iter().filter(|record| self.skipped.get(&record.host).is_none_or(|until| now >= *until));
        usable.take(limit).copied().collect()
    }

    /// Skips a host that did not answer for a while.
    pub fn skip(&mut self, now: TimePoint, host: &Name) {
        self.skipped.retain(|_, until| now < *until);
        self.skipped.insert(Name::clone(host), now + SKIP_TIME);
    }
}
