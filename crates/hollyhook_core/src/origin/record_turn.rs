use std::cmp::Reverse;
use std::time::Duration;

use rand::Rng;

use crate::Name;
use crate::route::rendezvous_weight;

/// The number of hosts that write a record in turn, before all others do.
const FIRST_WRITERS: u32 = 3;
/// By how much each of them waits longer than the one before; a read and a write take some milliseconds.
const TURN_TIME: Duration = Duration::from_millis(200);
/// The time, in milliseconds, after which all other hosts read the record, and write what it still lacks. They are spread,
/// since hundreds of reads at one moment would exceed the store's rate.
const OTHERS_TIME_MS: std::ops::Range<u64> = 500..1_500;

/// When a host writes a service's version record, among all hosts that have the same to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordTurn {
    /// The number of hosts whose turn is earlier; `None` if the hosts are not known yet.
    rank: Option<u32>,
}

impl RecordTurn {
    /// The turn of the host `own`; all hosts that know the same hosts agree on the turns.
    pub fn new<'h>(hosts: impl Iterator<Item = &'h Name>, own: &Name, service: &Name) -> Self {
        let place = |host: &Name| Reverse((rendezvous_weight(service.as_bytes(), host), Name::clone(host)));
        let own_place = place(own);
        let rank = hosts.filter(|host| *host != own && place(host) < own_place).count();
        Self { rank: Some(u32::try_from(rank).unwrap_or(u32::MAX)) }
    }

    /// The turn of a host that does not know the other hosts yet.
    pub fn unknown() -> Self {
        Self { rank: None }
    }

    /// Whether this host is the first to write, and the one that removes versions.
    pub fn is_first(self) -> bool {
        self.rank == Some(0)
    }

    /// How long the host waits before it reads the record and writes what it still lacks.
    pub fn pause(self, random: &mut impl Rng) -> Duration {
        match self.rank {
            Some(rank) if rank < FIRST_WRITERS => TURN_TIME * rank,
            _ => Duration::from_millis(random.random_range(OTHERS_TIME_MS)),
        }
    }
}
