use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::{HostRecord, Name, TimePoint};

/// Number of hosts drawn at random, of which the one with the fewest tunnels of this host is asked. All hosts that lost
/// their paths thus spread over all others, without knowing of each other.
const SAMPLE_SIZE: usize = 2;
/// How long a host that could open no tunnel is not asked again.
const SKIP_TIME: Duration = Duration::from_secs(1);

/// The hosts through which this host opens connections to endpoints that it can't reach itself.
#[derive(Debug, Default)]
pub struct TunnelDirectory {
    hosts: BTreeMap<Name, TunnelHost>,
}

#[derive(Debug, Default)]
struct TunnelHost {
    /// Connections that this host has open through that host.
    open: u32,
    skipped_until: TimePoint,
}

impl TunnelDirectory {
    /// Chooses one of `hosts` for a connection, except those in `tried`; `None` if none is left.
    pub fn choose<'h>(
        &self,
        now: TimePoint,
        hosts: impl Iterator<Item = &'h HostRecord>,
        tried: &[Name],
        rng: &mut impl Rng,
    ) -> Option<&'h HostRecord> {
        let usable = hosts.filter(|record| !tried.contains(&record.host) && !self.is_skipped(now, &record.host));
        let sample = usable.choose_multiple(rng, SAMPLE_SIZE);
        // A sample is drawn at random, but its order is not random.
        sample.into_iter().min_by_key(|record| (self.open_at(&record.host), rng.random::<u32>()))
    }

    /// Records that a connection through a host was opened.
    pub fn record_opened(&mut self, host: &Name) {
        self.hosts.entry(Name::clone(host)).or_default().open += 1;
    }

    /// Records that a connection through a host has ended.
    pub fn record_closed(&mut self, now: TimePoint, host: &Name) {
        let Some(known) = self.hosts.get_mut(host) else {
            return;
        };
        known.open = known.open.saturating_sub(1);
        if known.open == 0 && now >= known.skipped_until {
            self.hosts.remove(host);
        }
    }

    /// Records that a host could open no connection for this one, so that others are asked for a while.
    pub fn skip(&mut self, now: TimePoint, host: &Name) {
        self.hosts.entry(Name::clone(host)).or_default().skipped_until = now + SKIP_TIME;
    }

    /// The number of connections that this host has open through other hosts.
    pub fn open_count(&self) -> u32 {
        self.hosts.values().map(|host| host.open).sum()
    }

    fn open_at(&self, host: &Name) -> u32 {
        self.hosts.get(host).map_or(0, |known| known.open)
    }

    fn is_skipped(&self, now: TimePoint, host: &Name) -> bool {
        self.hosts.get(host).is_some_and(|known| now < known.skipped_until)
    }
}
