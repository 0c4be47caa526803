//! Limits that hold for all hosts together while one host gets most of the callers, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollyhook_core::{
    EndpointId, EndpointRecord, EndpointTable, HostPosition, HostRecord, LeaseRound, LoadReport, Name, QuotaLoan,
    RouteQuery, TimePoint, ZoneName,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVICE: &str = "desk";
/// Step of the simulation, in milliseconds, as are all times here.
const STEP: u64 = 5;
/// When one host begins to get most callers.
const CROWD_AT: u64 = 4_000;
/// The bound from which the callers of the crowded host are to be served as before.
const CONTACT_BOUND: u64 = 3_000;
/// Fraction of the share served before that must be served while one host is crowded.
const SERVED_SHARE: f64 = 0.95;
/// Span over which requests are counted against a rate limit.
const LIMIT_SPAN: u64 = 4_000;
/// Interval at which a host checks whether it has to ask others.
const ASK_INTERVAL: u64 = 50;
/// Time limit for the answer to a question.
const ANSWER_TIMEOUT: u64 = 200;
/// How long an endpoint with slots processes a request, and how long a request waits for a slot at its host.
const SERVICE_TIME: u64 = 30;
const PATIENCE: u64 = 75;
/// Rejections in a second that an endpoint with slots bears.
const BRITTLE_LIMIT: f64 = 3.0;
/// Time that hosts have to learn what endpoints state in their answers.
const LEARNING_TIME: u64 = 2_000;
/// What hosts together may hold beyond the whole by rounding.
const ROUNDING: f64 = 1e-9;

#[derive(Debug, Clone, Copy, PartialEq)]
struct QuotaCase {
    seed: u64,
    hosts: usize,
    endpoints: usize,
    /// Requests per second that each endpoint takes.
    rate: f64,
    /// Slots of each endpoint that are divided among hosts; 0 if the rate is limited instead.
    slots: u32,
    /// Requests per second of all callers, as a fraction of what the endpoints take.
    load: f64,
    /// Fraction of the callers that the crowded hosts get.
    crowd: f64,
    /// How many hosts are crowded at a time, from host 0 on.
    crowded_hosts: usize,
    /// After how long the crowd moves on to the next hosts, if it does.
    moves_after: Option<u64>,
    crowd_time: u64,
    /// Whether the crowded host is lost after half of the time, and another one gets its callers.
    is_lost: bool,
    /// Fraction of the messages between hosts that are lost.
    loss: f64,
}

impl QuotaCase {
    fn draw(seed: u64, hosts: usize) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        Self {
            seed,
            hosts,
            endpoints: rng.random_range(3..=6),
            rate: rng.random_range(20.0..60.0),
            slots: 0,
            load: rng.random_range(0.2..0.4),
            crowd: rng.random_range(0.6..1.0),
            crowded_hosts: 1,
            moves_after: None,
            crowd_time: 10_000,
            is_lost: rng.random_bool(0.3),
            loss: if rng.random_bool(0.5) { 0.05 } else { 0.0 },
        }
    }

    /// Endpoints with slots of which a third is in use.
    fn with_slots(seed: u64, hosts: usize, slots: u32) -> Self {
        let rate = f64::from(slots) * 1_000.0 / SERVICE_TIME as f64;
        Self { rate, slots, load: 0.33, crowd: 0.85, is_lost: false, ..Self::draw(seed, hosts) }
    }

    /// Eighty hosts before four endpoints of which an eighth is in use.
    fn with_little_use(seed: u64, slots: u32) -> Self {
        let drawn = if slots > 0 { Self::with_slots(seed, 80, slots) } else { Self::draw(seed, 80) };
        Self { endpoints: 4, load: 0.125, crowd: 0.85, crowd_time: 8_000, is_lost: false, loss: 0.0, ..drawn }
    }

    fn is_crowded(&self, at: u64) -> bool {
        (CROWD_AT..CROWD_AT + self.crowd_time).contains(&at)
    }

    /// Whether a host is one of those that get most callers during the crowd.
    fn is_crowded_host(&self, at: u64, host: usize) -> bool {
        let moves = self.moves_after.map_or(0, |span| at.saturating_sub(CROWD_AT) / span) as usize;
        let first = moves * self.crowded_hosts % self.hosts;
        (first..first + self.crowded_hosts).contains(&host)
    }

    /// One of the hosts that get most callers at a time.
    fn crowded_host(&self, at: u64, rng: &mut impl Rng) -> usize {
        let crowded: Vec<usize> = (0..self.hosts).filter(|host| self.is_crowded_host(at, *host)).collect();
        if crowded.len() == 1 { crowded[0] } else { crowded[rng.random_range(0..crowded.len())] }
    }

    /// When the crowded host is lost, if it is.
    fn lost_at(&self) -> Option<u64> {
        self.is_lost.then_some(CROWD_AT + self.crowd_time / 2)
    }
}

/// A message that arrives later.
#[derive(Clone)]
enum Message {
    Question {
        borrower: usize,
        lender: usize,
        wanted: f64,
        asked_at: u64,
    },
    Answer {
        borrower: usize,
        lender: usize,
        loan: Option<QuotaLoan>,
        asked_at: u64,
    },
    /// The end of the time for answers to a round of questions.
    RoundEnd {
        borrower: usize,
        asked_at: u64,
    },
    /// Questions to the owner of limits.
    LeaseQuestions {
        borrower: usize,
        round: LeaseRound,
    },
    /// The answers to them; `None` once the time for them is over.
    LeaseAnswers {
        borrower: usize,
        round: LeaseRound,
        answers: Option<Vec<u32>>,
    },
    /// The end of a request at an endpoint with slots, or its rejection.
    Response {
        host: usize,
        endpoint: usize,
        running: u32,
        rejected: Option<u64>,
    },
}

#[derive(Debug, Default)]
struct QuotaOutcome {
    /// Requests sent and served by the second in which they came.
    tries: BTreeMap<u64, (u32, u32)>,
    /// The same, of the crowded hosts.
    crowded_tries: BTreeMap<u64, (u32, u32)>,
    /// Rejections by endpoints with slots once hosts had time to learn their limits.
    rejections: u32,
    /// The most slots of an endpoint that hosts held together beyond its capacity.
    most_excess: u32,
    /// The times of the requests that each endpoint got.
    arrivals: Vec<Vec<u64>>,
    /// The most that hosts held together of the whole.
    most_held: f64,
    questions: u32,
}

impl QuotaOutcome {
    fn served_share(&self, from: u64, to: u64) -> f64 {
        share_of(&self.tries, from, to)
    }

    fn most_in_span(&self) -> usize {
        let most = |arrivals: &Vec<u64>| {
            let within = |from: &u64| arrivals.iter().filter(|at| (*from..*from + LIMIT_SPAN).contains(*at)).count();
            arrivals.iter().map(within).max().unwrap_or(0)
        };
        self.arrivals.iter().map(most).max().unwrap_or(0)
    }
}

fn share_of(tries: &BTreeMap<u64, (u32, u32)>, from: u64, to: u64) -> f64 {
    let seconds = tries.range(from / 1_000..to / 1_000);
    let (sent, served) = seconds.fold((0, 0), |sum, (_, count)| (sum.0 + count.0, sum.1 + count.1));
    f64::from(served) / f64::from(sent.max(1))
}

/// Answers to a round of questions about slots, which a host records together.
struct PendingRound {
    asked: Vec<Name>,
    answers: Vec<(Name, Option<QuotaLoan>)>,
}

struct QuotaSimulation {
    case: QuotaCase,
    /// How long it goes on after the crowd.
    after: u64,
    rng: Pcg64Mcg,
    hosts: Vec<EndpointTable>,
    records: Vec<HostRecord>,
    messages: BTreeMap<u64, Vec<Message>>,
    /// Rounds of questions under way, by the host that asked and the time.
    rounds: BTreeMap<(usize, u64), PendingRound>,
    /// The numbers of the lease rounds under way, by the host that asked.
    lease_rounds: BTreeSet<(usize, u64)>,
    /// Hosts and arrival times of requests that wait for a slot or a send.
    waiting: Vec<(usize, u64)>,
    /// Requests that endpoints with slots process.
    running: Vec<u32>,
    outcome: QuotaOutcome,
}

fn name_of(host: usize) -> Name {
    format!("host-{host:03}").into()
}

fn id_of(endpoint: usize) -> EndpointId {
    format!("i-{endpoint}").into()
}

impl QuotaSimulation {
    fn new(case: QuotaCase) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(case.seed);
        let records = (0..case.hosts).map(|host| HostRecord {
            host: name_of(host),
            zone: format!("zone-{}", host % 4).into(),
            address: ([10, 0, (host >> 8) as u8, host as u8], 80).into(),
            link_mbps: 1_000,
        });
        let records: Vec<HostRecord> = records.collect();
        let zones: BTreeMap<Name, ZoneName> =
            records.iter().map(|record| (Name::clone(&record.host), ZoneName::clone(&record.zone))).collect();
        let hosts = (0..case.hosts).map(|host| {
            let mut table = EndpointTable::new(format!("zone-{}", host % 4).into());
            table.set_position(HostPosition { index: host, count: case.hosts });
            table.set_hosts(TimePoint::from_millis(1), &name_of(host), zones.clone());
            for endpoint in 0..case.endpoints {
                let address = ([127, 0, 0, 1], 7_000 + endpoint as u16).into();
                let record = EndpointRecord::new(id_of(endpoint), SERVICE.into(), "zone-0".into(), address);
                table.upsert(record.capacity(if case.slots > 0 { case.slots } else { 64 }));
                let (start, id) = (TimePoint::from_millis(1), id_of(endpoint));
                if case.slots > 0 {
                    table.terms_mut().set_brittle(start, &id, BRITTLE_LIMIT, case.hosts, &mut rng);
                } else {
                    table.terms_mut().set_rate_limit(start, &id, case.rate, case.hosts, &mut rng);
                }
                table.apply_share(start, &id);
            }
            table
        });
        let hosts = hosts.collect();
        let outcome = QuotaOutcome { arrivals: vec![Vec::new(); case.endpoints], ..QuotaOutcome::default() };
        let running = vec![0; case.endpoints];
        Self {
            case,
            after: 0,
            rng,
            hosts,
            records,
            messages: BTreeMap::new(),
            rounds: BTreeMap::new(),
            lease_rounds: BTreeSet::new(),
            waiting: Vec::new(),
            running,
            outcome,
        }
    }

    fn run(mut self) -> QuotaOutcome {
        for at in (STEP..CROWD_AT + self.case.crowd_time + self.after).step_by(STEP as usize) {
            for message in self.take_messages(at) {
                self.deliver(at, message);
            }
            self.add_requests(at);
            self.send_waiting(at);
            (0..self.hosts.len()).for_each(|host| self.ask_leases(at, host));
            if at % ASK_INTERVAL == 0 {
                (0..self.hosts.len()).for_each(|host| self.ask(at, host));
            }
            let held: f64 = self.hosts.iter().map(|table| table.quota_share(TimePoint::from_millis(at), SERVICE)).sum();
            self.outcome.most_held = self.outcome.most_held.max(held);
            self.check_slots(at);
        }
        self.outcome
    }

    fn take_messages(&mut self, at: u64) -> Vec<Message> {
        let later = self.messages.split_off(&(at + 1));
        std::mem::replace(&mut self.messages, later).into_values().flatten().collect()
    }

    fn is_up(&self, at: u64, host: usize) -> bool {
        host != 0 || self.case.lost_at().is_none_or(|lost_at| at < lost_at)
    }

    fn add_requests(&mut self, at: u64) {
        let rate = self.case.rate * self.case.endpoints as f64 * self.case.load;
        let expected = rate * STEP as f64 / 1_000.0;
        let count = expected.floor() as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let first = usize::from(!self.is_up(at, 0));
            let is_crowd = self.case.is_crowded(at) && self.rng.random_bool(self.case.crowd);
            let host = if is_crowd {
                self.case.crowded_host(at, &mut self.rng).max(first)
            } else {
                self.rng.random_range(first..self.hosts.len())
            };
            self.waiting.push((host, at));
        }
    }

    fn count_try(&mut self, at: u64, host: usize, is_served: bool) {
        let outcome = &mut self.outcome;
        let crowded = self.case.is_crowded_host(at, host).then_some(&mut outcome.crowded_tries);
        for counts in std::iter::once(&mut outcome.tries).chain(crowded) {
            let tries = counts.entry(at / 1_000).or_default();
            tries.0 += 1;
            tries.1 += u32::from(is_served);
        }
    }

    /// Sends the requests that wait, in the order of their arrival, and refuses those that waited too long.
    fn send_waiting(&mut self, at: u64) {
        for (host, arrived) in std::mem::take(&mut self.waiting) {
            if at - arrived > PATIENCE || !self.is_up(at, host) {
                self.count_try(arrived, host, false);
            } else {
                self.open(at, host, arrived);
            }
        }
    }

    /// Sends a request to an endpoint; if there is none, it waits or is refused.
    fn open(&mut self, at: u64, host: usize, arrived: u64) {
        let (now, query, capacity) = (TimePoint::from_millis(at), RouteQuery::new(SERVICE), self.case.slots);
        let table = &mut self.hosts[host];
        let chosen = table.choose(now, &query, &mut self.rng);
        let Some(id) = chosen.filter(|id| table.try_open(now, id, None)) else {
            let mut may_wait = capacity > 0;
            if let Some(pause) = table.shortest_pause(now, &query) {
                let is_brittle = table.record_pressure(now, SERVICE);
                may_wait |= table.awaits_lease(now, SERVICE);
                if pause.is_zero() {
                    table.record_shortage(now, SERVICE, is_brittle);
                }
            }
            if may_wait {
                self.waiting.push((host, arrived));
            } else {
                self.count_try(arrived, host, false);
            }
            return;
        };
        if capacity == 0 {
            table.record_close(&id);
            self.outcome.arrivals[id[2..].parse::<usize>().unwrap()].push(at);
            return self.count_try(arrived, host, true);
        }
        let endpoint: usize = id[2..].parse().unwrap();
        let is_rejected = self.running[endpoint] >= capacity;
        self.running[endpoint] += u32::from(!is_rejected);
        self.outcome.rejections += u32::from(is_rejected && at >= LEARNING_TIME);
        let (running, rejected) = (self.running[endpoint], is_rejected.then_some(arrived));
        let after = if is_rejected { STEP } else { SERVICE_TIME };
        let response = Message::Response { host, endpoint, running, rejected };
        self.messages.entry(at + after).or_default().push(response);
        if !is_rejected {
            self.count_try(arrived, host, true);
        }
    }

    fn end_request(&mut self, at: u64, host: usize, endpoint: usize, running: u32, rejected: Option<u64>) {
        let (now, id, capacity) = (TimePoint::from_millis(at), id_of(endpoint), self.case.slots);
        let table = &mut self.hosts[host];
        table.record_close(&id);
        table.update_load(&id, LoadReport { running, waiting: 0, capacity, ..LoadReport::default() });
        table.update_room(now, &id, 1.0 - f64::from(running) / f64::from(capacity));
        if let Some(arrived) = rejected {
            table.terms_mut().record_rejection(now, &id);
            self.waiting.push((host, arrived));
        } else {
            self.running[endpoint] -= 1;
        }
    }

    fn check_slots(&mut self, at: u64) {
        for endpoint in 0..self.case.endpoints {
            let id = id_of(endpoint);
            let held = |table: &EndpointTable| table.held_slots(TimePoint::from_millis(at), &id);
            let held: u32 = self.hosts.iter().map(held).sum();
            let capacity = if self.case.slots > 0 { self.case.slots } else { 64 };
            self.outcome.most_excess = self.outcome.most_excess.max(held.saturating_sub(capacity));
        }
    }

    /// Sends the questions that a host has for the owners of limits.
    fn ask_leases(&mut self, at: u64, host: usize) {
        if !self.is_up(at, host) {
            return;
        }
        for round in self.hosts[host].begin_leases(TimePoint::from_millis(at), &mut self.rng) {
            self.outcome.questions += 1;
            self.lease_rounds.insert((host, round.number));
            let end = Message::LeaseAnswers { borrower: host, round: round.clone(), answers: None };
            self.messages.entry(at + ANSWER_TIMEOUT).or_default().push(end);
            self.post(at, Message::LeaseQuestions { borrower: host, round });
        }
    }

    fn ask(&mut self, at: u64, host: usize) {
        let is_asking = self.rounds.range((host, 0)..=(host, at)).next().is_some();
        if !self.is_up(at, host) || is_asking {
            return;
        }
        let now = TimePoint::from_millis(at);
        let others: Vec<HostRecord> =
            self.records.iter().filter(|record| record.host != name_of(host)).cloned().collect();
        for round in self.hosts[host].begin_borrowing(now, &others, &mut self.rng) {
            self.outcome.questions += round.asks.len() as u32;
            if self.case.slots > 0 {
                let asked = round.asks.iter().map(|(record, _)| Name::clone(&record.host)).collect();
                self.rounds.insert((host, at), PendingRound { asked, answers: Vec::new() });
                let end = Message::RoundEnd { borrower: host, asked_at: at };
                self.messages.entry(at + ANSWER_TIMEOUT).or_default().push(end);
            }
            for (lender, wanted) in round.asks {
                let lender = lender.host[5..].parse().unwrap();
                self.post(at, Message::Question { borrower: host, lender, wanted, asked_at: at });
            }
        }
    }

    /// Delivers a message after a delay, or loses it; the answer to a lost question counts as none.
    fn post(&mut self, at: u64, message: Message) {
        let delay = self.rng.random_range(3..40);
        let is_lost = self.case.loss > 0.0 && self.rng.random_bool(self.case.loss);
        if !is_lost {
            self.messages.entry(at + delay).or_default().push(message);
        }
    }

    fn deliver(&mut self, at: u64, message: Message) {
        let now = TimePoint::from_millis(at);
        match message {
            Message::Question { borrower, lender, wanted, asked_at } => {
                if self.is_up(at, lender) {
                    let loan = self.hosts[lender].lend_quota(now, &SERVICE.into(), &name_of(borrower), wanted);
                    self.post(at, Message::Answer { borrower, lender, loan, asked_at });
                }
            }
            Message::LeaseQuestions { borrower, round } => {
                let owner: usize = round.owner[5..].parse().unwrap();
                if self.is_up(at, owner) {
                    let name = name_of(borrower);
                    let answers = self.hosts[owner].answer_leases(now, &name, round.number, &round.questions);
                    self.post(at, Message::LeaseAnswers { borrower, round, answers: Some(answers) });
                }
            }
            Message::LeaseAnswers { borrower, round, answers } => {
                if self.lease_rounds.remove(&(borrower, round.number)) {
                    self.hosts[borrower].record_leases(now, &round, answers.as_deref());
                }
            }
            Message::Response { host, endpoint, running, rejected } => {
                self.end_request(at, host, endpoint, running, rejected);
            }
            Message::Answer { borrower, lender, loan, asked_at } => {
                if self.case.slots == 0 {
                    let asked_at = TimePoint::from_millis(asked_at);
                    self.hosts[borrower].record_loans(now, asked_at, &SERVICE.into(), &[(name_of(lender), loan)]);
                } else if let Some(round) = self.rounds.get_mut(&(borrower, asked_at)) {
                    round.answers.push((name_of(lender), loan));
                    if round.answers.len() == round.asked.len() {
                        self.end_round(at, borrower, asked_at);
                    }
                }
            }
            Message::RoundEnd { borrower, asked_at } => self.end_round(at, borrower, asked_at),
        }
    }

    /// Records the answers to a round; a host that did not answer lent nothing.
    fn end_round(&mut self, at: u64, borrower: usize, asked_at: u64) {
        let Some(PendingRound { asked, mut answers }) = self.rounds.remove(&(borrower, asked_at)) else {
            return;
        };
        let is_silent = |name: &Name| !answers.iter().any(|(lender, _)| lender == name);
        let silent: Vec<_> = asked.into_iter().filter(is_silent).map(|name| (name, None)).collect();
        answers.extend(silent);
        let (now, asked_at) = (TimePoint::from_millis(at), TimePoint::from_millis(asked_at));
        self.hosts[borrower].record_loans(now, asked_at, &SERVICE.into(), &answers);
    }
}

fn crowd_is_served(case: QuotaCase) {
    let outcome = QuotaSimulation::new(case).run();
    let before = outcome.served_share(1_000, CROWD_AT);
    let mut spans = vec![(CROWD_AT + CONTACT_BOUND, CROWD_AT + case.crowd_time)];
    if let Some(lost_at) = case.lost_at() {
        spans = vec![(CROWD_AT + CONTACT_BOUND, lost_at), (lost_at + CONTACT_BOUND, CROWD_AT + case.crowd_time)];
    }
    for (from, to) in spans {
        let crowded = outcome.served_share(from, to);
        assert!(crowded >= SERVED_SHARE * before, "{case:?}: {crowded} from {from}, {before} before");
    }
    let allowed = (1.5 * case.rate * LIMIT_SPAN as f64 / 1_000.0) as usize + 5;
    let most = outcome.most_in_span();
    assert!(most <= allowed, "{case:?}: {most} requests in a span, {allowed} are allowed");
    assert!(outcome.most_held <= 1.0 + ROUNDING, "{case:?}: hosts hold {} together", outcome.most_held);
}

/// Guards against equal shares of a rate limit: the crowded host has the callers, and the others have the shares.
#[test]
fn crowd_served_within_limits_8_hosts() {
    (0..150).for_each(|seed| crowd_is_served(QuotaCase::draw(seed, 8)));
}

#[test]
fn crowd_served_within_limits_61_hosts() {
    (200..220).for_each(|seed| crowd_is_served(QuotaCase::draw(seed, 61)));
}

/// A burst that is over before the bound still keeps the limits, and gives back what was borrowed.
#[test]
fn short_crowd_keeps_limits() {
    for seed in 300..340 {
        let case = QuotaCase { crowd_time: 3_000, is_lost: false, ..QuotaCase::draw(seed, 8) };
        let outcome = QuotaSimulation::new(case).run();
        let allowed = (1.5 * case.rate * LIMIT_SPAN as f64 / 1_000.0) as usize + 5;
        assert!(outcome.most_in_span() <= allowed, "{case:?}");
        assert!(outcome.most_held <= 1.0 + ROUNDING, "{case:?}: hosts hold {} together", outcome.most_held);
    }
}

/// While demand exceeds the limits everywhere, nobody has anything to lend, and hosts ask each other rarely.
#[test]
fn overload_causes_few_questions() {
    for hosts in [8, 61] {
        let case = QuotaCase { load: 3.0, crowd: 1.0 / hosts as f64, is_lost: false, ..QuotaCase::draw(400, hosts) };
        let outcome = QuotaSimulation::new(case).run();
        let seconds = (CROWD_AT + case.crowd_time) as f64 / 1_000.0;
        let by_host = f64::from(outcome.questions) / hosts as f64 / seconds;
        // A question and its answer take some 500 bytes, and a host has 8 KB per second for all messages to others.
        assert!(by_host <= 8.0, "{hosts} hosts: {by_host} questions per second and host");
        assert!(outcome.most_held <= 1.0 + ROUNDING);
    }
}

/// A host that can't reach the others keeps its own quota, and nothing more.
#[test]
fn unreachable_host_keeps_its_quota() {
    let case = QuotaCase { loss: 1.0, is_lost: false, ..QuotaCase::draw(500, 8) };
    let outcome = QuotaSimulation::new(case).run();
    assert!(outcome.most_held <= 1.0 + ROUNDING, "hosts hold {} together", outcome.most_held);
}

#[test]
fn loan_ends_by_itself() {
    let mut table = EndpointTable::new("zone-0".into());
    table.set_position(HostPosition { index: 0, count: 4 });
    let now = TimePoint::from_millis(10);
    let loan = table.lend_quota(now, &SERVICE.into(), &name_of(1), 0.5).unwrap();
    assert!((loan.part.size() - 0.5).abs() < ROUNDING);
    assert!((table.quota_share(now, SERVICE) - 0.125).abs() < ROUNDING);
    let later = now + Duration::from_secs(2);
    assert!((table.quota_share(later, SERVICE) - 0.25).abs() < ROUNDING);
}

/// A host that has just had to hold a request back keeps half of its quota.
#[test]
fn short_host_keeps_half() {
    let mut table = EndpointTable::new("zone-0".into());
    table.set_position(HostPosition { index: 0, count: 4 });
    let now = TimePoint::from_millis(10);
    table.record_shortage(now, SERVICE, false);
    let loan = table.lend_quota(now, &SERVICE.into(), &name_of(1), 1.0).unwrap();
    assert!(loan.part.size() <= 0.5 + ROUNDING, "{loan:?}");
}

/// A host that uses its quota lends nothing of it.
#[test]
fn busy_host_lends_nothing() {
    let (mut table, mut rng) = (EndpointTable::new("zone-0".into()), Pcg64Mcg::seed_from_u64(1));
    table.set_position(HostPosition { index: 0, count: 4 });
    let address = ([127, 0, 0, 1], 7_000).into();
    table.upsert(EndpointRecord::new(id_of(0), SERVICE.into(), "zone-0".into(), address).capacity(64));
    table.terms_mut().set_rate_limit(TimePoint::from_millis(1), &id_of(0), 40.0, 4, &mut rng);
    for millis in (1_000..3_000).step_by(20) {
        table.try_open(TimePoint::from_millis(millis), &id_of(0), None);
        table.record_close(&id_of(0));
    }
    assert_eq!(table.lend_quota(TimePoint::from_millis(3_000), &SERVICE.into(), &name_of(1), 1.0), None);
}

/// The crowd at host 0, and the requests of the others before, meanwhile and after it.
fn few_slots_outcome(seeds: std::ops::Range<u64>, hosts: usize, slots: u32, loss: f64) -> [f64; 4] {
    let count = (seeds.end - seeds.start) as f64;
    let mut means = [0.0; 4];
    for seed in seeds {
        let case = QuotaCase { crowd_time: 6_000, endpoints: 4, loss, ..QuotaCase::with_slots(seed, hosts, slots) };
        let crowd_end = CROWD_AT + case.crowd_time;
        let mut outcome = QuotaSimulation { after: 6_000, ..QuotaSimulation::new(case) }.run();
        assert_eq!(outcome.most_excess, 0, "{case:?}: hosts hold more slots than there are");
        assert!(outcome.rejections <= 12 * BRITTLE_LIMIT as u32, "{case:?}: {} rejections", outcome.rejections);
        for (second, (sent, served)) in &outcome.crowded_tries {
            let all = outcome.tries.get_mut(second).unwrap();
            *all = (all.0 - sent, all.1 - served);
        }
        let crowd_from = CROWD_AT + CONTACT_BOUND;
        let shares = [
            share_of(&outcome.crowded_tries, crowd_from, crowd_end),
            share_of(&outcome.tries, LEARNING_TIME, CROWD_AT),
            share_of(&outcome.tries, crowd_from, crowd_end),
            share_of(&outcome.tries, crowd_end + 2_000, crowd_end + 6_000),
        ];
        means.iter_mut().zip(shares).for_each(|(mean, share)| *mean += share / count);
    }
    println!("{hosts} hosts, {slots} slots, loss {loss}: {means:.2?}");
    means
}

/// Guards against loans of less than a slot, and lenders that keep slots for which they have hardly any requests.
#[test]
fn crowd_served_with_few_slots_8_hosts() {
    for slots in [2, 4, 6, 16] {
        let [crowd, others @ ..] = few_slots_outcome(600..624, 8, slots, 0.0);
        assert!(crowd >= SERVED_SHARE, "{slots} slots: {crowd}");
        let [_, unlent @ ..] = few_slots_outcome(600..624, 8, slots, 1.0);
        for (share, unlent) in others.into_iter().zip(unlent) {
            assert!(share >= unlent - 0.02, "{slots} slots: {share} with loans, {unlent} without");
        }
    }
}

/// A host of many has no slot of its own, so that it has what it borrows.
#[test]
fn crowd_served_with_few_slots_71_hosts() {
    for slots in [6, 16] {
        let [crowd, others @ ..] = few_slots_outcome(600..606, 71, slots, 0.0);
        assert!(crowd >= SERVED_SHARE, "{slots} slots: {crowd}");
        let [_, unlent @ ..] = few_slots_outcome(600..606, 71, slots, 1.0);
        for (share, unlent) in others.into_iter().zip(unlent) {
            assert!(share >= unlent - 0.02, "{slots} slots: {share} with loans, {unlent} without");
        }
    }
}

/// Where hosts outnumber slots, or a limit allows each less than a request per second: nearly all requests are served
/// before a crowd, at the crowded hosts from the contact bound on, at the other hosts meanwhile, and after it.
fn little_use_is_served(slots: u32, crowded_hosts: usize, moves_after: Option<u64>) {
    let mut sums = BTreeMap::new();
    for seed in 900..904 {
        let case = QuotaCase { crowded_hosts, moves_after, ..QuotaCase::with_little_use(seed, slots) };
        let crowd_end = CROWD_AT + case.crowd_time;
        let mut outcome = QuotaSimulation { after: 6_000, ..QuotaSimulation::new(case) }.run();
        assert_eq!(outcome.most_excess, 0, "{case:?}: hosts hold more slots than there are");
        assert!(outcome.rejections <= 12 * BRITTLE_LIMIT as u32, "{case:?}: {} rejections", outcome.rejections);
        let allowed = (1.5 * case.rate * LIMIT_SPAN as f64 / 1_000.0) as usize + 5;
        let most = outcome.most_in_span();
        assert!(slots > 0 || most <= allowed, "{case:?}: {most} requests in a span, {allowed} are allowed");
        for (second, (sent, served)) in &outcome.crowded_tries {
            let all = outcome.tries.get_mut(second).unwrap();
            *all = (all.0 - sent, all.1 - served);
        }
        let crowd_from = CROWD_AT + CONTACT_BOUND;
        let spans = [
            ("others before", share_of(&outcome.tries, LEARNING_TIME, CROWD_AT)),
            ("crowded, early", share_of(&outcome.crowded_tries, CROWD_AT, crowd_from)),
            ("crowded", share_of(&outcome.crowded_tries, crowd_from, crowd_end)),
            ("others meanwhile", share_of(&outcome.tries, crowd_from, crowd_end)),
            ("others after", share_of(&outcome.tries, crowd_end + 1_000, crowd_end + 6_000)),
        ];
        for (span, share) in spans {
            *sums.entry(span).or_insert(0.0) += share / 4.0;
        }
    }
    println!("{slots} slots, {crowded_hosts} crowded, moves after {moves_after:?}: {sums:.2?}");
    for (span, share) in sums {
        assert!(span == "crowded, early" || share >= SERVED_SHARE, "{slots} slots, {span}: {share}");
    }
}

/// Guards against slots that are divided among more hosts than there are slots.
#[test]
fn little_use_served_fewer_slots_than_hosts() {
    for crowded in [1, 3, 6] {
        little_use_is_served(6, crowded, None);
    }
}

/// Guards against shares that follow callers more slowly than these move.
#[test]
fn little_use_served_moving_crowd() {
    for slots in [6, 64] {
        little_use_is_served(slots, 1, Some(1_500));
    }
}

/// Guards against a rate that is divided until each host may send less than its few callers ask for.
#[test]
fn little_use_served_low_rate_a_host() {
    for crowded in [1, 3, 6] {
        little_use_is_served(0, crowded, None);
    }
    little_use_is_served(0, 1, Some(1_500));
}
