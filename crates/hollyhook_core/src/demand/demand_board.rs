use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::demand_summary::merge_paces;
use super::{DemandMessage, DemandSummary, PaceReading};
use crate::{Name, TimePoint, ZoneName};

/// Age above which a summary of a host or a sum of a zone no longer counts: four intervals of the exchange.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Age above which paces no longer count. They are sent less often than demand, and change more slowly.
const MAX_PACE_AGE: Duration = Duration::from_secs(5);
/// How long the sum of a lost collector is preferred to a newer sum over fewer hosts: after this time all hosts of the
/// zone send their summaries to the next collector.
const TAKEOVER_TIME: Duration = Duration::from_secs(1);
/// How long the capacity that a zone uses stays reserved for it when no sum of it arrives. The hosts of a partitioned
/// zone go on sending requests; the callers of a lost zone have switched to other zones after this time.
const SILENT_ZONE_TIME: Duration = Duration::from_secs(10);

/// The demand of a zone, as a host sends it to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneDemand {
    /// How long ago the sum was made, in milliseconds.
    pub age_ms: u64,
    /// The sum over the hosts of the zone.
    pub sum: DemandSummary,
}

/// The demand of all zones whose sums are known.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandTotal {
    /// The sum over the zones.
    pub sum: DemandSummary,
    /// The fraction of the capacity that the hosts in the sum may use. The rest is reserved for zones without a recent
    /// sum, in proportion to their numbers of hosts.
    pub coverage: f64,
    /// When the total no longer counts.
    pub expires: TimePoint,
}

/// The demand that other hosts reported to this one, with its age.
///
/// The collector of a zone merges the summaries of the zone's hosts here, and every host the sums of the zones. Only
/// one sum of each zone counts, so that concurrent collectors make the total smaller, never larger.
#[derive(Debug)]
pub struct DemandBoard {
    zone: ZoneName,
    /// When the current exchange began; `None` while there is none.
    began_at: Option<TimePoint>,
    /// When a message or an answer of another host last arrived.
    heard_at: Option<TimePoint>,
    /// The hosts that sent their summaries to this one.
    members: BTreeMap<Name, MemberEntry>,
    zones: BTreeMap<ZoneName, ZoneEntry>,
    /// The paces last received from hosts of this zone and from collectors of other zones, and the merged paces last
    /// received from the collector of this zone.
    paces: BTreeMap<PaceTeller, (TimePoint, Vec<PaceReading>)>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum PaceTeller {
    Member(Name),
    Zone(ZoneName),
    Collector,
}

#[derive(Debug)]
struct MemberEntry {
    at: TimePoint,
    own: DemandSummary,
    /// The summaries that other hosts sent to the member.
    collected: BTreeMap<Name, DemandSummary>,
}

#[derive(Debug, Default)]
struct ZoneEntry {
    heard_at: TimePoint,
    /// The zone's sums, by the host that computed or sent them, each with the time at which it was computed.
    sums: BTreeMap<Name, (TimePoint, DemandSummary)>,
}

impl DemandBoard {
    /// An empty board for a host of a zone.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            began_at: None,
            heard_at: None,
            members: BTreeMap::new(),
            zones: BTreeMap::new(),
            paces: BTreeMap::new(),
        }
    }

    /// Records that an exchange is in progress.
    pub fn begin(&mut self, now: TimePoint) {
        self.began_at.get_or_insert(now);
    }

    /// Forgets everything, after the end of an exchange.
    pub fn clear(&mut self) {
        *self = Self::new(ZoneName::clone(&self.zone));
    }

    /// Records the summary of a host of this zone, and the summaries that it collected from others.
    pub fn record_member(
        &mut self,
        now: TimePoint,
        host: &Name,
        mut own: DemandSummary,
        collected: BTreeMap<Name, DemandSummary>,
    ) {
        self.members.retain(|_, entry| now.since(entry.at) <= MAX_AGE);
        self.heard_at = Some(now);
        self.keep_paces(now, PaceTeller::Member(Name::clone(host)), std::mem::take(&mut own.paces));
        self.members.insert(Name::clone(host), MemberEntry { at: now, own, collected });
    }

    /// Whether any host of this zone sent its summary to this one recently.
    pub fn has_members(&self, now: TimePoint) -> bool {
        self.fresh_members(now).next().is_some()
    }

    /// Records the sum of a zone that arrived from `teller` at `now`, and that was computed `age` earlier.
    pub fn record_zone(
        &mut self,
        now: TimePoint,
        zone: &ZoneName,
        teller: &Name,
        age: Duration,
        mut sum: DemandSummary,
    ) {
        self.heard_at = Some(now);
        self.keep_paces(now - age, PaceTeller::Zone(ZoneName::clone(zone)), std::mem::take(&mut sum.paces));
        self.insert_zone(now - age, zone, teller, sum);
    }

    /// Records the merged paces that the collector sent.
    pub fn record_paces(&mut self, now: TimePoint, paces: Vec<PaceReading>) {
        self.keep_paces(now, PaceTeller::Collector, paces);
    }

    fn keep_paces(&mut self, at: TimePoint, teller: PaceTeller, paces: Vec<PaceReading>) {
        self.paces.retain(|_, (told_at, _)| at.since(*told_at) <= MAX_PACE_AGE);
        if !paces.is_empty() {
            self.paces.insert(teller, (at, paces));
        }
    }

    fn fresh_paces(&self, now: TimePoint) -> impl Iterator<Item = (&PaceTeller, &Vec<PaceReading>)> {
        let fresh = self.paces.iter().filter(move |(_, (at, _))| now.since(*at) <= MAX_PACE_AGE);
        fresh.map(|(teller, (_, paces))| (teller, paces))
    }

    /// When this host last computed the sum of its zone.
    pub fn own_made_at(&self, host: &Name) -> Option<TimePoint> {
        self.zones.get(&self.zone)?.sums.get(host).map(|(made_at, _)| *made_at)
    }

    /// Records the sum of this zone as this host computed it.
    pub fn record_own(&mut self, now: TimePoint, host: &Name, own: &DemandSummary) {
        let sum = self.zone_sum(now, own);
        let zone = ZoneName::clone(&self.zone);
        self.insert_zone(now, &zone, host, sum);
    }

    fn insert_zone(&mut self, at: TimePoint, zone: &ZoneName, teller: &Name, sum: DemandSummary) {
        let entry = self.zones.entry(ZoneName::clone(zone)).or_default();
        entry.heard_at = entry.heard_at.max(at);
        entry.sums.retain(|_, (made_at, _)| at.since(*made_at) <= MAX_AGE);
        entry.sums.insert(Name::clone(teller), (at, sum));
    }

    /// The sum of this host's own summary and of the summaries that other hosts sent to it or to another collector of
    /// the zone.
    ///
    /// A host that has changed its collector counts once.
    fn zone_sum(&self, now: TimePoint, own: &DemandSummary) -> DemandSummary {
        let members = self.members.iter().filter(|(_, entry)| now.since(entry.at) <= MAX_AGE);
        let collected = members.clone().flat_map(|(_, entry)| &entry.collected);
        let mut told: BTreeMap<&Name, &DemandSummary> = collected.collect();
        told.extend(members.map(|(host, entry)| (host, &entry.own)));
        let sum = DemandSummary::sum(std::iter::once(own).chain(told.values().copied()));
        let members = self.fresh_paces(now).filter(|(teller, _)| matches!(teller, PaceTeller::Member(_)));
        let paces = merge_paces(own.paces.iter().chain(members.flat_map(|(_, paces)| paces)));
        DemandSummary { paces, ..sum }.bounded()
    }

    /// The summaries that hosts sent to this one, to be passed on to `recipient`, another collector of the zone.
    ///
    /// Contains only the summaries that hosts made of their own requests, so that two collectors that exchange them
    /// count no request twice.
    pub fn collected_for(&self, now: TimePoint, recipient: &Name) -> BTreeMap<Name, DemandSummary> {
        let others = self.members.iter().filter(|(host, entry)| *host != recipient && now.since(entry.at) <= MAX_AGE);
        let told =
            others.map(|(host, entry)| (Name::clone(host), DemandSummary { paces: Vec::new(), ..entry.own.clone() }));
        told.take(DemandMessage::MAX_COLLECTED).collect()
    }

    /// The sums of the zones that are known, without paces.
    pub fn zone_sums(&self, now: TimePoint) -> BTreeMap<ZoneName, ZoneDemand> {
        let fresh = self.fresh_zones(now).map(|(zone, made_at, sum)| {
            let sum = DemandSummary { paces: Vec::new(), ..sum.clone() };
            (ZoneName::clone(zone), ZoneDemand { age_ms: now.since(made_at).as_millis() as u64, sum })
        });
        fresh.collect()
    }

    /// The sum of this host's zone, with paces.
    pub fn own_zone_sum(&self, now: TimePoint) -> Option<DemandSummary> {
        let (_, _, sum) = self.fresh_zones(now).find(|(zone, ..)| **zone == self.zone)?;
        Some(sum.clone())
    }

    /// The services in the sums of the zones.
    pub fn services(&self, now: TimePoint) -> BTreeSet<Name> {
        self.fresh_zones(now).flat_map(|(_, _, sum)| sum.services.keys().cloned()).collect()
    }

    /// Whether a sum of any zone states that a service is overloaded.
    pub fn tells_overload(&self, now: TimePoint) -> bool {
        self.fresh_zones(now).any(|(_, _, sum)| sum.services.values().any(|demand| demand.is_overloaded))
    }

    /// Whether `host` sent its summary to this host recently.
    pub fn is_member(&self, now: TimePoint, host: &Name) -> bool {
        self.members.get(host).is_some_and(|entry| now.since(entry.at) <= MAX_AGE)
    }

    /// The merged paces of all zones.
    pub fn paces(&self, now: TimePoint) -> Vec<PaceReading> {
        let told = self.fresh_paces(now).filter(|(teller, _)| !matches!(teller, PaceTeller::Member(_)));
        let own = self.fresh_zones(now).flat_map(|(_, _, sum)| &sum.paces);
        merge_paces(told.flat_map(|(_, paces)| paces).chain(own))
    }

    /// The demand at all hosts; `zone_sizes` has the number of registered hosts of each zone.
    ///
    /// `None` if the sum of this host's zone is not known, or if no message of another host has arrived recently.
    pub fn total(&self, now: TimePoint, zone_sizes: &BTreeMap<ZoneName, usize>) -> Option<DemandTotal> {
        let hosts: usize = zone_sizes.values().sum();
        let heard_at = if hosts > 1 { self.heard_at? } else { now };
        let zones: Vec<_> = self.fresh_zones(now).collect();
        let own = self.zones.get(&self.zone)?;
        let expires = own.newest_at()?.min(heard_at) + MAX_AGE;
        let sum = DemandSummary::sum(zones.iter().map(|(_, _, sum)| *sum));
        let silent: usize = zone_sizes.iter().filter(|(zone, _)| self.is_silent(now, zone)).map(|(_, size)| size).sum();
        let coverage = 1.0 - silent as f64 / hosts.max(1) as f64;
        (now <= expires).then_some(DemandTotal { sum, coverage, expires })
    }

    /// Whether no recent sum is known of a zone whose hosts may still send requests.
    fn is_silent(&self, now: TimePoint, zone: &ZoneName) -> bool {
        let entry = self.zones.get(zone);
        if entry.is_some_and(|entry| entry.best(now).is_some()) {
            return false;
        }
        let since = entry.map(|entry| entry.heard_at).max(self.began_at);
        since.is_some_and(|since| now.since(since) <= SILENT_ZONE_TIME)
    }

    fn fresh_members(&self, now: TimePoint) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(move |entry| now.since(entry.at) <= MAX_AGE)
    }

    fn fresh_zones(&self, now: TimePoint) -> impl Iterator<Item = (&ZoneName, TimePoint, &DemandSummary)> {
        self.zones.iter().filter_map(move |(zone, entry)| {
            let (made_at, sum) = entry.best(now)?;
            Some((zone, made_at, sum))
        })
    }
}

impl ZoneEntry {
    /// When the newest sum of the zone was computed.
    fn newest_at(&self) -> Option<TimePoint> {
        self.sums.values().map(|(made_at, _)| *made_at).max()
    }

    /// The sum that is used for the zone, and when it was computed.
    ///
    /// Of the sums of the last second, the one over the most hosts is used, and if there is none, the newest: while a
    /// collector takes over from a lost one, its sum does not include all hosts yet.
    fn best(&self, now: TimePoint) -> Option<(TimePoint, &DemandSummary)> {
        let rank = |made_at: TimePoint, sum: &DemandSummary| {
            let hosts = if now.since(made_at) <= TAKEOVER_TIME { sum.hosts } else { 0 };
            (hosts, made_at)
        };
        let fresh = self.sums.values().filter(|(made_at, _)| now.since(*made_at) <= MAX_AGE);
        fresh.max_by_key(|(made_at, sum)| rank(*made_at, sum)).map(|(made_at, sum)| (*made_at, sum))
    }
}
