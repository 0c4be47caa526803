use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::route::rendezvous_weight;
use crate::{Name, TimePoint, ZoneName};

/// Hosts of a zone from which on they share what they read. Below, as at the sites of 7 or 8 hosts, a call to the store
/// costs little against one more thing that can fail.
const SHARED_FROM: usize = 6;
/// Hosts of a zone that know what the store holds before the others: one reads it, and one that asks that one first and reads the
/// store itself when it is lost. Two that read it would cost twice as many calls, for a second or so less in a loss.
const LEADERS: usize = 2;
/// Hosts of a zone that leaders tell by themselves. Many more would take the whole link of a small host (10 Mbit/s), and
/// versions would come late.
const TOLD_BY_LEADERS: usize = 24;
/// Hosts for each relay in a larger zone, itself among them. Leaders then tell two or three relays each in a zone of 50
/// hosts, and ten in one of 200.
const HOSTS_EACH: usize = 9;
/// Hosts that are asked before the store. Each may take 0.85 s to be found silent; see [`FeedTiming`](super::FeedTiming).
const MOST_ASKED: usize = 2;
/// Hosts of the own zone, and of all others, that are asked when the store gives no answer. In a whole outage all of them
/// answer that they know nothing new, and the next time others are asked.
const HELPERS_EACH: usize = 1;
/// How long a host that did not answer is passed over; it may be cut off, stopped or gone for good.
const PASSED_OVER: Duration = Duration::from_secs(8);

/// Why a host is passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassReason {
    /// It gave no answer that can be used.
    Lost,
    /// It says that it knows nothing new, or may not tell.
    Outdated,
}

/// A host that may be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterMember {
    /// Its name.
    pub host: Name,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it answers other hosts.
    pub address: SocketAddr,
    /// What its network link carries, in Mbit/s; zero if it does not say.
    pub link_mbps: u32,
}

impl RosterMember {
    /// How near it is to being asked by a host, among all that could be; the least is asked first.
    ///
    /// Weighted rendezvous hashing: of all hosts, each is asked by a part that is as large as its link.
    fn distance(&self, asking: &Name) -> f64 {
        let fraction = (rendezvous_weight(asking.as_bytes(), &self.host) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -fraction.ln() / f64::from(self.link_mbps.max(1))
    }
}

/// From whom a host learns what the store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedPlan {
    /// From the store, and it tells others.
    Lead,
    /// From one of these, best first, and from the store if none answers; and it tells others.
    Relay(Vec<RosterMember>),
    /// From one of these, best first, and from the store if none answers.
    Follow(Vec<RosterMember>),
    /// From the store, for itself.
    Alone,
}

impl FeedPlan {
    /// The hosts to learn from before the store is asked.
    pub fn sources(&self) -> &[RosterMember] {
        match self {
            Self::Relay(sources) | Self::Follow(sources) => sources,
            Self::Lead | Self::Alone => &[],
        }
    }
}

/// The hosts of a zone, and which of them read the store for the others.
///
/// The first in an order read it, in larger zones the next are relays, and the others follow these. So a zone costs the store
/// the same whatever its size, and no host tells more than a dozen or two. Hosts with larger links come first in the order,
/// and carry more.
///
/// The order is the same on every host that knows the same members (rendezvous by their names), so nobody is elected: a host
/// whose view differs reads the store although it need not, or asks one that refuses and goes on to the next.
#[derive(Debug)]
pub struct FeedRoster {
    host: Name,
    zone: ZoneName,
    members: Vec<RosterMember>,
    /// The hosts of other zones.
    others: Vec<RosterMember>,
    passed_over: BTreeMap<Name, PassedOver>,
    /// Until when hosts are not asked for help that knew nothing newer than this one.
    unhelpful: BTreeMap<Name, TimePoint>,
}

/// Until when, and why, a host is passed over.
#[derive(Debug, Clone, Copy)]
struct PassedOver {
    until: TimePoint,
    reason: PassReason,
}

impl FeedRoster {
    /// A roster for a host that knows no other yet.
    pub fn new(host: Name, zone: ZoneName) -> Self {
        Self {
            host,
            zone,
            members: Vec::new(),
            others: Vec::new(),
            passed_over: BTreeMap::new(),
            unhelpful: BTreeMap::new(),
        }
    }

    /// Takes in all hosts that are registered.
    pub fn list(&mut self, members: Vec<RosterMember>) {
        let (mut own, mut others): (Vec<_>, Vec<_>) = members.into_iter().partition(|member| member.zone == self.zone);
        let rank = |member: &RosterMember| (member.link_mbps, rendezvous_weight(self.zone.as_bytes(), &member.host));
        own.sort_by_cached_key(|member| Reverse(rank(member)));
        others.sort_by_cached_key(|member| Reverse(rendezvous_weight(self.host.as_bytes(), &member.host)));
        self.members = own;
        self.others = others;
    }

    /// The hosts that are registered, this one among them; zero before they are listed.
    pub fn host_count(&self) -> usize {
        self.members.len() + self.others.len()
    }

    /// Whom to ask when the store gives no answer, best first: a host of the own zone, which is also in reach when zones are
    /// cut from each other, and one of another zone.
    ///
    /// Answers a store that turns some hosts away and serves the others: those would have to refuse their callers as soon
    /// as they can't be certain of keys any more.
    pub fn helpers(&self, now: TimePoint) -> Vec<RosterMember> {
        let is_helpful = |member: &RosterMember| self.unhelpful.get(&member.host).is_none_or(|until| now >= *until);
        let is_usable = |member: &&RosterMember| {
            member.host != self.host && !self.is_passed_over(now, &member.host) && is_helpful(member)
        };
        let near = self.members.iter().filter(is_usable).take(HELPERS_EACH);
        let far = self.others.iter().filter(is_usable).take(HELPERS_EACH);
        near.chain(far).cloned().collect()
    }

    fn is_passed_over(&self, now: TimePoint, host: &Name) -> bool {
        self.passed_over.get(host).is_some_and(|passed| now < passed.until)
    }

    /// Notes that a host to learn from was of no use.
    pub fn pass_over(&mut self, now: TimePoint, host: &Name, reason: PassReason) {
        self.passed_over.insert(Name::clone(host), PassedOver { until: now + PASSED_OVER, reason });
    }

    /// Notes that a host was of no use that was asked for help.
    pub fn pass_over_helper(&mut self, now: TimePoint, host: &Name, reason: PassReason) {
        match reason {
            PassReason::Lost => self.pass_over(now, host, reason),
            PassReason::Outdated => {
                self.unhelpful.insert(Name::clone(host), now + PASSED_OVER);
            }
        }
    }

    /// Notes that the store gives this host no answer either: who knew nothing new is not to blame, and is asked again.
    ///
    /// Otherwise, in an outage, each host would soon pass all others over and take itself for a leader, and go on to read for
    /// itself for as long after it.
    pub fn forgive(&mut self) {
        let outdated = self.passed_over.extract_if(.., |_, passed| passed.reason == PassReason::Outdated);
        self.unhelpful.extend(outdated.map(|(host, passed)| (host, passed.until)));
    }

    /// From whom this host learns now.
    pub fn plan(&self, now: TimePoint) -> FeedPlan {
        let is_known = self.members.iter().any(|member| member.host == self.host);
        if !is_known || self.members.len() < SHARED_FROM {
            return FeedPlan::Alone;
        }
        let usable = self.members.iter().filter(|member| !self.is_passed_over(now, &member.host));
        let usable: Vec<&RosterMember> = usable.collect();
        let (leaders, others) = usable.split_at(LEADERS.min(usable.len()));
        let (relays, _) = others.split_at(self.relay_count().min(others.len()));
        let (reader, standby) = leaders.split_at(1.min(leaders.len()));
        if self.is_among(reader) {
            FeedPlan::Lead
        } else if self.is_among(standby) {
            FeedPlan::Relay(reader.iter().copied().cloned().collect())
        } else if self.is_among(relays) {
            // What a standby was told has passed too many hosts for a relay to tell it on.
            FeedPlan::Relay(leaders.iter().copied().cloned().collect())
        } else {
            FeedPlan::Follow(self.sources_of(if relays.is_empty() { leaders } else { relays }))
        }
    }

    /// Whether the zone is so large that leaders can't tell everyone.
    pub fn has_relays(&self) -> bool {
        self.relay_count() > 0
    }

    /// Relays of the zone; none where leaders can tell everyone.
    fn relay_count(&self) -> usize {
        let told = self.members.len().saturating_sub(LEADERS);
        if told <= TOLD_BY_LEADERS { 0 } else { told.div_ceil(HOSTS_EACH) }
    }

    fn is_among(&self, members: &[&RosterMember]) -> bool {
        members.iter().any(|member| member.host == self.host)
    }

    /// Whom this host asks of those; all hosts together part between them as their links are.
    fn sources_of(&self, members: &[&RosterMember]) -> Vec<RosterMember> {
        let mut sources: Vec<RosterMember> = members.iter().copied().cloned().collect();
        sources.sort_by(|a, b| a.distance(&self.host).total_cmp(&b.distance(&self.host)));
        sources.truncate(MOST_ASKED);
        sources
    }
}
