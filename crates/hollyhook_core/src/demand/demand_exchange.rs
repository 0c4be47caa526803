use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    CollectorChoice, DemandBoard, DemandLedger, DemandMessage, DemandReply, DemandShare, DemandSummary,
    OverloadDetector, PaceReading, ServiceDemand, collector_order, service_capacity,
};
use crate::{HostRecord, Name, TimePoint, ZoneName};

/// Maximum number of hosts of its zone that a host asks in one round; the second is asked only if the first does not
/// answer.
const MAX_ASKED: usize = 2;
/// Demand, as a fraction of the capacity, from which the exchange continues although no request is rejected: it is the
/// shares that prevent rejections.
const PRESSURE_TO_GO_ON: f64 = 0.9;
/// Maximum number of hosts that the collector invites in one round, and the time until it invites the same host again.
/// All hosts of a large zone learn of the overload within a few seconds, and each gets few messages.
const MAX_INVITED: usize = 24;
const INVITATION_PAUSE: Duration = Duration::from_secs(4);
/// How long an invitation is valid: an invited host takes part if it gets requests within this time. Longer than
/// `INVITATION_PAUSE`, so that invitations follow each other without a gap.
const INVITATION_TIME: Duration = Duration::from_secs(5);
/// How long a host takes part after another zone reported an overload.
const TOLD_TIME: Duration = Duration::from_secs(2);
/// Minimum time between two messages with paces to the same host. Sixty-four paces take 3 KB; every 500 ms they would
/// use up the budget of a host for all control messages.
const PACE_INTERVAL: Duration = Duration::from_millis(1_900);
/// How long the collector's sum of its zone is used for further answers: a zone may have hundreds of hosts.
const SUM_TIME: Duration = Duration::from_millis(200);

/// The hosts to which this host sends messages in one round of the exchange.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DemandRound {
    /// Hosts of this host's zone, to be asked one after the other until one answers.
    pub collectors: Vec<HostRecord>,
    /// A host of each other zone with which this host, as the collector of its zone, exchanges sums.
    pub others: Vec<HostRecord>,
    /// Hosts of this host's zone that don't take part yet and are invited. An invited host takes part only if it has
    /// requests for an overloaded service.
    pub invited: Vec<HostRecord>,
}

/// One host's part in the exchange of demand: the demand that it measured and received, the hosts that it sends
/// messages to, and the shares derived from the sums.
#[derive(Debug)]
pub struct DemandExchange {
    host: Name,
    zone: ZoneName,
    ledger: DemandLedger,
    detector: OverloadDetector,
    board: DemandBoard,
    choice: CollectorChoice,
    paces: Vec<PaceReading>,
    shares: BTreeMap<Name, DemandShare>,
    /// When the shares no longer count.
    expires: TimePoint,
    /// The collector of the zone; may be this host. `None` while it is not known.
    collector: Option<Name>,
    /// Whether this host collects the demand of its zone.
    is_collector: bool,
    /// The overloaded services of the last invitation of this host, and when it came.
    invitation: (TimePoint, BTreeSet<Name>),
    /// When a host of another zone last reported an overload.
    told_at: Option<TimePoint>,
    /// When this host last invited each other host.
    invitations: BTreeMap<Name, TimePoint>,
    /// When this host last sent paces to each other host.
    paces_told: BTreeMap<Name, TimePoint>,
}

impl DemandExchange {
    /// The exchange of a host that has neither measured nor received anything.
    pub fn new(host: Name, zone: ZoneName) -> Self {
        Self {
            host,
            board: DemandBoard::new(ZoneName::clone(&zone)),
            zone,
            ledger: DemandLedger::default(),
            detector: OverloadDetector::default(),
            choice: CollectorChoice::default(),
            paces: Vec::new(),
            shares: BTreeMap::new(),
            expires: TimePoint::ZERO,
            collector: None,
            is_collector: false,
            invitation: (TimePoint::ZERO, BTreeSet::new()),
            told_at: None,
            invitations: BTreeMap::new(),
            paces_told: BTreeMap::new(),
        }
    }

    /// The measured demand and completions of this host, for updates.
    pub fn ledger_mut(&mut self) -> &mut DemandLedger {
        &mut self.ledger
    }

    /// The evidence of overloaded services, for updates.
    pub fn detector_mut(&mut self) -> &mut OverloadDetector {
        &mut self.detector
    }

    /// Replaces the paces that this host measured.
    pub fn set_paces(&mut self, paces: Vec<PaceReading>) {
        self.paces = paces;
    }

    /// The paces of endpoints, merged over all hosts whose paces are known.
    pub fn merged_paces(&self, now: TimePoint) -> Vec<PaceReading> {
        self.board.paces(now)
    }

    /// The fraction of a priority's requests that this host sends; `None` without fresh sums.
    pub fn share(&self, now: TimePoint, service: &str, priority: u8) -> Option<f64> {
        let share = self.shares.get(service).filter(|_| now <= self.expires)?;
        Some(share.fraction(priority))
    }

    /// The shares of all overloaded services; none without fresh sums.
    pub fn shares(&self, now: TimePoint) -> impl Iterator<Item = (&Name, &DemandShare)> {
        self.shares.iter().filter(move |_| now <= self.expires)
    }

    /// Whether the sums from which shares follow are fresh.
    pub fn has_sums(&self, now: TimePoint) -> bool {
        now <= self.expires
    }

    /// The collector of the zone; may be this host. `None` while it is not known.
    pub fn collector(&self) -> Option<&Name> {
        self.collector.as_ref()
    }

    /// Whether this host has to take part: a service is overloaded here, other hosts send it their summaries, it has
    /// requests for a service that is overloaded elsewhere, or it is the collector of a zone whose hosts may have such
    /// requests.
    pub fn is_active(&self, now: TimePoint) -> bool {
        let (invited_at, services) = &self.invitation;
        let is_invited = now.since(*invited_at) <= INVITATION_TIME
            && services.iter().any(|service| self.ledger.has_demand(now, service));
        let is_told = self.told_at.is_some_and(|at| now.since(at) <= TOLD_TIME);
        is_invited || is_told || self.board.has_members(now) || !self.overloaded(now).is_empty()
    }

    /// Whether a service is overloaded, by this host's own evidence or by the sums.
    pub fn is_overloaded(&self, now: TimePoint, service: &str) -> bool {
        self.detector.is_overloaded(now, service) || self.is_pressed(now, service)
    }

    /// Whether the demand is so near the capacity that requests would be rejected without shares.
    fn is_pressed(&self, now: TimePoint, service: &str) -> bool {
        let is_high = self.shares.get(service).is_some_and(|share| share.pressure() >= PRESSURE_TO_GO_ON);
        is_high && self.has_sums(now) && self.ledger.has_demand(now, service)
    }

    fn overloaded(&self, now: TimePoint) -> BTreeSet<Name> {
        let mut overloaded = self.detector.overloaded(now);
        overloaded.extend(self.shares.keys().filter(|service| self.is_pressed(now, service)).cloned());
        overloaded
    }

    /// Begins a round of the exchange among the registered hosts; `None` if this host does not take part, which ends
    /// the exchange.
    pub fn begin_round<'h>(
        &mut self,
        now: TimePoint,
        hosts: &(impl Iterator<Item = &'h HostRecord> + Clone),
    ) -> Option<DemandRound> {
        let order = collector_order(hosts.clone(), &self.zone);
        let position = order.iter().position(|record| record.host == self.host);
        let Some(position) = position.filter(|_| self.is_active(now)) else {
            self.end();
            return None;
        };
        self.board.begin(now);
        let mut round = DemandRound::default();
        let before = self.choice.candidates(now, &order[..position], MAX_ASKED);
        self.is_collector = before.is_empty();
        if self.is_collector {
            self.collector = Some(Name::clone(&self.host));
            round.others = self.other_collectors(now, hosts);
            round.invited = self.invite(now, &order);
            if !self.board.has_members(now) {
                // An answer shows that this host is not cut off from its zone.
                let after = self.choice.candidates(now, &order[position + 1..], 1);
                round.collectors = after.into_iter().cloned().collect();
            }
        } else {
            round.collectors = before.into_iter().cloned().collect();
        }
        if self.is_collector || self.board.has_members(now) {
            let own = self.own_summary(now);
            self.board.record_own(now, &self.host, &own);
        }
        Some(round)
    }

    /// Chooses the hosts of the zone to invite, while a service is overloaded.
    fn invite(&mut self, now: TimePoint, order: &[&HostRecord]) -> Vec<HostRecord> {
        if !self.board.tells_overload(now) && self.overloaded(now).is_empty() {
            return Vec::new();
        }
        self.invitations.retain(|_, at| now.since(*at) < INVITATION_PAUSE);
        let usable = self.choice.candidates(now, order, usize::MAX).into_iter().filter(|record| {
            let is_invited = self.invitations.contains_key(&record.host);
            record.host != self.host && !is_invited && !self.board.is_member(now, &record.host)
        });
        let invited: Vec<HostRecord> = usable.take(MAX_INVITED).cloned().collect();
        self.invitations.extend(invited.iter().map(|record| (Name::clone(&record.host), now)));
        invited
    }

    fn end(&mut self) {
        self.board.clear();
        self.shares.clear();
        self.expires = TimePoint::ZERO;
        self.collector = None;
        self.is_collector = false;
        self.invitations.clear();
    }

    /// The first host of each other zone that is not skipped.
    fn other_collectors<'h>(
        &self,
        now: TimePoint,
        hosts: &(impl Iterator<Item = &'h HostRecord> + Clone),
    ) -> Vec<HostRecord> {
        let zones: BTreeSet<&ZoneName> = hosts.clone().map(|record| &record.zone).collect();
        let others = zones.into_iter().filter(|zone| **zone != self.zone);
        let first = others.filter_map(|zone| {
            let order = collector_order(hosts.clone(), zone);
            self.choice.candidates(now, &order, 1).first().map(|record| HostRecord::clone(record))
        });
        first.collect()
    }

    /// The message for a host.
    pub fn message(&mut self, now: TimePoint, recipient: &HostRecord) -> DemandMessage {
        let host = Name::clone(&self.host);
        if recipient.zone != self.zone {
            let sum = self.board.own_zone_sum(now).unwrap_or_default();
            let own = self.limit_paces(now, &recipient.host, sum);
            return DemandMessage { host, own, invites: false, collected: BTreeMap::new() };
        }
        let collected = self.board.collected_for(now, &recipient.host);
        let summary = self.own_summary(now);
        let own = self.limit_paces(now, &recipient.host, summary);
        DemandMessage { host, own, invites: false, collected }
    }

    /// Removes the paces from a summary if paces were sent to the host within `PACE_INTERVAL`.
    fn limit_paces(&mut self, now: TimePoint, recipient: &Name, mut summary: DemandSummary) -> DemandSummary {
        if !self.may_tell_paces(now, recipient) {
            summary.paces.clear();
        }
        summary
    }

    fn may_tell_paces(&mut self, now: TimePoint, recipient: &Name) -> bool {
        self.paces_told.retain(|_, at| now.since(*at) < PACE_INTERVAL);
        if self.paces_told.contains_key(recipient) {
            return false;
        }
        self.paces_told.insert(Name::clone(recipient), now);
        true
    }

    /// The message that invites hosts of the zone; its summary names the services and has no figures.
    pub fn invitation(&self, now: TimePoint) -> DemandMessage {
        let services = self.board.services(now).into_iter().map(|service| (service, ServiceDemand::default()));
        let own = DemandSummary { services: services.collect(), ..DemandSummary::default() }.bounded();
        DemandMessage { host: Name::clone(&self.host), own, invites: true, collected: BTreeMap::new() }
    }

    /// The demand that this host measured itself, for the services that it or another host finds overloaded.
    fn own_summary(&mut self, now: TimePoint) -> DemandSummary {
        let mut services = self.overloaded(now);
        services.extend(self.board.services(now));
        let mut measured = self.ledger.summary(now, &services);
        for (service, demand) in &mut measured.services {
            demand.is_overloaded = self.is_overloaded(now, service);
        }
        DemandSummary { paces: self.paces.clone(), ..measured }.bounded()
    }

    /// Records a message of a registered host, and returns the answer to it.
    pub fn receive(&mut self, now: TimePoint, sender: &HostRecord, message: DemandMessage) -> DemandReply {
        let is_member = sender.zone == self.zone;
        if is_member && message.invites {
            self.invitation = (now, message.own.services.keys().cloned().collect());
            return DemandReply::default();
        }
        if is_member {
            self.board.record_member(now, &sender.host, message.own, message.collected);
        } else {
            if message.own.services.values().any(|demand| demand.is_overloaded) {
                self.told_at = Some(now);
            }
            self.board.record_zone(now, &sender.zone, &sender.host, Duration::ZERO, message.own);
        }
        if self.board.own_made_at(&self.host).is_none_or(|made_at| now.since(made_at) >= SUM_TIME) {
            let own = self.own_summary(now);
            self.board.record_own(now, &self.host, &own);
        }
        if is_member {
            let paces = if self.may_tell_paces(now, &sender.host) { self.board.paces(now) } else { Vec::new() };
            return DemandReply { zones: self.board.zone_sums(now), paces };
        }
        let mut zones = self.board.zone_sums(now);
        zones.retain(|zone, _| *zone == self.zone);
        if let Some((demand, sum)) = zones.values_mut().next().zip(self.board.own_zone_sum(now)) {
            demand.sum = self.limit_paces(now, &sender.host, sum);
        }
        DemandReply { zones, paces: Vec::new() }
    }

    /// Records the answer of a host to a message that was sent at `sent_at`.
    pub fn record_reply(&mut self, sent_at: TimePoint, host: &HostRecord, reply: DemandReply) {
        let is_member = host.zone == self.zone;
        for (zone, demand) in reply.zones {
            if is_member || zone == host.zone {
                self.board.record_zone(sent_at, &zone, &host.host, Duration::from_millis(demand.age_ms), demand.sum);
            }
        }
        if is_member {
            self.board.record_paces(sent_at, reply.paces);
            if !self.is_collector {
                self.collector = Some(Name::clone(&host.host));
            }
        }
    }

    /// Records that a host did not answer.
    pub fn record_failure(&mut self, now: TimePoint, host: &Name) {
        self.choice.skip(now, host);
        if self.collector.as_ref() == Some(host) {
            self.collector = None;
        }
    }

    /// Derives the shares at the end of a round.
    ///
    /// `zone_sizes` has the number of registered hosts of each zone, and `slots` returns the slots of the live
    /// endpoints of a service. Without a measured time of a call, or without endpoints, a service has no shares.
    pub fn update_shares(
        &mut self,
        now: TimePoint,
        zone_sizes: &BTreeMap<ZoneName, usize>,
        slots: impl Fn(&Name) -> u64,
    ) {
        self.shares.clear();
        let Some(total) = self.board.total(now, zone_sizes) else {
            self.expires = TimePoint::ZERO;
            return;
        };
        self.expires = total.expires;
        for (service, demand) in &total.sum.services {
            let (slots, Some(call_time)) = (slots(service), demand.call_time()) else {
                continue;
            };
            if slots > 0 {
                let capacity = service_capacity(slots, call_time) * total.coverage;
                self.shares.insert(Name::clone(service), DemandShare::new(&demand.rates, capacity));
            }
        }
    }
}
