//! Hosts that claim keys in one platform and call one service, with lost replies, outages, pauses and deaths.

use std::collections::{BTreeMap, VecDeque};

use hollyhook_core::{
    CallAction, CallEvent, CallGuard, CallOutcome, ClaimAction, ClaimCommand, ClaimEvent, ClaimLedger, ClaimPolicy,
    ClaimRecord, ClaimShard, ClaimVerdict, EndpointId, Name, TimePoint,
};
use proptest::prelude::*;

use crate::harness::{Tally, fuzz};

const HOSTS: usize = 3;
const KEYS: usize = 2;
const CASES: u32 = 6_000;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A caller sends a key to a host.
    Request { host: usize, key: usize },
    /// The host's next call to the platform reaches it and the reply comes back.
    Platform(usize),
    /// It takes effect, and the reply is lost.
    PlatformReplyLost(usize),
    /// It does not reach the platform.
    PlatformUnreachable(usize),
    /// It times out without reaching the platform, which the host can't tell from a lost reply.
    PlatformTimesOut(usize),
    /// The host's timer fires.
    Timer(usize),
    /// A call that may be sent is sent and answered.
    Service(usize),
    /// It runs, and the reply is lost.
    ServiceReplyLost(usize),
    /// It runs, and the caller's time is over before the reply.
    ServiceTooLate(usize),
    /// The connection can't be made.
    ServiceUnreachable(usize),
    /// The host dies with all that it knows, and a new one takes its place.
    Die(usize),
}

#[derive(Debug)]
struct Call {
    record: ClaimRecord,
    guard: CallGuard,
    /// Set while the guard waits for the outcome of a send.
    is_sending: bool,
}

struct Host {
    shard: ClaimShard,
    /// Calls to the platform that are under way, at most one.
    pending: VecDeque<ClaimAction>,
    calls: BTreeMap<Name, Call>,
}

impl Default for Host {
    fn default() -> Self {
        let policy = ClaimPolicy { max_conflicts: 3, ..ClaimPolicy::default() };
        Self { shard: ClaimShard::new(policy), pending: VecDeque::new(), calls: BTreeMap::new() }
    }
}

/// What callers were told and what the service did, by key.
#[derive(Debug, Default)]
struct KeyFacts {
    executions: u32,
    executions_by_claim: BTreeMap<Name, u32>,
}

struct World {
    hosts: Vec<Host>,
    ledger: ClaimLedger,
    version: Option<u64>,
    facts: Vec<KeyFacts>,
    claims: u64,
    tally: Tally,
}

impl World {
    fn new(tally: Tally) -> Self {
        Self {
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            ledger: ClaimLedger::default(),
            version: None,
            facts: (0..KEYS).map(|_| KeyFacts::default()).collect(),
            claims: 0,
            tally,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Request { host, key } => self.request(host, key),
            Step::Platform(host) => self.platform(host, true, false),
            Step::PlatformReplyLost(host) => self.platform(host, true, true),
            Step::PlatformTimesOut(host) => self.platform(host, false, true),
            Step::PlatformUnreachable(host) => self.platform(host, false, false),
            Step::Timer(host) => self.feed(host, ClaimEvent::TimerFired),
            Step::Service(host) => self.service(host, true, Some(CallEvent::Answered)),
            Step::ServiceReplyLost(host) => self.service(host, true, Some(CallEvent::ConnectionLost)),
            Step::ServiceTooLate(host) => self.service(host, true, Some(CallEvent::DeadlinePassed)),
            Step::ServiceUnreachable(host) => self.service(host, false, None),
            Step::Die(host) => {
                self.tally.count("host dies");
                self.hosts[host] = Host::default();
            }
        }
        for (key, facts) in self.facts.iter().enumerate() {
            assert!(facts.executions <= 1, "key {key} ran {} times", facts.executions);
        }
    }

    fn request(&mut self, host: usize, key: usize) {
        self.claims += 1;
        let record = ClaimRecord {
            key: key.to_string().into(),
            request: "same".into(),
            claim: self.claims.to_string().into(),
            made_at: 1_000,
            answer: None,
        };
        let guard = CallGuard::new(false, TimePoint::from_millis(10_000));
        let call = Call { record: record.clone(), guard, is_sending: false };
        self.hosts[host].calls.insert(Name::clone(&record.claim), call);
        self.feed(host, ClaimEvent::Submitted(ClaimCommand::Claim(record)));
    }

    fn feed(&mut self, host: usize, event: ClaimEvent) {
        for action in self.hosts[host].shard.on(1_000, event) {
            match action {
                ClaimAction::Put { .. } | ClaimAction::Load => {
                    self.hosts[host].pending.push_back(action);
                    assert_eq!(self.hosts[host].pending.len(), 1, "more than one call to the platform at a time");
                }
                ClaimAction::Resolve { claim, verdict } => self.settle(host, &claim, &verdict),
                ClaimAction::Refuse { claim, .. } => {
                    self.tally.count("claim refused");
                    self.tell_not_run(host, &claim);
                }
                ClaimAction::SetTimer { .. } => {}
            }
        }
    }

    /// The caller is told "not run", which must be true, and stay true of this call.
    fn tell_not_run(&mut self, host: usize, claim: &Name) {
        let call = self.hosts[host].calls.remove(claim).expect("a claim is answered once");
        assert!(!call.guard.was_sent());
        assert_eq!(self.executions(&call.record), 0, "said not to have run, but it ran");
    }

    fn executions(&self, record: &ClaimRecord) -> u32 {
        let facts = &self.facts[record.key.parse::<usize>().unwrap()];
        facts.executions_by_claim.get(&record.claim).copied().unwrap_or_default()
    }

    fn settle(&mut self, host: usize, claim: &Name, verdict: &ClaimVerdict) {
        match verdict {
            ClaimVerdict::Own => {
                self.tally.count("claim own");
                let call = self.hosts[host].calls.get_mut(claim).expect("a claim is answered once");
                let action = call.guard.on(TimePoint::ZERO, CallEvent::Started);
                assert!(matches!(action, Some(CallAction::Assign { .. })));
                call.guard.on(TimePoint::ZERO, CallEvent::Assigned { endpoint: EndpointId::from("s") });
                call.is_sending = true;
            }
            ClaimVerdict::Held(held) => {
                self.tally.count(if held.answer.is_some() { "claim answered" } else { "claim held" });
                self.hosts[host].calls.remove(claim).expect("a claim is answered once");
            }
            ClaimVerdict::Free | ClaimVerdict::Reused => panic!("{verdict:?}"),
        }
    }

    /// Carries one call to the platform: whether it arrives, and whether its reply is lost.
    fn platform(&mut self, host: usize, arrives: bool, is_unanswered: bool) {
        let Some(action) = self.hosts[host].pending.pop_front() else {
            return;
        };
        let is_write = matches!(action, ClaimAction::Put { .. });
        self.tally.count(match (arrives, is_unanswered) {
            (true, false) => "platform answers",
            (true, true) => "platform reply lost",
            (false, true) => "platform times out",
            (false, false) => "platform unreachable",
        });
        let event = if arrives { self.store(action) } else { ClaimEvent::Unavailable };
        let event = match (is_write, is_unanswered) {
            (true, true) => ClaimEvent::Unanswered,
            (false, true) => ClaimEvent::LoadFailed,
            (false, false) if !arrives => ClaimEvent::LoadFailed,
            _ => event,
        };
        self.feed(host, event);
    }

    fn store(&mut self, action: ClaimAction) -> ClaimEvent {
        match action {
            ClaimAction::Put { version, .. } if version != self.version => {
                self.tally.count("platform conflict");
                ClaimEvent::Conflicted
            }
            ClaimAction::Put { ledger, .. } => {
                let version = self.version.unwrap_or_default() + 1;
                self.ledger = ledger;
                self.version = Some(version);
                ClaimEvent::Written { version }
            }
            _ => ClaimEvent::Loaded { ledger: self.ledger.clone(), version: self.version },
        }
    }

    /// Carries one granted call to the service; without an outcome the connection can't be made.
    fn service(&mut self, host: usize, runs: bool, outcome: Option<CallEvent>) {
        let Some(call) = self.hosts[host].calls.values_mut().find(|call| call.is_sending) else {
            return;
        };
        call.is_sending = false;
        let record = call.record.clone();
        if !runs {
            // No other endpoint is left either.
            call.guard.on(TimePoint::ZERO, CallEvent::ConnectFailed);
            let action = call.guard.on(TimePoint::ZERO, CallEvent::Unassigned);
            assert_eq!(action, Some(CallAction::Finish(CallOutcome::NotRun)));
            self.tally.count("call not run");
            self.tell_not_run(host, &record.claim);
            return self.feed(host, ClaimEvent::Submitted(ClaimCommand::Release(record)));
        }
        call.guard.on(TimePoint::ZERO, CallEvent::Sending);
        let action = call.guard.on(TimePoint::ZERO, outcome.unwrap());
        let facts = &mut self.facts[record.key.parse::<usize>().unwrap()];
        facts.executions += 1;
        *facts.executions_by_claim.entry(Name::clone(&record.claim)).or_default() += 1;
        self.hosts[host].calls.remove(&record.claim);
        match action {
            Some(CallAction::Finish(CallOutcome::Answered)) => {
                self.tally.count("call answered");
                let mut record = record;
                record.answer =
                    Some(hollyhook_core::ClaimAnswer { status: 200, content_type: "".into(), body: "".into() });
                self.feed(host, ClaimEvent::Submitted(ClaimCommand::Answer(record)));
            }
            Some(CallAction::Finish(CallOutcome::Unknown)) => self.tally.count("call unknown"),
            other => panic!("a call that was sent may only be answered or unknown: {other:?}"),
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let host = || 0..HOSTS;
    let step = prop_oneof![
        5 => (host(), 0..KEYS).prop_map(|(host, key)| Step::Request { host, key }),
        10 => host().prop_map(Step::Platform),
        2 => host().prop_map(Step::PlatformReplyLost),
        2 => host().prop_map(Step::PlatformUnreachable),
        2 => host().prop_map(Step::PlatformTimesOut),
        3 => host().prop_map(Step::Timer),
        3 => host().prop_map(Step::Service),
        2 => host().prop_map(Step::ServiceReplyLost),
        1 => host().prop_map(Step::ServiceTooLate),
        2 => host().prop_map(Step::ServiceUnreachable),
        1 => host().prop_map(Step::Die),
    ];
    proptest::collection::vec(step, 1..80)
}

/// A key runs at most once over all hosts, and "not run" is never said of a call that ran.
#[test]
fn calls_at_most_once() {
    let tally = Tally::default();
    fuzz("calls", CASES, &steps(), |steps| {
        let mut world = World::new(tally.clone());
        for step in steps {
            world.apply(step);
        }
    });
    tally.conclude(
        "calls",
        &[
            "claim own",
            "claim held",
            "claim answered",
            "claim refused",
            "platform conflict",
            "platform reply lost",
            "platform times out",
            "platform unreachable",
            "host dies",
            "call answered",
            "call unknown",
            "call not run",
        ],
    );
}
