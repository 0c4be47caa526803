//! The exchange of demand among many hosts, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyhook_core::{
    DemandExchange, DemandShare, DemandSummary, HostRecord, Name, PaceReading, ServiceDemand, TimePoint, ZoneName,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVICE: &str = "desk";
const STEP_MS: u64 = 10;
const INTERVAL_MS: u64 = 500;
const SLOTS: u64 = 24;
/// Time from which the fault of a case takes effect.
const FAULT_MS: u64 = 6_000;
const END_MS: u64 = 12_000;

/// Bytes of the heads of a request and its response.
const HTTP_BYTES: usize = 200;
/// Time over which bytes are measured.
const MEASURED_MS: u64 = 5_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The collector of the first zone and an eighth of the hosts are lost; their callers go to the other hosts.
    LostHosts,
    /// A tenth of the hosts neither reach others nor are reached.
    DeafHosts,
    /// The first zone and the others don't reach each other.
    CutZone,
    /// Half the hosts of the first zone don't reach its collector, which the other hosts reach.
    TwoCollectors,
    /// As `TwoCollectors`, and the two collectors don't reach each other either.
    SplitZone,
}

#[derive(Debug, Clone)]
struct DemandCase {
    seed: u64,
    hosts: usize,
    zones: usize,
    call_ms: u64,
    /// Demand as a multiple of what the endpoints have slots for.
    load: f64,
    /// The fraction of the callers that one host has.
    largest_share: f64,
    fault: Fault,
}

impl DemandCase {
    fn draw(seed: u64, hosts: usize, fault: Fault) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        Self {
            seed,
            hosts,
            zones: if hosts == 8 { 2 } else { 4 },
            call_ms: [15, 30][rng.random_range(0..2)],
            load: rng.random_range(1.2..3.0),
            largest_share: [0.0, 0.6, 0.9][rng.random_range(0..3)],
            fault,
        }
    }

    fn capacity(&self) -> f64 {
        SLOTS as f64 * 1e3 / self.call_ms as f64
    }
}

/// What all hosts did in a while.
#[derive(Debug, Default)]
struct DemandOutcome {
    /// The highest rate at which all hosts sent over a second, as a fraction of the capacity.
    most: f64,
    /// The lowest.
    least: f64,
    /// The mean fraction of each priority's requests that was sent.
    fractions: [f64; 3],
    /// The most messages that a host other than a collector, and that a collector sent in one round.
    messages: usize,
    /// Messages per host and round.
    mean_messages: f64,
    /// Deaf hosts with fresh sums at the end.
    deaf_with_sums: usize,
}

struct SimulatedHost {
    record: HostRecord,
    exchange: DemandExchange,
    rates: [f64; 3],
    /// Requests due by priority; the fraction of the next one is carried over.
    due: [f64; 3],
    /// As `due`, of those that the shares admit.
    admitted: [f64; 3],
    /// When in an interval the host's rounds begin.
    phase: u64,
    is_lost: bool,
    is_deaf: bool,
}

struct DemandSimulation {
    case: DemandCase,
    rng: Pcg64Mcg,
    hosts: Vec<SimulatedHost>,
    records: Vec<HostRecord>,
    sizes: BTreeMap<ZoneName, usize>,
    /// The collector of the first zone before the fault.
    collector: Name,
    is_faulty: bool,
    /// Bytes that each host sent and received as JSON; empty unless they are measured.
    bytes: Vec<usize>,
}

fn zone_name(number: usize) -> ZoneName {
    format!("zone-{number}").into()
}

impl DemandSimulation {
    fn new(case: DemandCase) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(case.seed);
        let records: Vec<HostRecord> = (0..case.hosts)
            .map(|number| HostRecord {
                host: format!("host-{number}").into(),
                zone: zone_name(number % case.zones),
                address: ([127, 0, 0, 1], 7_000 + number as u16).into(),
                link_mbps: 0,
            })
            .collect();
        let weights: Vec<f64> = (0..case.hosts).map(|_| rng.random_range(0.5..1.5)).collect();
        let others: f64 = weights[1..].iter().sum();
        let total = case.load * case.capacity();
        let hosts = records.iter().zip(&weights).enumerate().map(|(number, (record, weight))| {
            let share = match (case.largest_share, number) {
                (0.0, _) => weight / weights.iter().sum::<f64>(),
                (largest, 0) => largest,
                (largest, _) => (1.0 - largest) * weight / others,
            };
            SimulatedHost {
                record: record.clone(),
                exchange: DemandExchange::new(Name::clone(&record.host), ZoneName::clone(&record.zone)),
                rates: [0.3, 0.3, 0.4].map(|part| part * share * total),
                due: [(); 3].map(|()| rng.random()),
                admitted: [(); 3].map(|()| rng.random()),
                phase: rng.random_range(0..INTERVAL_MS / STEP_MS) * STEP_MS,
                is_lost: false,
                is_deaf: false,
            }
        });
        let hosts = hosts.collect();
        let mut sizes = BTreeMap::new();
        for record in &records {
            *sizes.entry(ZoneName::clone(&record.zone)).or_default() += 1;
        }
        let order = hollyhook_core::collector_order(records.iter(), "zone-0");
        let collector = Name::clone(&order[0].host);
        Self { case, rng, hosts, records, sizes, collector, is_faulty: false, bytes: Vec::new() }
    }

    /// Runs to the end; returns the bytes per second of the median host and the most of any.
    fn run_measured(mut self, paces: usize) -> (f64, f64) {
        self.bytes = vec![0; self.hosts.len()];
        for host in &mut self.hosts {
            // Endpoints of which several hosts measured the pace, at a site with 10,000.
            let readings = (0..paces).map(|_| PaceReading {
                endpoint: format!("i-f76532{:04}@1764806400000", self.rng.random_range(0..10_000)).into(),
                factor: self.rng.random_range(0.5..2.0),
                weight: self.rng.random_range(1.0..50.0),
            });
            host.exchange.set_paces(readings.collect());
        }
        for millis in (0..MEASURED_MS).step_by(STEP_MS as usize) {
            self.send_requests(millis, &mut [0.0; 3]);
            let now = TimePoint::from_millis(10_000 + millis);
            for host in 0..self.hosts.len() {
                if millis % INTERVAL_MS == self.hosts[host].phase {
                    self.run_round(now, host);
                }
            }
        }
        let rate = |bytes: usize| bytes as f64 / (MEASURED_MS as f64 / 1e3);
        self.bytes.sort_unstable();
        (rate(self.bytes[self.bytes.len() / 2]), rate(*self.bytes.last().unwrap()))
    }

    /// Runs to the end; the outcome covers the time from `from_ms`.
    fn run(mut self, from_ms: u64) -> DemandOutcome {
        let mut outcome = DemandOutcome { least: f64::MAX, ..DemandOutcome::default() };
        let (mut arrived, mut sent) = ([0.0; 3], [0.0; 3]);
        let (mut second, mut rounds, mut messages) = (0.0, 0, 0);
        for millis in (0..END_MS).step_by(STEP_MS as usize) {
            if millis == FAULT_MS {
                self.begin_fault();
            }
            let step = self.send_requests(millis, &mut arrived);
            let now = TimePoint::from_millis(10_000 + millis);
            for host in 0..self.hosts.len() {
                if millis % INTERVAL_MS == self.hosts[host].phase && !self.hosts[host].is_lost {
                    let count = self.run_round(now, host);
                    (rounds, messages) = (rounds + 1, messages + count);
                    outcome.messages = outcome.messages.max(count);
                }
            }
            if millis < from_ms {
                arrived = [0.0; 3];
                continue;
            }
            second += step.iter().sum::<f64>();
            (0..3).for_each(|priority| sent[priority] += step[priority]);
            if (millis + STEP_MS).is_multiple_of(1_000) {
                let used = second / self.case.capacity();
                (outcome.most, outcome.least) = (outcome.most.max(used), outcome.least.min(used));
                second = 0.0;
            }
        }
        outcome.fractions = [0, 1, 2].map(|priority| sent[priority] / arrived[priority]);
        outcome.mean_messages = messages as f64 / f64::from(rounds);
        let end = TimePoint::from_millis(10_000 + END_MS);
        outcome.deaf_with_sums = self.hosts.iter().filter(|host| host.is_deaf && host.exchange.has_sums(end)).count();
        outcome
    }

    fn begin_fault(&mut self) {
        self.is_faulty = true;
        let mut freed = [0.0; 3];
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let is_collector = host.record.host == self.collector;
            host.is_lost = self.case.fault == Fault::LostHosts && (is_collector || number % 8 == 7);
            host.is_deaf = self.case.fault == Fault::DeafHosts && number % 10 == 5;
            if host.is_lost {
                (0..3).for_each(|priority| freed[priority] += host.rates[priority]);
            }
        }
        let left = self.hosts.iter().filter(|host| !host.is_lost).count() as f64;
        for host in self.hosts.iter_mut().filter(|host| !host.is_lost) {
            (0..3).for_each(|priority| host.rates[priority] += freed[priority] / left);
        }
    }

    /// Sends what the shares admit; returns how many requests of each priority were sent.
    ///
    /// A host without sums sends everything, except for a deaf one, which its own rate would limit.
    fn send_requests(&mut self, millis: u64, arrived: &mut [f64; 3]) -> [f64; 3] {
        let now = TimePoint::from_millis(10_000 + millis);
        let mut sent = [0.0; 3];
        let mut senders = Vec::new();
        for (number, host) in self.hosts.iter_mut().enumerate().filter(|(_, host)| !host.is_lost) {
            for priority in 0..3 {
                host.due[priority] += host.rates[priority] * STEP_MS as f64 / 1e3;
                while host.due[priority] >= 1.0 {
                    host.due[priority] -= 1.0;
                    arrived[priority] += 1.0;
                    host.exchange.ledger_mut().count_request(now, &SERVICE.into(), priority as u8);
                    let share = host.exchange.share(now, SERVICE, priority as u8);
                    host.admitted[priority] += share.unwrap_or(if host.is_deaf { 0.0 } else { 1.0 });
                    if host.admitted[priority] >= 1.0 {
                        host.admitted[priority] -= 1.0;
                        sent[priority] += 1.0;
                        senders.push(number);
                    }
                }
            }
        }
        let room = self.case.capacity() * STEP_MS as f64 / 1e3;
        let excess = (1.0 - room / senders.len().max(1) as f64).max(0.0);
        for sender in senders {
            let (host, service) = (&mut self.hosts[sender], Name::from(SERVICE));
            // Requests that coincide are rejected now and then also within the capacity.
            if self.rng.random_bool(0.5 * excess) {
                host.exchange.detector_mut().record_rejection(now, &service);
            } else {
                let took = Duration::from_millis(self.case.call_ms);
                host.exchange.ledger_mut().record_call_time(now, &service, took);
                host.exchange.ledger_mut().count_completion(now, &service);
            }
        }
        sent
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.hosts[from], &self.hosts[to]);
        if to.is_lost || from.is_deaf || to.is_deaf {
            return false;
        }
        let is_first = |host: &SimulatedHost| &*host.record.zone == "zone-0";
        let is_other_half = |host: &SimulatedHost| {
            let number: usize = host.record.host[5..].parse().unwrap();
            is_first(host) && host.record.host != self.collector && (number / self.case.zones).is_multiple_of(2)
        };
        let is_cut = match self.case.fault {
            Fault::CutZone => is_first(from) != is_first(to),
            // The next host in order reaches the collector, and the rest of the half does not.
            Fault::TwoCollectors => {
                to.record.host == self.collector && is_other_half(from) && !self.is_second(&from.record)
            }
            Fault::SplitZone => is_first(from) && is_first(to) && self.is_half(from) != self.is_half(to),
            Fault::None | Fault::LostHosts | Fault::DeafHosts => false,
        };
        !(self.is_faulty && is_cut)
    }

    fn is_half(&self, host: &SimulatedHost) -> bool {
        let order = hollyhook_core::collector_order(self.records.iter(), "zone-0");
        order.iter().position(|record| record.host == host.record.host).is_some_and(|position| position % 2 == 0)
    }

    fn is_second(&self, record: &HostRecord) -> bool {
        hollyhook_core::collector_order(self.records.iter(), "zone-0")[1].host == record.host
    }

    /// Runs a round of a host; returns the number of messages that it sent.
    fn run_round(&mut self, now: TimePoint, from: usize) -> usize {
        let Some(round) = self.hosts[from].exchange.begin_round(now, &self.records.iter()) else {
            return 0;
        };
        let mut messages = round.others.len() + round.invited.len();
        for host in &round.others {
            self.send_message(now, from, host);
        }
        for host in &round.invited {
            self.send_invitation(now, from, host);
        }
        for host in &round.collectors {
            messages += 1;
            if self.send_message(now, from, host) {
                break;
            }
        }
        let slots = |_: &Name| SLOTS;
        self.hosts[from].exchange.update_shares(now, &self.sizes, slots);
        messages
    }

    fn send_invitation(&mut self, now: TimePoint, from: usize, host: &HostRecord) {
        let to = self.records.iter().position(|record| record.host == host.host).unwrap();
        let message = self.hosts[from].exchange.invitation(now);
        if !self.reaches(from, to) {
            return self.hosts[from].exchange.record_failure(now, &host.host);
        }
        let sender = self.hosts[from].record.clone();
        self.hosts[to].exchange.receive(now, &sender, message);
    }

    fn send_message(&mut self, now: TimePoint, from: usize, host: &HostRecord) -> bool {
        let to = self.records.iter().position(|record| record.host == host.host).unwrap();
        let message = self.hosts[from].exchange.message(now, host);
        assert!(message.is_valid(), "{message:?}");
        if !self.reaches(from, to) {
            self.hosts[from].exchange.record_failure(now, &host.host);
            return false;
        }
        let sender = self.hosts[from].record.clone();
        let sent = message.clone();
        let reply = self.hosts[to].exchange.receive(now, &sender, message);
        assert!(reply.is_valid(), "{reply:?}");
        if !self.bytes.is_empty() {
            let bytes = serde_json::to_vec(&sent).unwrap().len() + serde_json::to_vec(&reply).unwrap().len();
            self.bytes[from] += bytes + HTTP_BYTES;
            self.bytes[to] += bytes + HTTP_BYTES;
        }
        self.hosts[from].exchange.record_reply(now, host, reply);
        true
    }
}

/// Runs cases of each size with a fault; returns those for which `holds` is false.
fn failed_cases(
    fault: Fault,
    from_ms: u64,
    holds: impl Fn(&DemandCase, &DemandOutcome) -> bool,
) -> Vec<(DemandCase, DemandOutcome)> {
    let mut failed = Vec::new();
    let (mut most, mut least) = (0.0_f64, f64::MAX);
    for (hosts, seeds) in [(8, 40), (71, 15), (300, 5)] {
        for seed in 0..seeds {
            let case = DemandCase::draw(seed, hosts, fault);
            let outcome = DemandSimulation::new(case.clone()).run(from_ms);
            (most, least) = (most.max(outcome.most), least.min(outcome.least));
            if !holds(&case, &outcome) {
                failed.push((case, outcome));
            }
        }
    }
    println!("{fault:?}: sent {least:.3} to {most:.3} of the capacity");
    failed
}

/// Hosts that each send all their requests exceed the capacity up to three times.
#[test]
fn sum_within_capacity() {
    let failed = failed_cases(Fault::None, 4_000, |_, outcome| {
        let [first, second, third] = outcome.fractions;
        let is_ordered = first >= 0.99 && first >= second && second >= third && third >= 0.01;
        outcome.most <= 1.0 && outcome.least >= 0.9 && is_ordered
    });
    assert!(failed.is_empty(), "{} cases: {:#?}", failed.len(), failed.first());
}

#[test]
fn sum_within_capacity_after_loss_of_collector() {
    let failed =
        failed_cases(Fault::LostHosts, FAULT_MS + 3_000, |_, outcome| outcome.most <= 1.0 && outcome.least >= 0.9);
    assert!(failed.is_empty(), "{} cases: {:#?}", failed.len(), failed.first());
}

/// A host that hears nothing must not take its own demand for that of all hosts.
#[test]
fn deaf_hosts_fall_back() {
    let failed = failed_cases(Fault::DeafHosts, FAULT_MS + 3_000, |_, outcome| {
        outcome.most <= 1.0 && outcome.least >= 0.9 && outcome.deaf_with_sums == 0
    });
    assert!(failed.is_empty(), "{} cases: {:#?}", failed.len(), failed.first());
}

/// Each side of a cut would use the whole capacity.
#[test]
fn cut_zone_keeps_to_its_part() {
    let failed = failed_cases(Fault::CutZone, FAULT_MS + 3_000, |_, outcome| outcome.most <= 1.0);
    assert!(failed.is_empty(), "{} cases: {:#?}", failed.len(), failed.first());
}

/// Each of two collectors would take the hosts that it hears for all hosts of the zone.
#[test]
fn two_collectors_share_what_they_collect() {
    let failed =
        failed_cases(Fault::TwoCollectors, FAULT_MS + 3_000, |_, outcome| outcome.most <= 1.0 && outcome.least >= 0.9);
    assert!(failed.is_empty(), "{} cases: {:#?}", failed.len(), failed.first());
}

/// The number of messages must not grow with the number of hosts.
#[test]
fn messages_bounded() {
    for fault in [Fault::None, Fault::LostHosts, Fault::DeafHosts, Fault::CutZone, Fault::SplitZone] {
        let failed = failed_cases(fault, 3_000, |case, outcome| {
            outcome.messages <= 26 + case.zones && outcome.mean_messages <= 1.6
        });
        assert!(failed.is_empty(), "{} cases: {:#?}", failed.len(), failed.first());
    }
}

#[test]
fn share_of_urgent_priority_first() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..500 {
        let priorities = rng.random_range(1..8_u8);
        let rates: BTreeMap<u8, f64> = (0..priorities).map(|it| (it, rng.random_range(0.0..80.0))).collect();
        let share = DemandShare::new(&rates, 100.0);
        let sent: f64 = rates.iter().map(|(priority, rate)| rate * share.fraction(*priority)).sum();
        let demand: f64 = rates.values().sum();
        assert!((sent - demand.min(100.0)).abs() < 1e-6, "{rates:?}: {sent} of {demand}");
        let fractions: Vec<f64> = rates.keys().map(|priority| share.fraction(*priority)).collect();
        assert!(fractions.is_sorted_by(|a, b| *a >= *b - 1e-9), "{rates:?}: {fractions:?}");
        // A priority with little demand is served no more often than the one before it.
        let has_minimum = rates.iter().skip(1).all(|(it, rate)| {
            let equal = rate * share.fraction(it - 1);
            rate * share.fraction(*it) >= equal.min(100.0 * 0.04 / 7.0) - 1e-9
        });
        assert!(has_minimum, "{rates:?}: {fractions:?}");
        assert!(rates[&0] > 95.0 || share.fraction(0) >= 0.95, "{rates:?}: {fractions:?}");
    }
}

/// A summary of another host could otherwise hold any number of services and figures that spoil all sums.
#[test]
fn summary_checked_and_bounded() {
    let demand = |rate: f64| ServiceDemand { rates: [(0, rate)].into(), ..ServiceDemand::default() };
    let summary = |services: usize, rate: f64| DemandSummary {
        hosts: 1,
        services: (0..services).map(|it| (format!("s-{it}").into(), demand(rate + it as f64))).collect(),
        paces: Vec::new(),
    };
    assert!(summary(16, 1.0).is_valid());
    for bad in [summary(17, 1.0), summary(1, -1.0), summary(1, f64::NAN), summary(1, 1e300)] {
        assert!(!bad.is_valid(), "{bad:?}");
    }
    let bounded = summary(40, 1.0).bounded();
    assert!(bounded.is_valid() && bounded.services.contains_key("s-39"));
}

/// Each host's paces must not push out those that differ more, and heavier readings count more.
#[test]
fn paces_merged_by_weight() {
    let reading =
        |endpoint: usize, factor, weight| PaceReading { endpoint: format!("i-{endpoint}").into(), factor, weight };
    let of_host = |paces| DemandSummary { hosts: 1, paces, ..DemandSummary::default() };
    let first = of_host((0..64).map(|it| reading(it, 1.0 + it as f64 / 100.0, 1.0)).collect());
    let second = of_host(vec![reading(63, 3.0, 3.0), reading(99, 0.25, 1.0)]);
    let sum = DemandSummary::sum([&first, &second]);
    assert_eq!(sum.paces.len(), 64);
    assert_eq!(sum.paces[0], reading(99, 0.25, 1.0));
    assert_eq!(sum.paces[1], reading(63, 2.657, 4.0));
}

/// A host's budget for all control work is 8 KB per second.
#[test]
fn bytes_within_budget() {
    for (hosts, zones, paces) in [(84, 4, 0), (84, 4, 4), (1_000, 7, 0), (1_000, 7, 64)] {
        let case = DemandCase { zones, largest_share: 0.0, ..DemandCase::draw(1, hosts, Fault::None) };
        let (median, most) = DemandSimulation::new(case).run_measured(paces);
        println!("bytes per second, {hosts} hosts, {zones} zones, {paces} paces: median {median:.0}, most {most:.0}");
        assert!(median <= 8_000.0, "{hosts} hosts, {paces} paces: {median}");
    }
}
