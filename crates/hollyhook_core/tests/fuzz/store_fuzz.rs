//! Simulates a store that is restored from older copies of itself, and the hosts of a zone that read it or follow
//! others.

use std::collections::BTreeMap;
use std::panic::catch_unwind;

use hollyhook_core::{EraTracker, EraVerdict, FeedChange, FeedLog, FeedUpdate, Name, StoreRevision, TimePoint};
use proptest::prelude::*;

use crate::harness::{Tally, fuzz};

/// Two leaders, a relay that asks them, and two followers that ask the relay or a leader; those that don't lead
/// sometimes ask the store.
const HOSTS: usize = 5;
const LEADERS: usize = 2;
const OBJECTS: u8 = 4;
/// Rounds, in which every host asks once, after which all hosts must agree with the store: two to detect a new era and
/// read a list, and one for each host that passes it on.
const SETTLING_ROUNDS: usize = 6;

/// A rule of the hosts that is left out, to check that the assertions detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// Changes from a watch are applied even if their era differs from that of the revision asked from.
    WatchAcrossEras,
    /// Updates of an older era are applied.
    UpdateOfOlderEra,
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8, u32),
    Remove(u8),
    Copy,
    /// Restores the store from one of the copies, followed at once by a number of writes.
    Restore(usize, u8),
    DropHistory,
    /// A host asks the store or another host; the answer is in flight.
    Ask(usize, usize),
    /// The answer in flight arrives, or is lost.
    Arrive(usize, bool),
    /// A host sees the store's era on another connection.
    SeeEra(usize),
}

#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    oldest: u64,
    objects: BTreeMap<Name, u32>,
    changes: Vec<(u64, FeedChange<u32>)>,
}

impl Store {
    fn change(&mut self, name: u8, object: Option<u32>) {
        let name: Name = name.to_string().into();
        self.revision += 1;
        match object {
            Some(value) => self.objects.insert(Name::clone(&name), value),
            None => self.objects.remove(&name),
        };
        self.changes.push((self.revision, FeedChange { name, object }));
    }

    /// The answer to a watch from a revision, or to a list without one; `None` if the history from there is dropped.
    fn answer(&self, after: Option<u64>) -> Option<FeedUpdate<u32>> {
        let changes = match after {
            Some(after) if after > self.revision || after < self.oldest => return None,
            Some(after) => {
                self.changes.iter().filter(|(at, _)| *at > after).map(|(_, change)| change.clone()).collect()
            }
            None => {
                let all = self.objects.iter();
                all.map(|(name, value)| FeedChange { name: Name::clone(name), object: Some(*value) }).collect()
            }
        };
        let revision = StoreRevision::new(self.era, self.revision);
        let confirmed_until = TimePoint::ZERO;
        Some(FeedUpdate {
            is_snapshot: after.is_none(),
            changes,
            revision,
            confirmed_until,
            grace_start: None,
            hops: 0,
        })
    }
}

#[derive(Default)]
struct Host {
    log: FeedLog<u32>,
    eras: EraTracker,
    revision: Option<StoreRevision>,
    /// The objects as the host knows them.
    view: BTreeMap<Name, u32>,
    /// The answer in flight, if the host waits for one.
    pending: Option<Answer>,
}

struct Answer {
    is_of_store: bool,
    asked_from: Option<StoreRevision>,
    /// `None` if the history is dropped, or the asked host must not pass its copy on.
    update: Option<FeedUpdate<u32>>,
}

struct Simulation {
    defect: Defect,
    store: Store,
    copies: Vec<Store>,
    hosts: Vec<Host>,
}

impl Simulation {
    fn new(defect: Defect) -> Self {
        let store = Store { era: 1, revision: 1, ..Store::default() };
        let hosts = (0..HOSTS).map(|_| Host::default()).collect();
        Self { defect, copies: vec![store.clone()], store, hosts }
    }

    fn step(&mut self, step: &Step, tally: &Tally) {
        match step {
            Step::Write(name, value) => self.store.change(*name, Some(*value)),
            Step::Remove(name) => self.store.change(*name, None),
            Step::Copy => self.copies.push(self.store.clone()),
            Step::Restore(copy, writes) => {
                tally.count("restored");
                let era = self.store.era + 1;
                self.store = Store { era, ..self.copies[copy % self.copies.len()].clone() };
                for number in 0..*writes {
                    self.store.change(number % OBJECTS, Some(1_000 * era as u32 + u32::from(number)));
                }
            }
            Step::DropHistory => self.store.oldest = self.store.revision,
            Step::Ask(host, source) => self.ask(*host, *source),
            Step::Arrive(host, is_lost) => self.arrive(*host, *is_lost, tally),
            Step::SeeEra(host) => _ = self.hosts[*host].eras.observe(Some(self.store.era)),
        }
    }

    /// Sends a host's request to the store, which leaders always ask, or to a host before it in the chain.
    fn ask(&mut self, host: usize, source: usize) {
        let asked_from = self.hosts[host].revision;
        if self.hosts[host].pending.is_some() {
            return;
        }
        let is_of_store = host < LEADERS || source.is_multiple_of(4);
        let update = if is_of_store {
            let era = self.hosts[host].eras.era();
            let is_same_era = |from: &StoreRevision| self.defect == Defect::WatchAcrossEras || from.era == era;
            self.store.answer(asked_from.filter(is_same_era).map(|from| from.number))
        } else {
            let peer = if host == LEADERS { source % LEADERS } else { source % (LEADERS + 1) };
            self.hosts[peer].log.update_after(asked_from)
        };
        self.hosts[host].pending = Some(Answer { is_of_store, asked_from, update });
    }

    fn arrive(&mut self, host: usize, is_lost: bool, tally: &Tally) {
        let defect = self.defect;
        let host = &mut self.hosts[host];
        let Some(answer) = host.pending.take().filter(|_| !is_lost) else {
            return;
        };
        let Some(mut update) = answer.update else {
            // If the history is dropped, all objects are read again; a host that refuses is skipped.
            if answer.is_of_store {
                tally.count("history_gone");
                host.revision = None;
            }
            return;
        };
        let before = host.eras.era();
        if host.eras.observe(Some(update.revision.era)) == EraVerdict::Older && defect != Defect::UpdateOfOlderEra {
            tally.count("older_refused");
            return;
        }
        let is_across = answer.asked_from.is_some_and(|from| from.era != update.revision.era);
        if answer.is_of_store && !update.is_snapshot && is_across && defect != Defect::WatchAcrossEras {
            tally.count("watch_across_eras");
            host.revision = None;
            return;
        }
        if !answer.is_of_store {
            update.hops += 1;
        }
        if update.revision.era > before && before > 0 {
            tally.count(if answer.is_of_store { "era_from_store" } else { "era_from_host" });
        }
        let is_older = host.revision.is_some_and(|known| update.revision < known);
        assert!(
            !is_older || update.revision.era >= host.eras.era(),
            "an update of an older era replaces newer objects"
        );
        host.apply(&update);
    }

    /// Lets all hosts ask without further changes, then checks that they agree with the store.
    fn settle(&mut self, tally: &Tally) {
        for _ in 0..SETTLING_ROUNDS {
            for host in 0..HOSTS {
                self.arrive(host, false, tally);
                self.ask(host, 1);
                self.arrive(host, false, tally);
            }
        }
        for (number, host) in self.hosts.iter().enumerate() {
            assert_eq!(host.view, self.store.objects, "host {number} differs from the store");
        }
    }
}

impl Host {
    fn apply(&mut self, update: &FeedUpdate<u32>) {
        if update.is_snapshot {
            self.view.clear();
        }
        for change in &update.changes {
            match change.object {
                Some(value) => self.view.insert(Name::clone(&change.name), value),
                None => self.view.remove(&change.name),
            };
        }
        self.revision = self.revision.max(Some(update.revision));
        self.log.apply(update);
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..OBJECTS, 0..100_u32).prop_map(|(name, value)| Step::Write(name, value)),
        2 => (0..OBJECTS).prop_map(Step::Remove),
        1 => Just(Step::Copy),
        1 => (any::<usize>(), 0..12_u8).prop_map(|(copy, writes)| Step::Restore(copy, writes)),
        1 => Just(Step::DropHistory),
        6 => (0..HOSTS, any::<usize>()).prop_map(|(host, source)| Step::Ask(host, source)),
        6 => (0..HOSTS, proptest::bool::weighted(0.1)).prop_map(|(host, is_lost)| Step::Arrive(host, is_lost)),
        1 => (0..HOSTS).prop_map(Step::SeeEra),
    ]
}

fn run(defect: Defect, cases: u32, tally: &Tally) {
    fuzz("store restored from an older copy", cases, &proptest::collection::vec(step(), 1..80), |steps| {
        let mut simulation = Simulation::new(defect);
        for step in &steps {
            simulation.step(step, tally);
        }
        simulation.settle(tally);
    });
}

/// Whatever is lost, late or passed on by other hosts: no update of an older era replaces newer objects, and in the end
/// all hosts agree with the store.
#[test]
fn hosts_agree_with_store() {
    let tally = Tally::default();
    run(Defect::None, 2_000, &tally);
    let needed = ["restored", "history_gone", "older_refused", "watch_across_eras", "era_from_store", "era_from_host"];
    tally.assert_covered("store restored from an older copy", &needed);
}

/// The assertions detect when either rule that separates eras is left out.
#[test]
fn defects_detected() {
    for defect in [Defect::WatchAcrossEras, Defect::UpdateOfOlderEra] {
        let result = catch_unwind(|| run(defect, 2_000, &Tally::default()));
        assert!(result.is_err(), "{defect:?} is not detected");
    }
}
