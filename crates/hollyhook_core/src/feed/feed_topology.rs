use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::route::rendezvous_weight;
use crate::{HostPosition, Name, TimePoint, ZoneName};

/// Fewest hosts of a zone that share what they read from the store. In smaller zones, as at sites of 7 or 8 hosts, the
/// calls that sharing saves are not worth an additional point of failure.
const MIN_SHARING_HOSTS: usize = 6;
/// Hosts of a zone that receive changes first: the reader, and a standby that asks the reader and reads the store
/// itself when the reader is lost. Two readers would double the calls, and recover from a loss only about a second
/// sooner.
const LEADERS: usize = 2;
/// Most hosts of a zone that the leaders update without relays. Many more would saturate the link of a small host
/// (10 Mbit/s), and updates would arrive late.
const MAX_LEADER_FOLLOWERS: usize = 24;
/// Hosts per relay in a larger zone, the relay included. A zone of 50 hosts then has 6 relays, and one of 200 has 22.
const HOSTS_PER_RELAY: usize = 9;
/// Most hosts that are asked before the store. Each may take 0.85 s to time out; see [`FeedTiming`](super::FeedTiming).
const MAX_SOURCES: usize = 2;
/// Helpers from this host's zone, and from all other zones together, that are asked when the store does not answer. In
/// a full outage all of them answer that they have nothing newer, and other hosts are asked the next time.
const HELPERS_PER_GROUP: usize = 1;
/// How long a host that gave no usable answer is skipped; the host may be cut off, stopped or removed.
const SKIP_TIME: Duration = Duration::from_secs(8);

/// Why a host is skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SkipReason {
    /// The host did not answer, or its answer could not be used.
    Failed,
    /// The host has nothing newer, or must not pass its copy on.
    Stale,
}

/// A registered host that other hosts may ask for updates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRecord {
    /// The host's name.
    pub host: Name,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The address on which the host answers other hosts.
    pub address: SocketAddr,
    /// The capacity of the host's network link, in Mbit/s; zero if not stated.
    pub link_mbps: u32,
}

impl HostRecord {
    /// The rendezvous distance of this host from an asking host, which asks the source at the least distance first.
    ///
    /// The hash is weighted by link capacity: each source is asked by a share of the hosts in proportion to its link.
    fn distance(&self, asking: &Name) -> f64 {
        let fraction = (rendezvous_weight(asking.as_bytes(), &self.host) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -fraction.ln() / f64::from(self.link_mbps.max(1))
    }
}

/// Where a host gets the contents of the store, and whether it passes them on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedPlan {
    /// Reads the store and updates other hosts.
    Lead,
    /// Asks these hosts, best first, and the store if none answers; updates other hosts.
    Relay(Vec<HostRecord>),
    /// Asks these hosts, best first, and the store if none answers.
    Follow(Vec<HostRecord>),
    /// Reads the store for itself only.
    Alone,
}

impl FeedPlan {
    /// The hosts to ask before the store, best first.
    pub fn sources(&self) -> &[HostRecord] {
        match self {
            Self::Relay(sources) | Self::Follow(sources) => sources,
            Self::Lead | Self::Alone => &[],
        }
    }
}

/// The hosts of a zone, and which of them read the store for the others.
///
/// In a fixed order of the hosts, the first are leaders, the next are relays in larger zones, and the rest follow. The
/// load of a zone on the store is therefore independent of its size, and no host updates more than about two dozen
/// others. Hosts with faster links come first in the order and update more hosts.
///
/// All hosts that know the same hosts compute the same order (rendezvous hashing of names), so that no election is
/// needed. A host with a different view reads the store needlessly, or asks a host that refuses and then asks the next.
#[derive(Debug)]
pub struct FeedTopology {
    host: Name,
    zone: ZoneName,
    /// The hosts of this host's zone, in order of precedence.
    zone_hosts: Vec<HostRecord>,
    /// The hosts of other zones.
    remote_hosts: Vec<HostRecord>,
    skipped: BTreeMap<Name, SkippedHost>,
    /// Hosts that had nothing newer than this one, and until when they are not asked as helpers.
    stale_helpers: BTreeMap<Name, TimePoint>,
}

/// Until when and why a host is skipped.
#[derive(Debug, Clone, Copy)]
struct SkippedHost {
    until: TimePoint,
    reason: SkipReason,
}

impl FeedTopology {
    /// A topology in which no hosts are known yet.
    pub fn new(host: Name, zone: ZoneName) -> Self {
        Self {
            host,
            zone,
            zone_hosts: Vec::new(),
            remote_hosts: Vec::new(),
            skipped: BTreeMap::new(),
            stale_helpers: BTreeMap::new(),
        }
    }

    /// Replaces the registered hosts of all zones.
    pub fn set_hosts(&mut self, hosts: Vec<HostRecord>) {
        let (mut own, mut remote): (Vec<_>, Vec<_>) = hosts.into_iter().partition(|record| record.zone == self.zone);
        let rank = |record: &HostRecord| (record.link_mbps, rendezvous_weight(self.zone.as_bytes(), &record.host));
        own.sort_by_cached_key(|record| Reverse(rank(record)));
        remote.sort_by_cached_key(|record| Reverse(rendezvous_weight(self.host.as_bytes(), &record.host)));
        self.zone_hosts = own;
        self.remote_hosts = remote;
    }

    /// The number of registered hosts, this host included; zero before they are known.
    pub fn host_count(&self) -> usize {
        self.zone_hosts.len() + self.remote_hosts.len()
    }

    /// This host's place in the order of all registered hosts' names; the default before they are known.
    pub fn position(&self) -> HostPosition {
        if !self.zone_hosts.iter().any(|record| record.host == self.host) {
            return HostPosition::default();
        }
        let index = self.other_hosts().filter(|record| record.host < self.host).count();
        HostPosition { index, count: self.host_count() }
    }

    /// The registered hosts, this host included.
    pub fn hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.zone_hosts.iter().chain(&self.remote_hosts)
    }

    /// Whether a record is that of this host.
    pub fn is_own(&self, record: &HostRecord) -> bool {
        record.host == self.host
    }

    /// The registered hosts, this host excluded.
    pub fn other_hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts().filter(|record| !self.is_own(record))
    }

    /// The hosts to ask when the store does not answer, best first: one in this host's zone, which stays reachable when
    /// zones are partitioned, and one in another zone.
    ///
    /// Helpers cover a store that rejects the calls of some hosts and serves the others: without them, the rejected
    /// hosts would have to refuse callers as soon as API keys can no longer be confirmed.
    pub fn helpers(&self, now: TimePoint) -> Vec<HostRecord> {
        let is_helpful = |record: &HostRecord| self.stale_helpers.get(&record.host).is_none_or(|until| now >= *until);
        let is_usable = |record: &&HostRecord| {
            record.host != self.host && !self.is_skipped(now, &record.host) && is_helpful(record)
        };
        let near = self.zone_hosts.iter().filter(is_usable).take(HELPERS_PER_GROUP);
        let far = self.remote_hosts.iter().filter(is_usable).take(HELPERS_PER_GROUP);
        near.chain(far).cloned().collect()
    }

    fn is_skipped(&self, now: TimePoint, host: &Name) -> bool {
        self.skipped.get(host).is_some_and(|skipped| now < skipped.until)
    }

    /// Skips a host, as a source and as a helper, that gave no usable answer as a source.
    pub fn skip_source(&mut self, now: TimePoint, host: &Name, reason: SkipReason) {
        self.skipped.insert(Name::clone(host), SkippedHost { until: now + SKIP_TIME, reason });
    }

    /// Skips a host that gave no usable answer as a helper: only as a helper if its copy was stale, otherwise entirely.
    pub fn skip_helper(&mut self, now: TimePoint, host: &Name, reason: SkipReason) {
        match reason {
            SkipReason::Failed => self.skip_source(now, host, reason),
            SkipReason::Stale => {
                self.stale_helpers.insert(Name::clone(host), now + SKIP_TIME);
            }
        }
    }

    /// Makes stale hosts usable as sources again, because the store does not answer this host either and they are not
    /// at fault. As helpers they stay skipped.
    ///
    /// Otherwise, in an outage, each host would soon skip all others, so that its own plan makes it the reader, and
    /// would read the store for itself until `SKIP_TIME` after the outage.
    pub fn restore_stale_sources(&mut self) {
        let stale = self.skipped.extract_if(.., |_, skipped| skipped.reason == SkipReason::Stale);
        self.stale_helpers.extend(stale.map(|(host, skipped)| (host, skipped.until)));
    }

    /// Where this host gets the contents of the store at `now`.
    pub fn plan(&self, now: TimePoint) -> FeedPlan {
        let is_known = self.zone_hosts.iter().any(|record| record.host == self.host);
        if !is_known || self.zone_hosts.len() < MIN_SHARING_HOSTS {
            return FeedPlan::Alone;
        }
        let usable = self.zone_hosts.iter().filter(|record| !self.is_skipped(now, &record.host));
        let usable: Vec<&HostRecord> = usable.collect();
        let (leaders, others) = usable.split_at(LEADERS.min(usable.len()));
        let (relays, _) = others.split_at(self.relay_count().min(others.len()));
        let (reader, standby) = leaders.split_at(1.min(leaders.len()));
        if self.is_among(reader) {
            FeedPlan::Lead
        } else if self.is_among(standby) {
            FeedPlan::Relay(reader.iter().copied().cloned().collect())
        } else if self.is_among(relays) {
            // The reader comes first: a relay must not pass on what the standby got from the reader, for its hop count.
            FeedPlan::Relay(leaders.iter().copied().cloned().collect())
        } else {
            FeedPlan::Follow(self.sources_of(if relays.is_empty() { leaders } else { relays }))
        }
    }

    /// Whether the zone is so large that the leaders update relays, and the relays update the other hosts.
    pub fn has_relays(&self) -> bool {
        self.relay_count() > 0
    }

    /// The number of relays in the zone; zero where the leaders update all hosts.
    fn relay_count(&self) -> usize {
        let followers = self.zone_hosts.len().saturating_sub(LEADERS);
        if followers <= MAX_LEADER_FOLLOWERS { 0 } else { followers.div_ceil(HOSTS_PER_RELAY) }
    }

    fn is_among(&self, records: &[&HostRecord]) -> bool {
        records.iter().any(|record| record.host == self.host)
    }

    /// The candidates that this host asks, best first; over all hosts, each is asked in proportion to its link.
    fn sources_of(&self, candidates: &[&HostRecord]) -> Vec<HostRecord> {
        let mut sources: Vec<HostRecord> = candidates.iter().copied().cloned().collect();
        sources.sort_by(|a, b| a.distance(&self.host).total_cmp(&b.distance(&self.host)));
        sources.truncate(MAX_SOURCES);
        sources
    }
}
