//! Fuzzes hosts that claim idempotency keys in one platform and call one service, with lost replies, time-outs, outages
//! and host crashes.

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
    /// A caller sends a call with a key to a host.
    Request { host: usize, key: usize },
    /// The host's pending call to the platform takes effect and is answered.
    Platform(usize),
    /// The pending call takes effect, but its reply is lost.
    PlatformReplyLost(usize),
    /// The pending call fails at once without reaching the platform.
    PlatformUnreachable(usize),
    /// The pending call times out without reaching the platform, which the host can't distinguish from a lost reply.
    PlatformTimesOut(usize),
    /// The host's claim timer fires.
    Timer(usize),
    /// The next call with a granted claim is sent to the service and answered.
    Service(usize),
    /// The next granted call runs, but its reply is lost.
    ServiceReplyLost(usize),
    /// The next granted call runs, but the caller's deadline passes before the reply.
    ServiceTooLate(usize),
    /// The connection for the next granted call can't be made.
    ServiceUnreachable(usize),
    /// The host crashes and loses all its state; a new host takes its place.
    Crash(usize),
}

#[derive(Debug)]
struct Call {
    record: ClaimRecord,
    guard: CallGuard,
    /// Whether the claim is granted and the call has not been sent to the service yet.
    is_sending: bool,
}

struct Host {
    shard: ClaimShard,
    /// The pending call to the platform, at most one.
    pending: VecDeque<ClaimAction>,
    calls: BTreeMap<Name, Call>,
}

impl Default for Host {
    fn default() -> Self {
        let policy = ClaimPolicy { max_conflicts: 3, ..ClaimPolicy::default() };
        Self { shard: ClaimShard::new(policy), pending: VecDeque::new(), calls: BTreeMap::new() }
    }
}

/// How often the service executed calls with one key.
#[derive(Debug, Default)]
struct KeyExecutions {
    total: u32,
    by_claim: BTreeMap<Name, u32>,
}

struct ClaimSimulation {
    hosts: Vec<Host>,
    ledger: ClaimLedger,
    version: Option<u64>,
    executions: Vec<KeyExecutions>,
    claims: u64,
    tally: Tally,
}

impl ClaimSimulation {
    fn new(tally: Tally) -> Self {
        Self {
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            ledger: ClaimLedger::default(),
            version: None,
            executions: (0..KEYS).map(|_| KeyExecutions::default()).collect(),
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
            Step::Timer(host) => self.handle(host, ClaimEvent::TimerFired),
            Step::Service(host) => self.service(host, true, Some(CallEvent::Answered)),
            Step::ServiceReplyLost(host) => self.service(host, true, Some(CallEvent::ConnectionLost)),
            Step::ServiceTooLate(host) => self.service(host, true, Some(CallEvent::DeadlinePassed)),
            Step::ServiceUnreachable(host) => self.service(host, false, None),
            Step::Crash(host) => {
                self.tally.count("host dies");
                self.hosts[host] = Host::default();
            }
        }
        for (key, executions) in self.executions.iter().enumerate() {
            assert!(executions.total <= 1, "key {key} ran {} times", executions.total);
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
        self.handle(host, ClaimEvent::Submitted(ClaimCommand::Claim(record)));
    }

    fn handle(&mut self, host: usize, event: ClaimEvent) {
        for action in self.hosts[host].shard.on(1_000, event) {
            match action {
                ClaimAction::Put { .. } | ClaimAction::Load => {
                    self.hosts[host].pending.push_back(action);
                    assert_eq!(self.hosts[host].pending.len(), 1, "more than one call to the platform at a time");
                }
                ClaimAction::Resolve { claim, verdict } => self.resolve(host, &claim, &verdict),
                ClaimAction::Refuse { claim, .. } => {
                    self.tally.count("claim refused");
                    self.answer_not_run(host, &claim);
                }
                ClaimAction::SetTimer { .. } => {}
            }
        }
    }

    /// Answers a call with "not run"; no attempt at this call may have run.
    fn answer_not_run(&mut self, host: usize, claim: &Name) {
        let call = self.hosts[host].calls.remove(claim).expect("a claim is resolved or refused once");
        assert!(!call.guard.was_sent());
        assert_eq!(self.executions_of(&call.record), 0, "a call reported as not run was executed");
    }

    fn executions_of(&self, record: &ClaimRecord) -> u32 {
        let executions = &self.executions[record.key.parse::<usize>().unwrap()];
        executions.by_claim.get(&record.claim).copied().unwrap_or_default()
    }

    fn resolve(&mut self, host: usize, claim: &Name, verdict: &ClaimVerdict) {
        match verdict {
            ClaimVerdict::Own => {
                self.tally.count("claim own");
                let call = self.hosts[host].calls.get_mut(claim).expect("a claim is resolved or refused once");
                let action = call.guard.on(TimePoint::ZERO, CallEvent::Started);
                assert!(matches!(action, Some(CallAction::Assign { .. })));
                call.guard.on(TimePoint::ZERO, CallEvent::Assigned { endpoint: EndpointId::from("s") });
                call.is_sending = true;
            }
            ClaimVerdict::Held(held) => {
                self.tally.count(if held.answer.is_some() { "claim answered" } else { "claim held" });
                self.hosts[host].calls.remove(claim).expect("a claim is resolved or refused once");
            }
            ClaimVerdict::Free | ClaimVerdict::Reused => panic!("{verdict:?}"),
        }
    }

    /// Completes the host's pending call to the platform; without `arrives` the call has no effect, with
    /// `is_unanswered` the host gets no reply.
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
        self.handle(host, event);
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

    /// Sends the next granted call to the service, which runs the call and reports `outcome`; otherwise the connection
    /// fails.
    fn service(&mut self, host: usize, runs: bool, outcome: Option<CallEvent>) {
        let Some(call) = self.hosts[host].calls.values_mut().find(|call| call.is_sending) else {
            return;
        };
        call.is_sending = false;
        let record = call.record.clone();
        if !runs {
            // No other endpoint is left to retry at.
            call.guard.on(TimePoint::ZERO, CallEvent::ConnectFailed);
            let action = call.guard.on(TimePoint::ZERO, CallEvent::Unassigned);
            assert_eq!(action, Some(CallAction::Finish(CallOutcome::NotRun)));
            self.tally.count("call not run");
            self.answer_not_run(host, &record.claim);
            return self.handle(host, ClaimEvent::Submitted(ClaimCommand::Release(record)));
        }
        call.guard.on(TimePoint::ZERO, CallEvent::Sending);
        let action = call.guard.on(TimePoint::ZERO, outcome.unwrap());
        let executions = &mut self.executions[record.key.parse::<usize>().unwrap()];
        executions.total += 1;
        *executions.by_claim.entry(Name::clone(&record.claim)).or_default() += 1;
        self.hosts[host].calls.remove(&record.claim);
        match action {
            Some(CallAction::Finish(CallOutcome::Answered)) => {
                self.tally.count("call answered");
                let mut record = record;
                record.answer =
                    Some(hollyhook_core::ClaimAnswer { status: 200, content_type: "".into(), body: "".into() });
                self.handle(host, ClaimEvent::Submitted(ClaimCommand::Answer(record)));
            }
            Some(CallAction::Finish(CallOutcome::Unknown)) => self.tally.count("call unknown"),
            other => panic!("a call that was sent must end as answered or unknown, not {other:?}"),
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
        1 => host().prop_map(Step::Crash),
    ];
    proptest::collection::vec(step, 1..80)
}

/// Calls with the same key run at most once over all hosts, and a call that ran is never reported as not run.
#[test]
fn calls_at_most_once() {
    let tally = Tally::default();
    fuzz("calls", CASES, &steps(), |steps| {
        let mut simulation = ClaimSimulation::new(tally.clone());
        for step in steps {
            simulation.apply(step);
        }
    });
    tally.assert_covered(
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
