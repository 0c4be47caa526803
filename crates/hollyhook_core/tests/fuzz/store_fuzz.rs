//! A store that comes back from older copies of itself, the hosts of a zone that read it, and those that are told.

use std::collections::BTreeMap;
use std::panic::catch_unwind;

use hollyhook_core::{EraTracker, EraVerdict, FeedChange, FeedLog, FeedUpdate, Name, StoreRevision, TimePoint};
use proptest::prelude::*;

use crate::harness::{Tally, fuzz};

/// Two leaders, a relay that asks them, and two that ask the relay, a leader or the store.
const HOSTS: usize = 5;
const LEADERS: usize = 2;
const OBJECTS: u8 = 4;
/// Rounds in which every host asks once, after which all know what the store holds: two to notice a new era and list, and
/// one for each host on the way.
const SETTLING_ROUNDS: usize = 6;

/// A rule of the reader that is left out, to see that it is missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// Watches are believed whatever era their answer is of.
    WatchAcrossEras,
    /// Other hosts are believed whatever era they tell of.
    HearsayOfOldEra,
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8, u32),
    Remove(u8),
    Copy,
    /// Comes back from one of the copies, with so many writes in the same moment.
    Restore(usize, u8),
    ForgetHistory,
    /// A host asks the store or another host; the answer is on its way.
    Ask(usize, usize),
    /// The answer arrives, or is lost.
    Arrive(usize, bool),
    /// A host hears of the store's era on another connection.
    HearEra(usize),
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

    /// A watch from a revision, or a list; none for a history that is gone.
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
        Some(FeedUpdate { is_snapshot: after.is_none(), changes, revision, confirmed_until, grace_start: None, hops: 0 })
    }
}

#[derive(Default)]
struct Host {
    log: FeedLog<u32>,
    eras: EraTracker,
    revision: Option<StoreRevision>,
    /// What it believes.
    view: BTreeMap<Name, u32>,
    /// The answer that is on its way, to a question from a revision.
    coming: Option<Answer>,
}

struct Answer {
    is_of_store: bool,
    asked_from: Option<StoreRevision>,
    /// None if there is nothing to tell.
    news: Option<FeedUpdate<u32>>,
}

struct World {
    defect: Defect,
    store: Store,
    copies: Vec<Store>,
    hosts: Vec<Host>,
}

impl World {
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
            Step::ForgetHistory => self.store.oldest = self.store.revision,
            Step::Ask(host, source) => self.ask(*host, *source),
            Step::Arrive(host, is_lost) => self.arrive(*host, *is_lost, tally),
            Step::HearEra(host) => _ = self.hosts[*host].eras.observe(Some(self.store.era)),
        }
    }

    /// A host asks the one before it in the chain of those that tell, or the store: leaders always the store.
    fn ask(&mut self, host: usize, source: usize) {
        let asked_from = self.hosts[host].revision;
        if self.hosts[host].coming.is_some() {
            return;
        }
        let is_of_store = host < LEADERS || source.is_multiple_of(4);
        let news = if is_of_store {
            let era = self.hosts[host].eras.era();
            let is_same_era = |from: &StoreRevision| self.defect == Defect::WatchAcrossEras || from.era == era;
            self.store.answer(asked_from.filter(is_same_era).map(|from| from.number))
        } else {
            let teller = if host == LEADERS { source % LEADERS } else { source % (LEADERS + 1) };
            self.hosts[teller].log.update_after(asked_from)
        };
        self.hosts[host].coming = Some(Answer { is_of_store, asked_from, news });
    }

    fn arrive(&mut self, host: usize, is_lost: bool, tally: &Tally) {
        let defect = self.defect;
        let host = &mut self.hosts[host];
        let Some(answer) = host.coming.take().filter(|_| !is_lost) else {
            return;
        };
        let Some(mut news) = answer.news else {
            // History that is gone is read again; a host that may not tell is passed over.
            if answer.is_of_store {
                tally.count("history_gone");
                host.revision = None;
            }
            return;
        };
        let before = host.eras.era();
        if host.eras.observe(Some(news.revision.era)) == EraVerdict::Older && defect != Defect::HearsayOfOldEra {
            tally.count("older_refused");
            return;
        }
        let is_across = answer.asked_from.is_some_and(|from| from.era != news.revision.era);
        if answer.is_of_store && !news.is_snapshot && is_across && defect != Defect::WatchAcrossEras {
            tally.count("watch_across_eras");
            host.revision = None;
            return;
        }
        if !answer.is_of_store {
            news.hops += 1;
        }
        if news.revision.era > before && before > 0 {
            tally.count(if answer.is_of_store { "era_from_store" } else { "era_from_host" });
        }
        let is_older = host.revision.is_some_and(|known| news.revision < known);
        assert!(!is_older || news.revision.era >= host.eras.era(), "news of an older era replace newer ones");
        host.take(&news);
    }

    /// Nothing else happens, and all ask.
    fn settle(&mut self, tally: &Tally) {
        for _ in 0..SETTLING_ROUNDS {
            for host in 0..HOSTS {
                self.arrive(host, false, tally);
                self.ask(host, 1);
                self.arrive(host, false, tally);
            }
        }
        for (number, host) in self.hosts.iter().enumerate() {
            assert_eq!(host.view, self.store.objects, "host {number} believes something else than the store holds");
        }
    }
}

impl Host {
    fn take(&mut self, news: &FeedUpdate<u32>) {
        if news.is_snapshot {
            self.view.clear();
        }
        for change in &news.changes {
            match change.object {
                Some(value) => self.view.insert(Name::clone(&change.name), value),
                None => self.view.remove(&change.name),
            };
        }
        self.revision = self.revision.max(Some(news.revision));
        self.log.apply(news);
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..OBJECTS, 0..100_u32).prop_map(|(name, value)| Step::Write(name, value)),
        2 => (0..OBJECTS).prop_map(Step::Remove),
        1 => Just(Step::Copy),
        1 => (any::<usize>(), 0..12_u8).prop_map(|(copy, writes)| Step::Restore(copy, writes)),
        1 => Just(Step::ForgetHistory),
        6 => (0..HOSTS, any::<usize>()).prop_map(|(host, source)| Step::Ask(host, source)),
        6 => (0..HOSTS, proptest::bool::weighted(0.1)).prop_map(|(host, is_lost)| Step::Arrive(host, is_lost)),
        1 => (0..HOSTS).prop_map(Step::HearEra),
    ]
}

fn play(defect: Defect, cases: u32, tally: &Tally) {
    fuzz("store that comes back older", cases, &proptest::collection::vec(step(), 1..80), |steps| {
        let mut world = World::new(defect);
        for step in &steps {
            world.step(step, tally);
        }
        world.settle(tally);
    });
}

/// Whatever is lost, late or told by others: nothing of an older era replaces what is newer, and all agree with the store in
/// the end.
#[test]
fn hosts_agree_with_store_in_the_end() {
    let tally = Tally::default();
    play(Defect::None, 2_000, &tally);
    let needed = ["restored", "history_gone", "older_refused", "watch_across_eras", "era_from_store", "era_from_host"];
    tally.conclude("store that comes back older", &needed);
}

/// The checks miss neither of the rules that keep eras apart.
#[test]
fn defects_found() {
    for defect in [Defect::WatchAcrossEras, Defect::HearsayOfOldEra] {
        let found = catch_unwind(|| play(defect, 2_000, &Tally::default()));
        assert!(found.is_err(), "{defect:?} is not found");
    }
}
