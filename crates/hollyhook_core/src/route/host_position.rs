use serde::{Deserialize, Serialize};

use super::rendezvous::rendezvous_weight;
use crate::EndpointId;

/// Key under which the first slot of an endpoint's first host is hashed.
const OFFSET_KEY: &[u8] = b"slots";

/// This host's place among all hosts, by which they divide the slots of endpoints without messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPosition {
    /// The host's place in the order of the hosts' names, from 0.
    pub index: usize,
    /// The number of hosts.
    pub count: usize,
}

impl Default for HostPosition {
    fn default() -> Self {
        Self { index: 0, count: Self::UNLISTED_COUNT }
    }
}

impl HostPosition {
    /// The number of hosts that is assumed before they have been listed.
    pub const UNLISTED_COUNT: usize = 16;

    /// The fraction of a limit for all hosts together that is left to each if they divide it equally.
    pub(crate) fn equal_share(self) -> f64 {
        1.0 / self.count.max(1) as f64
    }

    /// How many of an endpoint's `capacity` slots belong to this host.
    ///
    /// All hosts that know the same hosts divide them in the same way: slot after slot goes to host after host, from a
    /// different first host at each endpoint, so that no slot belongs to two hosts.
    pub(crate) fn own_slots(self, endpoint: &str, capacity: u32) -> u32 {
        let count = self.count.max(1) as u64;
        let first = first_owner(endpoint, count);
        let distance = (self.index as u64 + count - first) % count;
        let capacity = u64::from(capacity);
        (capacity / count + u64::from(distance < capacity % count)) as u32
    }

    /// How many slots of these endpoints belong to each of `count` hosts.
    pub(crate) fn slot_counts(count: usize, endpoints: &[(EndpointId, u32)]) -> Vec<u32> {
        let count = count.max(1);
        let mut counts = vec![0; count];
        for (endpoint, capacity) in endpoints {
            let first = first_owner(endpoint, count as u64) as usize;
            (0..*capacity as usize).for_each(|slot| counts[(first + slot) % count] += 1);
        }
        counts
    }
}

/// The host of `count` that an endpoint's first slot belongs to.
fn first_owner(endpoint: &str, count: u64) -> u64 {
    rendezvous_weight(OFFSET_KEY, endpoint) % count
}

/// The point of the unit interval by which a slot of a host at an endpoint is lent; the same on every host.
pub(crate) fn slot_weight(endpoint: &str, host_index: usize, slot: u32) -> f64 {
    let mut key = [0; 12];
    key[..8].copy_from_slice(&(host_index as u64).to_be_bytes());
    key[8..].copy_from_slice(&slot.to_be_bytes());
    // The upper 53 bits, as many as a float represents exactly.
    (rendezvous_weight(&key, endpoint) >> 11) as f64 / (1_u64 << 53) as f64
}
