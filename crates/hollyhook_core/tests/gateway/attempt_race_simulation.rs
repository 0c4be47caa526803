//! Simulates streams at several hosts whose engines pause, crash, die silently, stall, and lose single connections.
//!
//! Guards against taking an engine that has only paused for a lost one: streams that end while an engine would go on,
//! and runs that are begun again at engines that have paused as well.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollyhook_core::{AttemptKey, AttemptRace, EndpointRecord, EndpointTable, RetryWindow, StopReason};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::simulated_engine::{CopyStart, EVENT_GAP, EngineState, RunSignal, SimulatedEngine, at};
use super::simulated_stream::{MAX_RUNS, SERVICE, SimulatedHost, SimulatedStream, StreamWorld, endpoint_id};

/// Length of a simulation step, in milliseconds, as are all times here.
const TICK: u64 = 5;
const HOSTS: usize = 3;
const ENGINES: usize = 9;
const STREAMS: usize = 24;
const ZONES: usize = 3;
/// How long the entry of an engine that has ended stays in the store.
const ENTRY_LIFETIME: u64 = 3_000;
/// The number of the last event of a stream.
const LAST_EVENT: u64 = 140;
/// When each stream has had events, and the faults of the directed cases begin.
const FAULT_AT: u64 = 2_500;
/// The longest interruption by an engine that falls silent alone: 0.3 s until it is probed, 0.15 s for the probe, and
/// the rest for the resume at another engine.
const MAX_SILENT_GAP: u64 = 570;
/// How long two engines may work on the same stream.
const MAX_OVERLAP: u64 = 400;
/// The longest interruption by a reset connection.
const MAX_RESET_GAP: u64 = 100;

/// Spans of pauses.
const SPANS: [u64; 5] = [300, 700, 1_200, 1_900, 2_500];

/// What happens to engines.
#[derive(Debug, Clone)]
enum EngineFault {
    /// These engines pause for this long.
    Pause(Vec<usize>, u64),
    Crash(usize),
    Die(usize),
    LoseLink(usize, usize),
    Stall(usize, usize),
    /// What this engine sends arrives this much later, while it works on.
    HoldUp(usize, u64),
}

struct Simulation {
    seed: u64,
    now: u64,
    rng: Pcg64Mcg,
    hosts: Vec<SimulatedHost>,
    engines: Vec<SimulatedEngine>,
    streams: Vec<SimulatedStream>,
    /// When the streams arrive.
    arrivals: Vec<u64>,
    faults: Vec<(u64, EngineFault)>,
    /// When the entries of engines that have ended are removed.
    removals: Vec<(u64, usize)>,
    /// For how long several engines have worked on a stream.
    overlaps: Vec<u64>,
}

impl Simulation {
    /// `streams` streams that arrive within the first second, with these retries in ten seconds.
    fn new(seed: u64, streams: usize, retries: u32) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|host| SimulatedHost {
            table: endpoint_table(host),
            retries: RetryWindow::new(Duration::from_secs(10), 0.0, retries),
        });
        Self {
            seed,
            now: 0,
            hosts: hosts.collect(),
            engines: (0..ENGINES).map(|_| SimulatedEngine::new()).collect(),
            streams: (0..streams).map(new_stream).collect(),
            arrivals: (0..streams).map(|_| rng.random_range(0..1_000)).collect(),
            faults: Vec::new(),
            removals: Vec::new(),
            overlaps: vec![0; streams],
            rng,
        }
    }

    fn with_faults(mut self, faults: impl IntoIterator<Item = (u64, EngineFault)>) -> Self {
        self.faults = faults.into_iter().collect();
        self
    }

    fn with_copy_start(mut self, start: CopyStart) -> Self {
        self.engines = (0..ENGINES).map(|_| SimulatedEngine::with_copy_start(start)).collect();
        self
    }

    /// Runs until all streams have ended.
    fn run(mut self) -> Self {
        while self.streams.iter().any(|stream| stream.outcome.is_none()) {
            self.now += TICK;
            self.begin_faults();
            self.remove_entries();
            for engine in 0..ENGINES {
                for ((stream, key), signal) in self.engines[engine].step(self.now) {
                    self.streams[stream].signals.push((key, signal));
                }
            }
            for number in 0..self.streams.len() {
                self.step_stream(number);
            }
            self.check_hosts();
            self.check_overlaps();
        }
        self.check_streams();
        self
    }

    fn step_stream(&mut self, number: usize) {
        let Self { seed, now, rng, hosts, engines, streams, arrivals, .. } = self;
        let stream = &mut streams[number];
        if stream.outcome.is_some() || *now < arrivals[number] {
            return;
        }
        let mut world = StreamWorld { now: *now, host: &mut hosts[number % HOSTS], engines, rng };
        stream.step(&mut world);
        if stream.outcome.is_some() {
            assert_eq!(stream.open_engines().count(), 0, "seed {seed}: stream {number} ended with open attempts");
        }
        assert!(
            !stream.ended_sound_run,
            "seed {seed}: stream {number} ended, {:?}, beside a sound run",
            stream.outcome
        );
    }

    fn begin_faults(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.faults.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, fault) in due {
            match fault {
                EngineFault::Pause(engines, span) => {
                    for engine in engines {
                        self.engines[engine].pause(now, span);
                    }
                }
                EngineFault::Crash(engine) => {
                    for (stream, key) in self.engines[engine].crash() {
                        self.streams[stream].signals.push((key, RunSignal::Reset));
                    }
                    self.removals.push((now + ENTRY_LIFETIME, engine));
                }
                EngineFault::Die(engine) => {
                    self.engines[engine].state = EngineState::Silent;
                    self.removals.push((now + ENTRY_LIFETIME, engine));
                }
                EngineFault::LoseLink(engine, run) => self.engines[engine].lose_link(run),
                EngineFault::Stall(engine, run) => self.engines[engine].stall(run),
                EngineFault::HoldUp(engine, span) => self.engines[engine].hold_up(now, span),
            }
        }
    }

    fn remove_entries(&mut self) {
        let now = self.now;
        for (_, engine) in self.removals.extract_if(.., |(at, _)| *at <= now) {
            for host in &mut self.hosts {
                host.table.remove(&endpoint_id(engine));
            }
        }
    }

    /// An engine from which a host has just had an event is neither silent nor ejected there.
    fn check_hosts(&self) {
        for (number, stream) in self.streams.iter().enumerate().filter(|(_, stream)| stream.outcome.is_none()) {
            let host = &self.hosts[number % HOSTS];
            for (key, engine) in stream.open_engines() {
                let is_heard = stream.events.last().is_some_and(|(_, at)| *at == self.now)
                    && stream.open_engines().count() == 1
                    && self.engines[engine].is_sound((number, key));
                let id = endpoint_id(engine);
                let is_ejected = host.table.get(&id).is_some_and(|record| record.is_ejected(at(self.now)));
                assert!(!is_heard || !(host.table.is_silent(&id) || is_ejected), "seed {}: {id} was heard", self.seed);
            }
        }
    }

    /// Two engines do not work on the same stream for long, and none does after another one continued from its copy.
    fn check_overlaps(&mut self) {
        for (number, stream) in self.streams.iter().enumerate() {
            let is_over = |begun: u64| self.now > begun + MAX_OVERLAP;
            for (_, copied) in stream.copied.iter().filter(|(begun, _)| is_over(*begun)) {
                let mut before = stream.runs.iter().filter(|(_, key, _)| key < copied);
                let working = before.find(|(_, key, engine)| self.engines[*engine].works_on((number, *key)));
                assert!(working.is_none(), "seed {}: stream {number} continued at {copied:?}, {working:?}", self.seed);
            }
        }
        for (number, stream) in self.streams.iter().enumerate() {
            // Nothing is continued before the first event; what a held-up engine has made is not known.
            let is_begun_twice = |engine: usize| stream.events.is_empty() && self.engines[engine].is_held_up(self.now);
            let is_working = |run: &&(u64, AttemptKey, usize)| {
                self.engines[run.2].works_on((number, run.1)) && !is_begun_twice(run.2)
            };
            let overlap = &mut self.overlaps[number];
            *overlap = if stream.runs.iter().filter(is_working).count() > 1 { *overlap + TICK } else { 0 };
            let (now, seed) = (self.now, self.seed);
            assert!(*overlap <= MAX_OVERLAP, "seed {seed}: stream {number} at {now} ms, runs {:?}", stream.runs);
        }
    }

    fn check_streams(&self) {
        for (number, stream) in self.streams.iter().enumerate() {
            let context = format!("seed {}: stream {number}, {:?}, runs {:?}", self.seed, stream.outcome, stream.runs);
            let delivered = stream.events.iter().map(|(number, _)| *number);
            assert!(delivered.eq(1..=stream.events.len() as u64), "{context}: not once and in order");
            let is_whole = stream.events.len() as u64 == LAST_EVENT;
            assert_eq!(is_whole, stream.outcome == Some(Ok(())), "{context}: {} events", stream.events.len());
            assert!(stream.most_open <= AttemptRace::MAX_OPEN, "{context}: {} open at once", stream.most_open);
            assert!(stream.runs.len() <= MAX_RUNS as usize, "{context}: too many runs");
            let engines: BTreeSet<usize> = stream.runs.iter().map(|(_, _, engine)| *engine).collect();
            assert_eq!(engines.len(), stream.runs.len(), "{context}: two runs at one engine");
        }
    }

    /// The longest time between two events of a stream.
    fn longest_gap(&self, number: usize) -> u64 {
        let events = &self.streams[number].events;
        events.windows(2).map(|pair| pair[1].1 - pair[0].1).max().unwrap_or(0)
    }

    /// The streams whose first run was at an engine.
    fn began_at(&self, engine: usize) -> Vec<usize> {
        let is_there = |number: &usize| self.streams[*number].runs.first().is_some_and(|run| run.2 == engine);
        (0..self.streams.len()).filter(is_there).collect()
    }

    fn run_counts(&self) -> BTreeMap<usize, usize> {
        self.streams.iter().enumerate().map(|(number, stream)| (number, stream.runs.len())).collect()
    }

    fn is_whole(&self) -> bool {
        self.streams.iter().all(|stream| stream.outcome == Some(Ok(())))
    }
}

/// A stream, one in four with a long prompt.
fn new_stream(number: usize) -> SimulatedStream {
    let prompt_tokens = if number.is_multiple_of(4) { 8_000 } else { 1_800 };
    SimulatedStream::new(number, LAST_EVENT, prompt_tokens, 25_000)
}

fn endpoint_table(host: usize) -> EndpointTable {
    let mut table = EndpointTable::new(format!("zone-{}", host % ZONES).into());
    for engine in 0..ENGINES {
        let (zone, address) = (format!("zone-{}", engine % ZONES), ([10, 0, 0, engine as u8], 80).into());
        table.upsert(EndpointRecord::new(endpoint_id(engine), SERVICE.into(), zone.into(), address).capacity(64));
    }
    table
}

/// A simulation with ample retries.
fn simulation(seed: u64) -> Simulation {
    Simulation::new(seed, STREAMS, 1_000)
}

/// An engine at which streams have begun when the fault comes, and the cases with one.
fn cases() -> impl Iterator<Item = (u64, usize)> {
    (0..60).map(|seed| (seed, seed as usize % ENGINES))
}

#[test]
fn undisturbed_streams_run_once() {
    for seed in 0..10 {
        let ended = simulation(seed).run();
        assert!(ended.is_whole());
        assert!(ended.run_counts().values().all(|runs| *runs == 1), "seed {seed}: {:?}", ended.run_counts());
        assert!((0..STREAMS).all(|number| ended.longest_gap(number) <= EVENT_GAP));
    }
}

/// An engine that dies silently, and one that is silent alone for a while, are left equally fast.
#[test]
fn engine_silent_alone_left_in_time() {
    for (seed, engine) in cases() {
        for fault in [EngineFault::Die(engine), EngineFault::Pause(vec![engine], 1_900)] {
            let ended = simulation(seed).with_faults([(FAULT_AT, fault.clone())]).run();
            assert!(ended.is_whole(), "seed {seed}: {fault:?}");
            for number in 0..STREAMS {
                let (gap, runs) = (ended.longest_gap(number), ended.run_counts()[&number]);
                let was_there = ended.began_at(engine).contains(&number);
                assert_eq!(runs, 1 + usize::from(was_there), "seed {seed}: runs of {number} with {fault:?}");
                assert!(gap <= MAX_SILENT_GAP, "seed {seed}: {number} had a gap of {gap} ms with {fault:?}");
            }
        }
    }
}

/// The engine before was worked on for up to a second more where the engine with the copy needed that long to its first
/// event.
#[test]
fn engine_before_slow_copy_stopped() {
    for (seed, engine) in cases() {
        for is_head_late in [false, true] {
            for fault in [EngineFault::Pause(vec![engine], 700), EngineFault::HoldUp(engine, 1_200)] {
                let start = CopyStart { delay: 1_000, is_head_late };
                let faults = [(FAULT_AT, fault.clone())];
                let ended = simulation(seed).with_copy_start(start).with_faults(faults).run();
                assert!(ended.is_whole(), "seed {seed}: {fault:?}");
                let continued = ended.streams.iter().filter(|stream| !stream.copied.is_empty()).count();
                assert_eq!(continued, ended.began_at(engine).len(), "seed {seed}: {fault:?}");
            }
        }
    }
}

#[test]
fn crashed_engine_left_at_once() {
    for (seed, engine) in cases() {
        let ended = simulation(seed).with_faults([(FAULT_AT, EngineFault::Crash(engine))]).run();
        assert!(ended.is_whole());
        for number in 0..STREAMS {
            let (gap, runs) = (ended.longest_gap(number), ended.run_counts()[&number]);
            let was_there = ended.began_at(engine).contains(&number);
            assert_eq!(runs, 1 + usize::from(was_there), "seed {seed}: runs of {number}");
            assert!(gap <= MAX_RESET_GAP, "seed {seed}: {number} had a gap of {gap} ms");
        }
    }
}

/// While all engines are silent, none is any better than the one that runs the stream. The pause begins while engines
/// read the prompts of streams, or when all streams have had events.
#[test]
fn all_engines_paused_no_second_run() {
    for seed in 0..20 {
        for (at, span) in [500, FAULT_AT].into_iter().flat_map(|at| SPANS.map(|span| (at, span))) {
            let pause = EngineFault::Pause((0..ENGINES).collect(), span);
            let ended = simulation(seed).with_faults([(at, pause)]).run();
            assert!(ended.is_whole());
            let begun = ended.streams.iter().filter(|stream| stream.runs[0].0 <= at);
            let again: Vec<_> = begun.filter(|stream| stream.runs.len() > 1).map(|stream| &stream.runs).collect();
            assert!(again.is_empty(), "seed {seed}: begun again with a pause of {span} ms from {at}: {again:?}");
            let longest = (0..STREAMS).map(|number| ended.longest_gap(number)).max().unwrap();
            assert!(longest <= span + EVENT_GAP + TICK, "seed {seed}: a gap of {longest} ms");
        }
    }
}

/// One engine crashes while all others are paused: only its streams run again, and only once.
#[test]
fn crash_among_paused_one_run_more() {
    for (seed, engine) in cases() {
        for (before, span) in [(0, 700), (600, 1_900)] {
            let pause = (FAULT_AT, EngineFault::Pause((0..ENGINES).collect(), span));
            let crash = (FAULT_AT + before, EngineFault::Crash(engine));
            let ended = simulation(seed).with_faults([pause, crash]).run();
            assert!(ended.is_whole(), "seed {seed}: {:?}", ended.run_counts());
            let crashed = ended.began_at(engine);
            for (number, runs) in ended.run_counts() {
                let limit = 1 + usize::from(crashed.contains(&number));
                assert!(runs <= limit, "seed {seed}: {runs} runs of {number}, crash after {before} ms of {span} ms");
            }
        }
    }
}

/// A retry budget that is spent ends no stream whose engine goes on.
#[test]
fn paused_engines_without_retries_whole() {
    for (seed, engine) in cases() {
        for engines in [vec![engine], (1..ENGINES).collect(), (0..ENGINES).collect()] {
            let pause = (FAULT_AT, EngineFault::Pause(engines, 1_200));
            let ended = Simulation::new(seed, STREAMS, 0).with_faults([pause]).run();
            assert!(ended.is_whole(), "seed {seed}");
            assert!(ended.run_counts().values().all(|runs| *runs == 1));
        }
    }
}

/// Random faults, some of them at once: a stream ends early only if all the runs that it may have are lost, or its last
/// one is and the retries are spent. Only one that has no run left and a run that stalled for good waits for its deadline.
#[test]
fn random_faults_end_no_sound_run() {
    check_random_faults(CopyStart::default(), |_| None);
}

/// The same where engines need long to continue from copies, and the bytes of one are held up.
#[test]
fn random_faults_slow_copies_end_no_sound_run() {
    for is_head_late in [false, true] {
        check_random_faults(CopyStart { delay: 600, is_head_late }, |rng| {
            let hold_up = EngineFault::HoldUp(rng.random_range(0..ENGINES), rng.random_range(400..2_500));
            Some((rng.random_range(200..6_000), hold_up))
        });
    }
}

fn check_random_faults(start: CopyStart, more: impl Fn(&mut Pcg64Mcg) -> Option<(u64, EngineFault)>) {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut faults: Vec<_> = (0..rng.random_range(1..6)).map(|_| random_fault(&mut rng)).collect();
        faults.extend(more(&mut rng));
        let retries = if seed % 4 == 0 { 2 } else { 1_000 };
        let simulation = Simulation::new(seed, STREAMS, retries).with_copy_start(start);
        let ended = simulation.with_faults(faults.clone()).run();
        for stream in &ended.streams {
            let is_allowed = match stream.outcome {
                Some(Ok(())) => true,
                Some(Err(StopReason::BudgetExhausted)) => retries == 2,
                Some(Err(StopReason::RunLimit)) => stream.runs.len() == MAX_RUNS as usize,
                Some(Err(StopReason::DeadlineExceeded)) => {
                    let has_run_at = |engine: usize| stream.runs.iter().any(|run| run.2 == engine);
                    let is_stall =
                        |fault: &EngineFault| matches!(fault, EngineFault::Stall(engine, _) if has_run_at(*engine));
                    stream.runs.len() == MAX_RUNS as usize && faults.iter().any(|(_, fault)| is_stall(fault))
                }
                _ => false,
            };
            assert!(is_allowed, "seed {seed}: {:?} after {:?} with {faults:?}", stream.outcome, stream.runs);
        }
    }
}

fn random_fault(rng: &mut Pcg64Mcg) -> (u64, EngineFault) {
    let engine = rng.random_range(0..ENGINES);
    let paused = match rng.random_range(0..3) {
        0 => vec![engine],
        1 => (0..ENGINES).filter(|other| *other != engine).collect(),
        _ => (0..ENGINES).collect(),
    };
    let run = rng.random_range(0..3);
    let fault = match rng.random_range(0..8) {
        0 => EngineFault::Crash(engine),
        1 => EngineFault::Die(engine),
        2 => EngineFault::LoseLink(engine, run),
        3 => EngineFault::Stall(engine, run),
        _ => EngineFault::Pause(paused, rng.random_range(100..2_500)),
    };
    (rng.random_range(200..6_000), fault)
}
