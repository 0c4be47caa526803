//! Plays hosts before engines, with a request that ends each engine which begins to run it and callers who know nothing of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollyhook_core::{CrashLedger, CrashRecords, RequestDigest};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOSTS: usize = 8;
const ENGINES: usize = 36;
/// Times are in milliseconds.
const TICK: u64 = 10;
const PLAYED: u64 = 40_000;
/// How long until what one host notes is known to all; the store's word comes sooner.
const TOLD_AFTER: u64 = 1_000;
/// How long after the third end all hosts have to act on it.
const CONTACT_BOUND: u64 = 3_000;
/// Sends that are allowed after that.
const MOST_LATE_SENDS: usize = 3;
const MOST_RUNS: u32 = 5;
/// From when an engine begins to run the request until it ends.
const FATAL_AFTER: u64 = 100;
const BACK_AFTER: u64 = 1_500;
const READING: u64 = 1_000;
const RUNNING: u64 = 6_000;
const SURVIVAL: u64 = 1_000;
/// How long callers wait before they come back, at most.
const MOST_PATIENCE: Duration = Duration::from_secs(6);
const NEW_EACH: u64 = 110;
const DEADLY_EACH: u64 = 900;
const DEADLY: u64 = u64::MAX;

/// A client attempt, where it runs now.
struct Attempt {
    request: u64,
    host: usize,
    engine: usize,
    sent_at: u64,
    runs: u32,
}

#[derive(Default)]
struct Engine {
    /// Counts its starts.
    start: u32,
    back_at: u64,
}

/// What became of the callers.
#[derive(Default, Debug)]
struct Outcome {
    served: usize,
    refused: usize,
    failed: usize,
    ends: usize,
    late_sends: usize,
}

/// Where the requests go that an engine took with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Placing {
    /// All to the engine that looks best just then.
    Together,
    /// Each to any engine.
    Apart,
}

struct World {
    placing: Placing,
    rng: Pcg64Mcg,
    now: u64,
    hosts: Vec<CrashLedger>,
    engines: Vec<Engine>,
    running: Vec<Attempt>,
    /// What hosts wrote, by when all others know it.
    written: BTreeMap<u64, CrashRecords>,
    stored: CrashRecords,
    third_end_at: Option<u64>,
    /// Who was told to come back, by when.
    returning: BTreeMap<u64, u64>,
    returned: BTreeSet<u64>,
    outcome: Outcome,
}

fn digest(request: u64) -> RequestDigest {
    RequestDigest::new(&format!("/{request}"), None, b"")
}

impl World {
    fn new(seed: u64, placing: Placing) -> Self {
        Self {
            placing,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            hosts: (0..HOSTS).map(|_| CrashLedger::default()).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            running: Vec::new(),
            written: BTreeMap::new(),
            stored: CrashRecords::new(),
            third_end_at: None,
            returning: BTreeMap::new(),
            returned: BTreeSet::new(),
            outcome: Outcome::default(),
        }
    }

    fn play(mut self) -> Outcome {
        let mut next_request = 0;
        while self.now < PLAYED {
            self.now += TICK;
            self.tell();
            if self.now % NEW_EACH < TICK {
                next_request += 1;
                self.arrive(next_request);
            }
            if self.now > 5_000 && self.now % DEADLY_EACH < TICK {
                self.arrive(DEADLY);
            }
            let back: Vec<u64> = self.returning.range(..=self.now).map(|(at, _)| *at).collect();
            for at in back {
                let request = self.returning.remove(&at).unwrap();
                self.arrive(request);
            }
            self.step();
        }
        self.outcome
    }

    fn arrive(&mut self, request: u64) {
        let host = self.rng.random_range(0..HOSTS);
        let engine = self.pick_engine();
        self.send(request, host, 0, engine);
    }

    /// Sends a request to an engine, if its host does not refuse it.
    fn send(&mut self, request: u64, host: usize, runs: u32, engine: Option<usize>) {
        let is_refused = self.hosts[host].refusal(self.now, &digest(request)).is_some();
        match engine.filter(|_| !is_refused && runs < MOST_RUNS) {
            Some(engine) => self.running.push(Attempt { request, host, engine, sent_at: self.now, runs }),
            None => return self.give_up(request, host, is_refused),
        }
        let is_late = self.third_end_at.is_some_and(|at| self.now > at + CONTACT_BOUND);
        self.outcome.late_sends += usize::from(request == DEADLY && is_late);
    }

    fn pick_engine(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..ENGINES).filter(|engine| self.engines[*engine].back_at <= self.now).collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    fn give_up(&mut self, request: u64, host: usize, is_refused: bool) {
        self.hosts[host].record_given_up(&digest(request));
        if request == DEADLY {
            return;
        }
        // Callers come back once, if they are told to do so within the time that they have.
        let back = self.hosts[host].refusal(self.now, &digest(request)).filter(|back| *back <= MOST_PATIENCE);
        if let Some(back) = back.filter(|_| self.returned.insert(request)) {
            self.returning.insert(self.now + back.as_millis() as u64, request);
        } else {
            self.outcome.refused += usize::from(is_refused);
            self.outcome.failed += usize::from(!is_refused);
        }
    }

    /// Lets hosts write what is to be told, and all hear what was written a while ago.
    fn tell(&mut self) {
        let due: Vec<u64> = self.written.range(..=self.now).map(|(at, _)| *at).collect();
        for at in due {
            let records = self.written.remove(&at).unwrap();
            for host in &mut self.hosts {
                host.merge_stored(self.now, records.clone());
            }
        }
        for host in &self.hosts {
            for (digest, record) in host.records_to_write(true).unwrap_or_default() {
                self.stored.entry(digest).or_default().merge(&record);
                self.written.insert(self.now + TOLD_AFTER, self.stored.clone());
            }
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let is_fatal = |attempt: &Attempt| attempt.request == DEADLY && now >= attempt.sent_at + FATAL_AFTER;
        let fatal: Vec<usize> = self.running.iter().filter(|attempt| is_fatal(attempt)).map(|it| it.engine).collect();
        for engine in fatal {
            self.end_engine(engine);
        }
        let done = self.running.extract_if(.., |attempt| now >= attempt.sent_at + READING + RUNNING);
        let done: Vec<Attempt> = done.collect();
        for attempt in done {
            self.hosts[attempt.host].record_survival(now, &digest(attempt.request));
            self.outcome.served += 1;
        }
    }

    fn end_engine(&mut self, engine: usize) {
        let lost: Vec<Attempt> = self.running.extract_if(.., |attempt| attempt.engine == engine).collect();
        if lost.is_empty() {
            return;
        }
        let name = format!("{engine}-{}", self.engines[engine].start);
        self.engines[engine] = Engine { start: self.engines[engine].start + 1, back_at: self.now + BACK_AFTER };
        self.outcome.ends += 1;
        if self.outcome.ends == 3 {
            self.third_end_at = Some(self.now);
        }
        let best = self.pick_engine();
        for attempt in lost {
            let digest = digest(attempt.request);
            if self.now < attempt.sent_at + READING + SURVIVAL {
                self.hosts[attempt.host].record_crash(self.now, digest, name.as_str().into());
            } else {
                self.hosts[attempt.host].record_survival(self.now, &digest);
            }
            let engine = if self.placing == Placing::Together { best } else { self.pick_engine() };
            self.send(attempt.request, attempt.host, attempt.runs + 1, engine);
        }
    }
}

/// Nine callers a second before 36 engines, and one request that ends each of them and comes again each second at any host.
///
/// It is stopped within the contact bound; nobody else is refused.
#[test]
fn deadly_request_stopped_others_served() {
    for seed in 0..40 {
        let outcome = World::new(seed, Placing::Apart).play();
        assert!(outcome.late_sends <= MOST_LATE_SENDS, "seed {seed}: {outcome:?}");
        assert!(outcome.ends <= 12, "seed {seed}: {outcome:?}");
        assert_eq!((outcome.refused, outcome.failed), (0, 0), "seed {seed}: {outcome:?}");
        assert!(outcome.served > 250, "seed {seed}: {outcome:?}");
    }
}

/// Placed together, what did no harm follows the request that ends engines, and some of it is refused with it.
#[test]
fn followers_of_deadly_request_refused_with_it() {
    let refused: usize = (0..40).map(|seed| World::new(seed, Placing::Together).play().refused).sum();
    assert!(refused > 0);
}
