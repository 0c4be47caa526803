use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::send_leases::SendLeases;
use super::slot_leases::SlotLeases;
use super::{CONTACT_TIME, LEASE_TIME, LeaseCandidate, LeaseQuestion, LeasedLimit};
use crate::{EndpointId, Name, TimePoint};

/// Questions in a row that an owner leaves unanswered before it counts as silent: a single message may be lost.
const SILENT_FROM: u32 = 2;
/// How often a silent owner is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How long an owner is suspected after this host was last asked to take its place.
const SUSPICION_TIME: Duration = Duration::from_secs(2);

/// What this host has leased, and the questions that are under way.
#[derive(Debug, Default)]
pub(crate) struct LeaseBook {
    services: BTreeMap<Name, ServiceLeases>,
    silent: BTreeMap<Name, OwnerSilence>,
    rounds: u64,
}

#[derive(Debug, Default)]
struct ServiceLeases {
    slots: SlotLeases,
    sends: SendLeases,
}

/// The questions that an owner has left unanswered since its last answer.
#[derive(Debug, Default)]
struct OwnerSilence {
    /// When the first of them failed.
    since: TimePoint,
    unanswered: u32,
    probe_at: TimePoint,
    /// When this host was last asked to take the owner's place.
    suspected_at: Option<TimePoint>,
}

impl OwnerSilence {
    fn is_suspect(&self, now: TimePoint) -> bool {
        self.suspected_at.is_some_and(|at| now.since(at) < SUSPICION_TIME)
    }
}

impl LeaseBook {
    /// Records that a request waits for a slot or a send.
    pub(crate) fn record_wait(&mut self, now: TimePoint, service: &Name) {
        let leases = self.entry(service);
        leases.slots.record_wait(now);
        leases.sends.record_wait(now);
    }

    pub(crate) fn record_open(&mut self, now: TimePoint, service: &Name, open: u32) {
        self.entry(service).slots.record_open(now, open);
    }

    pub(crate) fn count_send(&mut self, now: TimePoint, service: &Name) {
        self.entry(service).sends.count_send(now);
    }

    /// The slots of an endpoint that this host has leased.
    pub(crate) fn slots(&self, now: TimePoint, service: &str, endpoint: &str) -> u32 {
        self.services.get(service).map_or(0, |leases| leases.slots.count(now, endpoint))
    }

    /// Whether the answer to a question about an endpoint's slots is late.
    pub(crate) fn is_slot_answer_late(&self, now: TimePoint, service: &str, endpoint: &str) -> bool {
        self.services.get(service).is_some_and(|leases| leases.slots.is_late(now, endpoint))
    }

    /// The endpoints of a service about whose sends the answer to a question is late.
    pub(crate) fn late_sends(&self, now: TimePoint, service: &str) -> Vec<EndpointId> {
        let leases = self.services.get(service);
        leases.map(|leases| leases.sends.late(now).cloned().collect()).unwrap_or_default()
    }

    /// Whether an owner does not answer, so that hosts do without leases of its limits.
    pub(crate) fn is_silent(&self, owner: &Name) -> bool {
        self.silent.get(owner).is_some_and(|silence| silence.unanswered >= SILENT_FROM)
    }

    /// Records that this host was asked to take an owner's place.
    pub(crate) fn suspect(&mut self, now: TimePoint, owner: &Name) {
        self.silent.entry(Name::clone(owner)).or_default().suspected_at = Some(now);
    }

    /// Whether this host has to find out whether an owner is lost.
    pub(crate) fn has_suspects(&self, now: TimePoint) -> bool {
        self.silent.values().any(|silence| silence.is_suspect(now))
    }

    /// The owners that are due to be probed; the probes count as sent.
    pub(crate) fn take_due_probes(&mut self, now: TimePoint) -> Vec<Name> {
        let is_wanted = |silence: &OwnerSilence| silence.unanswered >= SILENT_FROM || silence.is_suspect(now);
        let due = self.silent.iter_mut().filter(|(_, silence)| now >= silence.probe_at && is_wanted(silence));
        let probe = |(owner, silence): (&Name, &mut OwnerSilence)| {
            silence.probe_at = now + PROBE_INTERVAL;
            Name::clone(owner)
        };
        due.map(probe).collect()
    }

    /// Whether an owner has been silent for so long that no lease of it is in force, and that it leases no more than its
    /// equal part to itself unless other hosts reach it.
    pub(crate) fn is_lost(&self, now: TimePoint, owner: &Name) -> bool {
        let is_lost = |silence: &OwnerSilence| now.since(silence.since) >= CONTACT_TIME + LEASE_TIME;
        self.is_silent(owner) && self.silent.get(owner).is_some_and(is_lost)
    }

    /// The services with requests that wait, or leases that are held or asked for.
    pub(crate) fn active(&self, now: TimePoint) -> impl Iterator<Item = &Name> {
        let is_active = move |leases: &ServiceLeases| leases.slots.is_active(now) || leases.sends.is_active(now);
        self.services.iter().filter(move |(_, leases)| is_active(leases)).map(|(service, _)| service)
    }

    /// Whether an owner may still lease a send to a request of this service.
    pub(crate) fn may_lease_send(&self, now: TimePoint, service: &str, candidates: &[LeaseCandidate]) -> bool {
        let candidates = of_kind(candidates, false);
        match self.services.get(service) {
            Some(leases) => leases.sends.may_be_leased(now, &candidates),
            None => candidates.iter().any(|known| known.is_usable),
        }
    }

    /// The questions that are due about a service's endpoints, by their owners.
    pub(crate) fn questions(
        &mut self,
        now: TimePoint,
        service: &Name,
        candidates: &[LeaseCandidate],
        rng: &mut impl Rng,
    ) -> BTreeMap<Name, Vec<LeaseQuestion>> {
        let (slots, sends) = (of_kind(candidates, true), of_kind(candidates, false));
        let mut questions: BTreeMap<Name, Vec<LeaseQuestion>> = BTreeMap::new();
        let booked = self.entry(service);
        for (known, plan) in
            [(&slots, booked.slots.plan(now, &slots, rng)), (&sends, booked.sends.plan(now, &sends, rng))]
        {
            for (endpoint, wanted) in plan {
                let Some(candidate) = known.iter().find(|candidate| candidate.id == endpoint) else {
                    continue;
                };
                let question = LeaseQuestion { endpoint, limit: candidate.limit, wanted };
                questions.entry(Name::clone(&candidate.owner)).or_default().push(question);
            }
        }
        questions
    }

    /// The number of the next round.
    pub(crate) fn next_round(&mut self) -> u64 {
        self.rounds += 1;
        self.rounds
    }

    /// Records the answer to a question of `asked_at`; `None` if there was none.
    pub(crate) fn record(
        &mut self,
        now: TimePoint,
        asked_at: TimePoint,
        service: &Name,
        question: &LeaseQuestion,
        leased: Option<u32>,
    ) {
        let booked = self.entry(service);
        match question.limit {
            LeasedLimit::Slots(_) => booked.slots.record(now, asked_at, &question.endpoint, leased),
            LeasedLimit::Rate(_) => booked.sends.record(now, &question.endpoint, leased),
        }
    }

    /// Records whether an owner answered.
    pub(crate) fn record_contact(&mut self, now: TimePoint, owner: &Name, is_answered: bool) {
        if is_answered {
            self.silent.remove(owner);
            return;
        }
        let silence = self.silent.entry(Name::clone(owner)).or_default();
        if silence.unanswered == 0 {
            silence.since = now;
        }
        silence.unanswered += 1;
        silence.probe_at = now + PROBE_INTERVAL;
    }

    fn entry(&mut self, service: &Name) -> &mut ServiceLeases {
        if !self.services.contains_key(service) {
            self.services.insert(Name::clone(service), ServiceLeases::default());
        }
        self.services.get_mut(service).expect("the service was just inserted")
    }
}

/// The candidates whose slots are leased, or those whose sends are.
fn of_kind(candidates: &[LeaseCandidate], is_slots: bool) -> Vec<LeaseCandidate> {
    let is_kind = |known: &&LeaseCandidate| matches!(known.limit, LeasedLimit::Slots(_)) == is_slots;
    candidates.iter().filter(is_kind).cloned().collect()
}
