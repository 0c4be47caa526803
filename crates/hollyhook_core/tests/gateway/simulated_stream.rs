//! A host's side of one stream in virtual time, which takes the same steps as the gateway's `StreamRun`.

use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::{
    AttemptBasis, AttemptFailure, AttemptKey, AttemptLedger, AttemptRace, EndpointId, EndpointTable, EngineCandidate,
    EngineReport, EngineSpeed, EventSequencer, LivenessVerdict, RaceStep, RawEvent, RequestKind, RetryWindow,
    RouteQuery, SequenceVerdict, SilenceWatch, StopReason, choose_engine,
};
use rand_pcg::Pcg64Mcg;

use super::simulated_engine::{EngineState, RunSignal, SimulatedEngine, at, attempt_id};

pub const SERVICE: &str = "model";
pub const MAX_RUNS: u32 = 3;
const MAX_NOT_RUN: u32 = 4;

/// The gateway's time limits and intervals, in milliseconds.
const SEARCH_INTERVAL: u64 = 100;
const LIVENESS_TIMEOUT: u64 = 150;
const PLACEMENT_TIMEOUT: u64 = 60;
const RESUME_TIMEOUT: u64 = 20;
/// Time from a probe to the report of an engine that runs.
const ROUND_TRIP: u64 = 5;

pub struct SimulatedHost {
    pub table: EndpointTable,
    pub retries: RetryWindow,
}

/// What a stream's steps work on.
pub struct StreamWorld<'w> {
    pub now: u64,
    pub host: &'w mut SimulatedHost,
    pub engines: &'w mut [SimulatedEngine],
    pub rng: &'w mut Pcg64Mcg,
}

struct SimulatedAttempt {
    key: AttemptKey,
    engine: usize,
    backup: Option<usize>,
    watch: SilenceWatch,
    has_events: bool,
    probe: Option<SimulatedProbe>,
}

struct SimulatedProbe {
    engine: usize,
    sent_at: u64,
    limit: u64,
}

/// The choice of an engine for the next attempt.
enum Search {
    /// An engine was found, and is used once the engines for its backup have been probed.
    Found { engine: usize, has_backup: bool, ready_at: u64 },
    /// The engine that holds the backup is probed.
    Backup(SimulatedProbe),
    /// Engines are probed.
    Reports(Vec<SimulatedProbe>, Vec<EngineCandidate>),
    /// An engine was found, and the silent engines of open attempts are probed once more.
    Confirm { engine: usize, has_backup: bool, probes: Vec<SimulatedProbe> },
}

enum Found {
    Engine { engine: usize, has_backup: bool, is_confirmed: bool },
    Nothing,
}

pub struct SimulatedStream {
    number: usize,
    last_event: u64,
    prompt_tokens: u64,
    deadline: u64,
    pub signals: Vec<(AttemptKey, RunSignal)>,
    /// When attempts continued from a copy, without those that have failed.
    pub copied: Vec<(u64, AttemptKey)>,
    sequencer: EventSequencer,
    race: AttemptRace,
    ledger: AttemptLedger,
    attempts: Vec<SimulatedAttempt>,
    search: Option<Search>,
    search_at: u64,
    resume_from: Option<usize>,
    tried: Vec<EndpointId>,
    /// The number and the time of each event that the caller got.
    pub events: Vec<(u64, u64)>,
    /// The time and the engine of each run that was begun.
    pub runs: Vec<(u64, AttemptKey, usize)>,
    /// How the stream ended: whole, or why not.
    pub outcome: Option<Result<(), StopReason>>,
    /// Whether the stream ended while its last attempt would have gone on.
    pub ended_sound_run: bool,
    pub most_open: usize,
}

pub fn endpoint_id(engine: usize) -> EndpointId {
    format!("i-{engine}").into()
}

fn engine_of(id: &str) -> usize {
    id[2..].parse().unwrap()
}

impl SimulatedStream {
    pub fn new(number: usize, last_event: u64, prompt_tokens: u64, deadline: u64) -> Self {
        Self {
            number,
            last_event,
            prompt_tokens,
            deadline,
            signals: Vec::new(),
            copied: Vec::new(),
            sequencer: EventSequencer::default(),
            race: AttemptRace::default(),
            ledger: AttemptLedger::new(RequestKind::Idempotent, MAX_RUNS, MAX_NOT_RUN),
            attempts: Vec::new(),
            search: None,
            search_at: 0,
            resume_from: None,
            tried: Vec::new(),
            events: Vec::new(),
            runs: Vec::new(),
            outcome: None,
            ended_sound_run: false,
            most_open: 0,
        }
    }

    /// The engines of the open attempts.
    pub fn open_engines(&self) -> impl Iterator<Item = (AttemptKey, usize)> + '_ {
        self.attempts.iter().map(|attempt| (attempt.key, attempt.engine))
    }

    fn cursor(&self) -> u64 {
        self.sequencer.last().unwrap_or(0)
    }

    /// Takes all steps that are due.
    pub fn step(&mut self, world: &mut StreamWorld<'_>) {
        for (key, signal) in std::mem::take(&mut self.signals) {
            if self.race.is_held(key) {
                self.signals.push((key, signal));
            } else if self.outcome.is_none() {
                self.handle_signal(world, key, signal);
            }
        }
        self.take_reports(world);
        self.handle_time(world);
        while self.outcome.is_none() && self.advance(world) {}
    }

    /// Returns whether another step is due at once.
    fn advance(&mut self, world: &mut StreamWorld<'_>) -> bool {
        self.settle_race(world);
        let step = self.race.next_step(&self.ledger);
        match step {
            RaceStep::Begin if self.search.is_none() => self.search = Some(self.choose(world)),
            RaceStep::BeginBeside if self.search.is_none() && world.now >= self.search_at => {
                self.search_at = world.now + SEARCH_INTERVAL;
                self.search = self.choose_responsive(world);
            }
            RaceStep::Begin | RaceStep::BeginBeside => {}
            RaceStep::Wait => self.search = None,
        }
        let Some(found) = self.poll_search(world, step) else {
            return false;
        };
        self.search = None;
        match found {
            Found::Engine { engine, has_backup, is_confirmed } => {
                let is_beside = step == RaceStep::BeginBeside;
                if is_beside && !is_confirmed {
                    self.search = Some(self.confirm(world, engine, has_backup));
                    return false;
                }
                if is_beside && !world.host.retries.try_spend(at(world.now)) {
                    return false;
                }
                self.begin(world, engine, has_backup);
                true
            }
            Found::Nothing if step == RaceStep::Begin => {
                self.outcome = Some(Err(StopReason::NoEndpoint));
                false
            }
            Found::Nothing => false,
        }
    }

    /// As `StreamRun::settle_race`.
    fn settle_race(&mut self, world: &mut StreamWorld<'_>) {
        for key in self.race.settle(at(world.now)).map(|closure| closure.closed).unwrap_or_default() {
            self.ledger.record_failure(AttemptFailure::Silent);
            let closed = self.close(world, key);
            self.resume_from = closed.backup.or(self.resume_from);
        }
    }

    fn query(&self) -> RouteQuery<'_> {
        RouteQuery::new(SERVICE).avoid(&self.tried).repeatable(true).slots(64)
    }

    /// The engine that holds the backup of an attempt, if it may be used.
    fn usable_backup(&self, world: &StreamWorld<'_>) -> Option<usize> {
        let backup = self.attempts.iter().find_map(|attempt| attempt.backup).or(self.resume_from)?;
        let record = world.host.table.get(&endpoint_id(backup))?;
        (!record.is_ejected(at(world.now))).then_some(backup)
    }

    /// As `EngineChooser::choose`.
    fn choose(&mut self, world: &mut StreamWorld<'_>) -> Search {
        let backup = self.usable_backup(world);
        self.resume_from = None;
        let (now, table) = (at(world.now), &world.host.table);
        let is_avoidable = |engine| table.is_silent(&endpoint_id(engine)) && !table.is_silence_widespread(now, SERVICE);
        if let Some(engine) = backup.filter(|engine| !is_avoidable(*engine)) {
            return Search::Found { engine, has_backup: true, ready_at: world.now + RESUME_TIMEOUT };
        }
        self.probe_list(world, &self.query())
    }

    /// As `EngineChooser::choose_responsive`.
    fn choose_responsive(&self, world: &mut StreamWorld<'_>) -> Option<Search> {
        if let Some(engine) = self.usable_backup(world) {
            if world.host.table.is_alive(at(world.now), &endpoint_id(engine)) {
                return Some(Search::Found { engine, has_backup: true, ready_at: world.now + RESUME_TIMEOUT });
            }
            return Some(Search::Backup(SimulatedProbe { engine, sent_at: world.now, limit: PLACEMENT_TIMEOUT }));
        }
        self.choose_reporting(world)
    }

    fn choose_reporting(&self, world: &mut StreamWorld<'_>) -> Option<Search> {
        if world.host.table.is_silence_widespread(at(world.now), SERVICE) {
            return None;
        }
        Some(self.probe_list(world, &self.query().responsive(at(world.now))))
    }

    fn probe_list(&self, world: &StreamWorld<'_>, query: &RouteQuery<'_>) -> Search {
        let (now, table) = (at(world.now), &world.host.table);
        let mut list = table.shortlist(now, query, self.number as u64, 2);
        if let Some(first) = list.first().cloned() {
            let elsewhere = query.clone().avoid_zone(&first.zone);
            let others = table.shortlist(now, &elsewhere, self.number as u64, 1);
            list.extend(
                others.into_iter().filter(|other| list.iter().all(|known| known.id != other.id)).collect::<Vec<_>>(),
            );
        }
        let probe = |record: hollyhook_core::EndpointRecord| SimulatedProbe {
            engine: engine_of(&record.id),
            sent_at: world.now,
            limit: PLACEMENT_TIMEOUT,
        };
        Search::Reports(list.into_iter().map(probe).collect(), Vec::new())
    }

    fn poll_search(&mut self, world: &mut StreamWorld<'_>, step: RaceStep) -> Option<Found> {
        let mut search = self.search.take()?;
        let found = match &mut search {
            Search::Found { engine, has_backup, ready_at } if *ready_at <= world.now => {
                Some(Found::Engine { engine: *engine, has_backup: *has_backup, is_confirmed: false })
            }
            Search::Found { .. } => None,
            Search::Backup(probe) => match probe.poll(world) {
                Poll::Pending => None,
                Poll::Ready(Some(_)) => {
                    Some(Found::Engine { engine: probe.engine, has_backup: true, is_confirmed: false })
                }
                Poll::Ready(None) => {
                    self.search = self.choose_reporting(world);
                    return self.search.is_none().then_some(Found::Nothing);
                }
            },
            Search::Confirm { engine, has_backup, probes } => {
                let (engine, has_backup) = (*engine, *has_backup);
                let mut is_heard = false;
                probes.retain(|probe| match probe.poll(world) {
                    Poll::Pending => true,
                    Poll::Ready(report) => {
                        is_heard |= report.is_some();
                        false
                    }
                });
                let found = Found::Engine { engine, has_backup, is_confirmed: true };
                if is_heard { Some(Found::Nothing) } else { probes.is_empty().then_some(found) }
            }
            Search::Reports(probes, candidates) => {
                probes.retain(|probe| match probe.poll(world) {
                    Poll::Pending => true,
                    Poll::Ready(report) => {
                        let record = world.host.table.as_of(at(world.now), &endpoint_id(probe.engine));
                        candidates.extend(record.map(|record| EngineCandidate {
                            record,
                            report,
                            held_tokens: 0,
                            speed: EngineSpeed::default(),
                        }));
                        false
                    }
                });
                probes.is_empty().then(|| self.choose_probed(world, candidates, step))
            }
        };
        if found.is_none() {
            self.search = Some(search);
        }
        found
    }

    /// As `StreamRun::begin_search`: the silent engines of open attempts may have gone on with the one that was found.
    fn confirm(&self, world: &StreamWorld<'_>, engine: usize, has_backup: bool) -> Search {
        let silent = self.attempts.iter().filter(|attempt| attempt.watch.is_unanswered());
        let probe = |attempt: &SimulatedAttempt| SimulatedProbe {
            engine: attempt.engine,
            sent_at: world.now,
            limit: RESUME_TIMEOUT,
        };
        Search::Confirm { engine, has_backup, probes: silent.map(probe).collect() }
    }

    fn choose_probed(&self, world: &mut StreamWorld<'_>, candidates: &[EngineCandidate], step: RaceStep) -> Found {
        let best = choose_engine(candidates, self.prompt_tokens).map(|best| EndpointId::clone(&best.record.id));
        let now = at(world.now);
        let any = |query: &RouteQuery<'_>, rng: &mut Pcg64Mcg| world.host.table.choose(now, query, rng);
        let id = best.or_else(|| {
            let query = self.query();
            let is_first = step == RaceStep::Begin;
            is_first.then(|| any(&query.clone().responsive(now), world.rng).or_else(|| any(&query, world.rng)))?
        });
        id.map_or(Found::Nothing, |id| Found::Engine { engine: engine_of(&id), has_backup: false, is_confirmed: false })
    }

    fn begin(&mut self, world: &mut StreamWorld<'_>, engine: usize, has_backup: bool) {
        if has_backup {
            self.resume_from = None;
            let used = self.attempts.iter_mut().find(|attempt| attempt.backup.is_some());
            used.map(|attempt| attempt.backup.take());
        }
        let (id, now) = (endpoint_id(engine), at(world.now));
        if self.runs.is_empty() {
            world.host.retries.earn(now);
        }
        let tokens = if has_backup { 0 } else { self.prompt_tokens };
        let basis = match (has_backup, self.sequencer.last()) {
            (true, _) => AttemptBasis::Copy,
            (false, Some(_)) => AttemptBasis::Cursor,
            (false, None) => AttemptBasis::Start,
        };
        let key = self.race.begin_from(basis);
        self.most_open = self.most_open.max(self.race.open_count());
        self.tried.push(EndpointId::clone(&id));
        world.host.table.record_open(now, &id);
        self.attempts.push(SimulatedAttempt {
            key,
            engine,
            backup: self.choose_backup(world, &id),
            watch: SilenceWatch::before_first(now, tokens),
            has_events: false,
            probe: None,
        });
        if world.engines[engine].state == EngineState::Crashed {
            return self.abandon(world, key, AttemptFailure::NotConnected);
        }
        self.runs.push((world.now, key, engine));
        self.race.record_sent(key, now);
        if has_backup {
            self.copied.push((world.now, key));
            return world.engines[engine].begin_from_copy(
                world.now,
                (self.number, key),
                self.cursor(),
                self.last_event,
            );
        }
        world.engines[engine].begin(world.now, (self.number, key), self.cursor(), self.last_event, tokens);
    }

    fn choose_backup(&self, world: &StreamWorld<'_>, id: &EndpointId) -> Option<usize> {
        let zone = &world.host.table.get(id)?.zone;
        let query = self.query().avoid_zone(zone).responsive(at(world.now));
        let list = world.host.table.shortlist(at(world.now), &query, self.number as u64, 1);
        list.first().map(|record| engine_of(&record.id))
    }

    fn index(&self, key: AttemptKey) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.key == key)
    }

    fn handle_signal(&mut self, world: &mut StreamWorld<'_>, key: AttemptKey, signal: RunSignal) {
        let Some(index) = self.index(key) else {
            return;
        };
        let now = at(world.now);
        if signal == RunSignal::Reset {
            return self.abandon(world, key, AttemptFailure::Broken);
        }
        world.host.table.record_heard(now, &endpoint_id(self.attempts[index].engine));
        match signal {
            RunSignal::Head => {
                self.attempts[index].watch = SilenceWatch::before_first(now, self.prompt_tokens);
                self.race.record_accepted(key);
                self.race.trust(key);
            }
            RunSignal::Event(number) => self.receive(world, index, number),
            RunSignal::End if self.cursor() == self.last_event => self.complete(world, key),
            RunSignal::End => self.abandon(world, key, AttemptFailure::Garbled),
            RunSignal::Reset => {}
        }
    }

    fn receive(&mut self, world: &mut StreamWorld<'_>, index: usize, number: u64) {
        let key = self.attempts[index].key;
        self.attempts[index].has_events = true;
        self.attempts[index].watch.record_event(at(world.now));
        self.race.trust(key);
        let event = RawEvent { id: Some(number), bytes: Bytes::from_static(b"data: a\n\n") };
        match self.sequencer.classify(&event) {
            SequenceVerdict::Deliver => {
                self.events.push((number, world.now));
                self.win(world, key);
            }
            SequenceVerdict::Drop => {}
            SequenceVerdict::Gap => self.abandon(world, key, AttemptFailure::Garbled),
        }
    }

    fn win(&mut self, world: &mut StreamWorld<'_>, key: AttemptKey) {
        self.search = None;
        for loser in self.race.win(key) {
            self.ledger.record_failure(AttemptFailure::Silent);
            self.close(world, loser);
        }
    }

    fn complete(&mut self, world: &mut StreamWorld<'_>, key: AttemptKey) {
        let index = self.index(key).unwrap();
        world.host.table.record_success(&endpoint_id(self.attempts[index].engine));
        self.outcome = Some(Ok(()));
        self.close_all(world);
    }

    fn close_all(&mut self, world: &mut StreamWorld<'_>) {
        while let Some(key) = self.attempts.first().map(|attempt| attempt.key) {
            self.close(world, key);
        }
    }

    fn close(&mut self, world: &mut StreamWorld<'_>, key: AttemptKey) -> SimulatedAttempt {
        let attempt = self.attempts.remove(self.index(key).unwrap());
        world.engines[attempt.engine].close((self.number, key));
        world.host.table.record_close(&endpoint_id(attempt.engine));
        attempt
    }

    /// As `StreamRun::abandon`.
    fn abandon(&mut self, world: &mut StreamWorld<'_>, key: AttemptKey, failure: AttemptFailure) {
        let now = at(world.now);
        self.race.remove(key);
        self.copied.retain(|(_, copied)| *copied != key);
        let index = self.index(key).unwrap();
        let was_sound = world.engines[self.attempts[index].engine].is_sound((self.number, key));
        let attempt = self.close(world, key);
        self.resume_from = attempt.backup.or(self.resume_from);
        if failure.is_loss() && failure != AttemptFailure::Silent {
            world.host.table.record_failure(now, &endpoint_id(attempt.engine));
        }
        self.ledger.record_failure(failure);
        if !self.attempts.is_empty() {
            return;
        }
        let time_left = Duration::from_millis(self.deadline.saturating_sub(world.now));
        let reason = self.ledger.stop_reason(time_left);
        let mut is_budget_spent = || failure.has_arrived() && !world.host.retries.try_spend(now);
        let reason = reason.or_else(|| is_budget_spent().then_some(StopReason::BudgetExhausted));
        if let Some(reason) = reason {
            self.outcome = Some(Err(reason));
            self.ended_sound_run = was_sound && !time_left.is_zero();
        }
    }

    fn take_reports(&mut self, world: &mut StreamWorld<'_>) {
        let mut keys: Vec<AttemptKey> = self.attempts.iter().map(|attempt| attempt.key).collect();
        keys.retain(|key| self.outcome.is_none() && self.index(*key).is_some());
        for key in keys {
            let Some(index) = self.index(key).filter(|_| self.outcome.is_none()) else {
                continue;
            };
            let Some(Poll::Ready(report)) = self.attempts[index].probe.as_ref().map(|probe| probe.poll(world)) else {
                continue;
            };
            let delivered = if self.attempts[index].has_events { self.cursor() } else { 0 };
            let attempt = &mut self.attempts[index];
            attempt.probe = None;
            let id = attempt_id(self.number);
            match attempt.watch.record_report(at(world.now), report.as_ref(), &id, delivered) {
                LivenessVerdict::Wait => drop(self.race.trust(key)),
                LivenessVerdict::Suspect => drop(self.race.suspect(key)),
                LivenessVerdict::Lost => self.abandon(world, key, AttemptFailure::Silent),
            }
        }
    }

    /// As `StreamRun::handle_timeout`.
    fn handle_time(&mut self, world: &mut StreamWorld<'_>) {
        if self.outcome.is_some() {
            return;
        }
        if world.now >= self.deadline {
            self.outcome = Some(Err(StopReason::DeadlineExceeded));
            return self.close_all(world);
        }
        let is_gone = |attempt: &&SimulatedAttempt| {
            self.race.is_suspected(attempt.key) && world.host.table.get(&endpoint_id(attempt.engine)).is_none()
        };
        if let Some(key) = self.attempts.iter().find(is_gone).map(|attempt| attempt.key) {
            self.abandon(world, key, AttemptFailure::Silent);
        }
        let now = at(world.now);
        for attempt in &mut self.attempts {
            let id = endpoint_id(attempt.engine);
            let is_heard = self.race.is_suspected(attempt.key) && world.host.table.is_alive(now, &id);
            if is_heard && attempt.watch.record_heard(now) {
                self.race.trust(attempt.key);
            }
            if attempt.probe.is_none() && attempt.watch.check_at() <= now {
                // An engine that has just missed another probe is not probed again.
                let limit = if world.host.table.is_just_silent(now, &id) { 0 } else { LIVENESS_TIMEOUT };
                attempt.probe = Some(SimulatedProbe { engine: attempt.engine, sent_at: world.now, limit });
            }
        }
    }
}

impl SimulatedProbe {
    /// The report; `None` if the engine did not report in time.
    fn poll(&self, world: &mut StreamWorld<'_>) -> Poll<Option<EngineReport>> {
        let (now, id) = (at(world.now), endpoint_id(self.engine));
        if self.limit == 0 {
            return Poll::Ready(None);
        }
        let report = world.engines[self.engine].report(world.now).filter(|_| world.now >= self.sent_at + ROUND_TRIP);
        if report.is_some() {
            world.host.table.record_heard(now, &id);
            return Poll::Ready(report);
        }
        let is_over = world.now >= self.sent_at + self.limit;
        if !is_over && world.engines[self.engine].state != EngineState::Crashed {
            return Poll::Pending;
        }
        // An engine that misses the short limit of a resume is not recorded as silent.
        if self.limit > RESUME_TIMEOUT {
            world.host.table.record_silence(now, &id);
        }
        Poll::Ready(None)
    }
}
