//! Fakes around the relays of several hosts: engines, connections, and a caller who checks what it is given.

use std::collections::VecDeque;
use std::time::Duration;

use hollyhook_core::{
    AttemptNumber, EndReason, EndpointId, EndpointRefusal, ErrorKind, GenerationRelay, OpenMode, PrefixDigest,
    ProbeReport, RelayAction, RelayEvent, RelayPhase, RelayPolicy, StreamTimeouts, TimePoint,
};

use crate::harness::Tally;

pub const ENGINES: usize = 3;

/// What can happen next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Produce(usize),
    Deliver,
    DeliverOld,
    AnswerSearch,
    AnswerProbe,
    LoseProbe,
    Advance(u64),
    Kill(usize),
    Revive(usize),
    Pause(usize),
    Wake(usize),
    Fill(usize),
    Empty(usize),
    Silence,
    Cut,
    Truncate,
    Double,
    Swap,
    HostDies,
    HostPauses,
    OldHostActs,
    CallerReturns,
    CallerLeaves,
}

/// The length of a generation: engines that sample differently end at different places.
fn total(lineage: u32) -> u64 {
    5 - u64::from(lineage % 3)
}

/// A token's text names the generation that it belongs to and its position in it.
fn text(lineage: u32, position: u64) -> String {
    format!("{lineage}.{position}")
}

fn lineage_of(text: &str) -> u32 {
    text.split('.').next().unwrap().parse().unwrap()
}

/// The generation that the tokens are the beginning of; behind any others a model goes on differently.
fn resumed_lineage(log: &[String]) -> Option<u32> {
    let lineage = lineage_of(log.first()?);
    let is_beginning = log.iter().zip(0..).all(|(token, position)| *token == text(lineage, position));
    is_beginning.then_some(lineage)
}

#[derive(Debug, Clone)]
struct Held {
    attempt: AttemptNumber,
    lineage: u32,
    produced: u64,
}

#[derive(Debug, Default)]
struct Engine {
    is_dead: bool,
    is_paused: bool,
    is_full: bool,
    held: Option<Held>,
}

#[derive(Debug, Clone)]
enum Message {
    Opened,
    Token(u64, String),
    End(u64),
    Refused(EndpointRefusal),
    Unreachable,
    Lost,
}

#[derive(Debug)]
struct Connection {
    host: usize,
    engine: usize,
    attempt: AttemptNumber,
    /// The next position that the engine writes to it.
    next: u64,
    is_silent: bool,
    is_open: bool,
    queue: VecDeque<Message>,
}

struct Host {
    relay: GenerationRelay,
    wake_at: Option<TimePoint>,
    searches: VecDeque<AttemptNumber>,
    probes: VecDeque<(AttemptNumber, usize)>,
    has_caller: bool,
}

/// What the caller holds, and the cursor that came with the last of it.
#[derive(Debug, Default)]
struct Caller {
    tokens: Vec<String>,
    cursor: Option<Cursor>,
    end: Option<End>,
    has_left: bool,
}

#[derive(Debug, Clone)]
struct Cursor {
    position: u64,
    digest: PrefixDigest,
    attempt: AttemptNumber,
    engine: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    Failed(ErrorKind),
}

pub struct World {
    now: TimePoint,
    engines: Vec<Engine>,
    connections: Vec<Connection>,
    hosts: Vec<Host>,
    caller: Caller,
    /// Whether all engines would produce the same tokens from the same prompt.
    is_greedy: bool,
    lineages: u32,
    tally: Tally,
}

fn engine_id(number: usize) -> EndpointId {
    EndpointId::from(number.to_string())
}

impl World {
    pub fn new(is_greedy: bool, tally: Tally) -> Self {
        let engines = (0..ENGINES).map(|_| Engine::default()).collect();
        let mut world = Self {
            now: TimePoint::from_millis(1),
            engines,
            connections: Vec::new(),
            hosts: Vec::new(),
            caller: Caller::default(),
            is_greedy,
            lineages: 0,
            tally,
        };
        world.add_host(GenerationRelay::new(RelayPolicy::favour_latency()));
        world
    }

    fn add_host(&mut self, relay: GenerationRelay) {
        let host = Host { relay, wake_at: None, searches: VecDeque::new(), probes: VecDeque::new(), has_caller: true };
        self.hosts.push(host);
        self.feed(self.hosts.len() - 1, RelayEvent::Started);
    }

    fn current(&self) -> Option<usize> {
        self.hosts.iter().position(|host| host.has_caller)
    }

    pub fn apply(&mut self, step: Step) {
        self.tally.count(format!("{step:?}").split('(').next().unwrap());
        match step {
            Step::Produce(engine) => self.produce(engine),
            Step::Deliver => self.deliver(true),
            Step::DeliverOld => self.deliver(false),
            Step::AnswerSearch => self.answer_search(),
            Step::AnswerProbe => self.answer_probe(),
            Step::LoseProbe => self.hosts.iter_mut().for_each(|host| host.probes.clear()),
            Step::Advance(millis) => self.advance(millis),
            Step::Kill(engine) => self.kill(engine),
            Step::Revive(engine) => self.engines[engine] = Engine::default(),
            Step::Pause(engine) => self.engines[engine].is_paused = true,
            Step::Wake(engine) => self.engines[engine].is_paused = false,
            Step::Fill(engine) => self.engines[engine].is_full = true,
            Step::Empty(engine) => self.engines[engine].is_full = false,
            Step::Silence => self.connections.iter_mut().for_each(|connection| connection.is_silent = true),
            Step::Cut => self.connections.iter_mut().for_each(Connection::cut),
            Step::Truncate => self.disturb(|queue| {
                queue.pop_back();
            }),
            Step::Double => self.disturb(|queue| {
                if let Some(last) = queue.back().cloned() {
                    queue.push_back(last);
                }
            }),
            Step::Swap => self.disturb(|queue| {
                if queue.len() >= 2 {
                    let last = queue.len() - 1;
                    queue.swap(last, last - 1);
                }
            }),
            Step::HostDies => self.lose_host(true),
            Step::HostPauses => self.lose_host(false),
            Step::OldHostActs => self.old_host_acts(),
            Step::CallerReturns => self.caller_returns(),
            Step::CallerLeaves => self.caller_leaves(),
        }
    }

    fn produce(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if engine.is_dead || engine.is_paused {
            return;
        }
        if let Some(held) = &mut engine.held {
            held.produced = (held.produced + 1).min(total(held.lineage));
        }
        self.write_out(number);
    }

    /// Writes to the newest attachment what it does not have.
    fn write_out(&mut self, number: usize) {
        let Some(held) = self.engines[number].held.clone() else {
            return;
        };
        let is_newest = |connection: &&mut Connection| {
            connection.engine == number && connection.attempt == held.attempt && connection.is_open
        };
        let Some(connection) = self.connections.iter_mut().rfind(is_newest) else {
            return;
        };
        while connection.next < held.produced {
            let position = connection.next;
            connection.write(Message::Token(position, text(held.lineage, position)));
            connection.next += 1;
        }
        if held.produced == total(held.lineage) {
            connection.write(Message::End(held.produced));
        }
    }

    /// Delivers the oldest message of the current attempt of the caller's host, or of any other connection.
    fn deliver(&mut self, is_current: bool) {
        let current = self.current();
        let attempt = current.map(|host| self.hosts[host].relay.attempt());
        let fits = |connection: &Connection| {
            let is_it = Some(connection.host) == current && Some(connection.attempt) == attempt;
            is_it == is_current && !connection.queue.is_empty()
        };
        let Some(connection) = self.connections.iter_mut().find(|connection| fits(connection)) else {
            return;
        };
        let (host, attempt) = (connection.host, connection.attempt);
        let message = connection.queue.pop_front().unwrap();
        let event = match message {
            Message::Opened => RelayEvent::Opened { attempt },
            Message::Token(position, text) => RelayEvent::TokenArrived { attempt, position, text },
            Message::End(position) => RelayEvent::EndArrived { attempt, position, reason: EndReason::Length },
            Message::Refused(refusal) => RelayEvent::Refused { attempt, refusal },
            Message::Unreachable => RelayEvent::Unreachable { attempt },
            Message::Lost => RelayEvent::ConnectionLost { attempt },
        };
        self.feed(host, event);
    }

    fn disturb(&mut self, change: impl Fn(&mut VecDeque<Message>)) {
        for connection in &mut self.connections {
            change(&mut connection.queue);
        }
    }

    fn answer_search(&mut self) {
        let Some(host) = self.current().filter(|host| !self.hosts[*host].searches.is_empty()) else {
            return;
        };
        let attempt = self.hosts[host].searches.pop_front().unwrap();
        // A router learns of a death late, so it may still send to a dead engine.
        let choice = (attempt.get() as usize + self.now.as_micros() as usize / 7) % ENGINES;
        let event = if self.engines.iter().all(|engine| engine.is_dead || engine.is_full) {
            RelayEvent::Unassigned { attempt, retry_after: Duration::from_secs(1) }
        } else {
            RelayEvent::Assigned { attempt, endpoint: engine_id(choice) }
        };
        self.feed(host, event);
    }

    fn answer_probe(&mut self) {
        let Some(host) = self.current().filter(|host| !self.hosts[*host].probes.is_empty()) else {
            return;
        };
        let (attempt, number) = self.hosts[host].probes.pop_front().unwrap();
        let engine = &self.engines[number];
        let report = match &engine.held {
            _ if engine.is_dead || engine.is_paused => ProbeReport::Dead,
            Some(held) => {
                let is_finished = held.produced == total(held.lineage);
                ProbeReport::Holds { produced: held.produced, is_finished }
            }
            None => ProbeReport::Lives,
        };
        self.tally.count(format!("probe {report:?}").split(' ').take(2).collect::<Vec<_>>().join(" "));
        self.feed(host, RelayEvent::Probed { attempt, report });
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for host in 0..self.hosts.len() {
            let is_awake = self.hosts[host].has_caller;
            if is_awake && self.hosts[host].wake_at.is_some_and(|at| at <= self.now) {
                self.hosts[host].wake_at = None;
                let timeouts = StreamTimeouts {
                    first_token: Duration::from_millis(800),
                    between_tokens: Duration::from_millis(250),
                };
                self.feed(host, RelayEvent::TimerFired { timeouts });
            }
        }
    }

    fn kill(&mut self, number: usize) {
        self.engines[number] = Engine { is_dead: true, ..Engine::default() };
        let its = |connection: &&mut Connection| connection.engine == number;
        self.connections.iter_mut().filter(its).for_each(Connection::cut);
    }

    /// The caller's host dies, or is paused for so long that the caller gives it up.
    fn lose_host(&mut self, is_dead: bool) {
        let Some(host) = self.current() else {
            return;
        };
        self.hosts[host].has_caller = false;
        if is_dead {
            self.hosts[host].searches.clear();
            self.hosts[host].probes.clear();
            self.hosts[host].wake_at = None;
            self.connections.retain(|connection| connection.host != host);
        }
    }

    /// A host that was paused goes on: what waited for it comes first, then it finds its caller gone.
    fn old_host_acts(&mut self) {
        for host in 0..self.hosts.len() {
            if !self.hosts[host].has_caller {
                while let Some(attempt) = self.hosts[host].searches.pop_front() {
                    let endpoint = engine_id(attempt.get() as usize % ENGINES);
                    self.feed(host, RelayEvent::Assigned { attempt, endpoint });
                }
                self.feed(host, RelayEvent::CallerLeft);
            }
        }
    }

    /// The caller comes back to another host with its cursor, or begins again if it holds nothing.
    fn caller_returns(&mut self) {
        let is_retry = matches!(
            self.caller.end,
            None | Some(End::Failed(ErrorKind::GenerationLost | ErrorKind::NoEndpoint | ErrorKind::Superseded))
        );
        if self.caller.has_left || !is_retry || self.hosts.len() > 6 {
            return;
        }
        if let Some(host) = self.current() {
            if self.caller.end.is_none() {
                return;
            }
            self.hosts[host].has_caller = false;
        }
        self.caller.end = None;
        let relay = GenerationRelay::new(RelayPolicy::favour_latency());
        let Some(cursor) = self.caller.cursor.clone() else {
            // Without a cursor it is a new generation, whose name nothing of the old one has.
            self.caller.tokens.clear();
            self.hosts.clear();
            self.connections.clear();
            self.engines.iter_mut().for_each(|engine| engine.held = None);
            return self.add_host(relay);
        };
        // The new host asks the endpoint of the cursor what it holds, as the daemon does.
        let engine = &self.engines[cursor.engine];
        let held = engine.held.as_ref().filter(|_| !engine.is_dead && !engine.is_paused);
        let newest = held.map_or(AttemptNumber::FIRST, |held| held.attempt).max(cursor.attempt);
        let endpoint = held.map(|_| engine_id(cursor.engine));
        self.tally.count(if endpoint.is_some() { "return attaches" } else { "return replays" });
        self.add_host(relay.taken_over(endpoint, newest.takeover(), cursor.position, cursor.digest));
    }

    fn caller_leaves(&mut self) {
        self.caller.has_left = true;
        if let Some(host) = self.current() {
            self.hosts[host].has_caller = false;
            self.feed(host, RelayEvent::CallerLeft);
        }
    }

    fn feed(&mut self, host: usize, event: RelayEvent) {
        for action in self.hosts[host].relay.on(self.now, event) {
            self.perform(host, action);
        }
    }

    fn perform(&mut self, host: usize, action: RelayAction) {
        match action {
            RelayAction::Assign { attempt, .. } => self.hosts[host].searches.push_back(attempt),
            RelayAction::Probe { attempt, endpoint } => {
                self.hosts[host].probes.push_back((attempt, endpoint.parse().unwrap()));
            }
            RelayAction::SetTimer { at } => self.hosts[host].wake_at = Some(at),
            RelayAction::Open { attempt, endpoint, mode } => self.open(host, attempt, endpoint.parse().unwrap(), mode),
            RelayAction::Cancel { attempt, endpoint } => {
                self.close(host, attempt);
                let engine = &mut self.engines[endpoint.parse::<usize>().unwrap()];
                if engine.held.as_ref().is_some_and(|held| held.attempt <= attempt) {
                    engine.held = None;
                }
            }
            RelayAction::Close { attempt } => self.close(host, attempt),
            RelayAction::Deliver { position, text } => self.check_token(host, position, &text),
            RelayAction::Complete { tokens, .. } => self.check_end(host, End::Whole, tokens),
            RelayAction::Fail { kind, delivered } => self.check_end(host, End::Failed(kind), delivered),
            RelayAction::Count(note) => self.tally.count(note.label()),
        }
    }

    fn close(&mut self, host: usize, attempt: AttemptNumber) {
        // What is on its way still arrives: the relay must not need a prompt close.
        let its = |connection: &&mut Connection| connection.host == host && connection.attempt == attempt;
        self.connections.iter_mut().filter(its).for_each(|connection| connection.is_open = false);
    }

    fn open(&mut self, host: usize, attempt: AttemptNumber, number: usize, mode: OpenMode) {
        let log: Vec<String> = self.hosts[host].relay.log().iter().map(str::to_owned).collect();
        let answer = self.submit(number, attempt, mode, &log);
        let next = match mode {
            OpenMode::Fresh => 0,
            OpenMode::Resume => log.len() as u64,
            OpenMode::Attach { position } => position,
        };
        let (is_open, queue) = match answer {
            Some(message) => (matches!(message, Message::Opened), VecDeque::from([message])),
            None => (true, VecDeque::new()),
        };
        let connection = Connection { host, engine: number, attempt, next, is_silent: false, is_open, queue };
        self.connections.push(connection);
        if is_open {
            self.write_out(number);
        }
    }

    /// The engine's answer to an attempt; none if it is paused and says nothing.
    fn submit(&mut self, number: usize, attempt: AttemptNumber, mode: OpenMode, log: &[String]) -> Option<Message> {
        let lineage = if self.is_greedy { 0 } else { self.lineages + 1 };
        let engine = &mut self.engines[number];
        if engine.is_dead {
            return Some(Message::Unreachable);
        }
        if engine.is_paused {
            return None;
        }
        let held_attempt = engine.held.as_ref().map(|held| held.attempt);
        if held_attempt.is_some_and(|held| held >= attempt) {
            return Some(Message::Refused(EndpointRefusal::Superseded));
        }
        if let OpenMode::Attach { .. } = mode {
            let Some(held) = &mut engine.held else {
                return Some(Message::Refused(EndpointRefusal::NotHeld));
            };
            held.attempt = attempt;
            return Some(Message::Opened);
        }
        if engine.is_full {
            return Some(Message::Refused(EndpointRefusal::Busy));
        }
        self.lineages = self.lineages.max(lineage);
        let lineage = if mode == OpenMode::Resume { resumed_lineage(log).unwrap_or(lineage) } else { lineage };
        let produced = if mode == OpenMode::Resume { log.len() as u64 } else { 0 };
        engine.held = Some(Held { attempt, lineage, produced });
        Some(Message::Opened)
    }

    /// The oracle for tokens: each once, in order, all of the generation that the first belongs to.
    fn check_token(&mut self, host: usize, position: u64, given: &str) {
        if !self.hosts[host].has_caller {
            return;
        }
        assert_eq!(self.caller.end, None, "a token behind the final answer");
        assert_eq!(position, self.caller.tokens.len() as u64, "a token is missing, doubled or out of order");
        let lineage = self.caller.tokens.first().map_or_else(|| lineage_of(given), |first| lineage_of(first));
        assert_eq!(given, text(lineage, position), "a token of another generation");
        self.caller.tokens.push(given.to_owned());
        let relay = &self.hosts[host].relay;
        self.caller.cursor = Some(Cursor {
            // The relay hands out several actions at a time; the caller's cursor is of the last token.
            position: relay.delivered(),
            digest: relay.digest(),
            attempt: relay.attempt(),
            engine: relay.endpoint().unwrap().parse().unwrap(),
        });
    }

    /// The oracle for ends: one, and truthful about how far it got.
    fn check_end(&mut self, host: usize, end: End, delivered: u64) {
        if !self.hosts[host].has_caller {
            return;
        }
        assert_eq!(self.caller.end, None, "a second final answer");
        assert_eq!(delivered, self.caller.tokens.len() as u64, "the end does not say how far it got");
        if end == End::Whole {
            let lineage = lineage_of(&self.caller.tokens[0]);
            assert_eq!(delivered, total(lineage), "an answer is called whole that is not");
        }
        if end == End::Failed(ErrorKind::NoEndpoint) {
            assert_eq!(delivered, 0, "said not to have run, but tokens were delivered");
        }
        if end == End::Failed(ErrorKind::GenerationDiverged) {
            assert!(!self.is_greedy, "a replay of the same tokens was refused");
        }
        self.tally.count(format!("end {end:?}"));
        self.caller.end = Some(end);
    }

    /// With the faults over, a caller who stays gets the final answer, and the next token within 4 s.
    pub fn settle(&mut self) {
        const TICK_MILLIS: u64 = 20;
        const LIMIT: Duration = Duration::from_secs(4);
        for number in 0..ENGINES {
            if self.engines[number].is_dead {
                self.engines[number] = Engine::default();
            }
            self.engines[number].is_paused = false;
            self.engines[number].is_full = false;
        }
        if self.caller.has_left {
            return;
        }
        self.old_host_acts();
        let mut last_progress = self.now;
        let mut tokens = self.caller.tokens.len();
        while !matches!(self.caller.end, Some(End::Whole | End::Failed(ErrorKind::GenerationDiverged))) {
            if self.current().is_none() || self.caller.end.is_some() {
                // A caller who is told to come back does; hosts are not the limit here.
                self.hosts.iter_mut().for_each(|host| host.has_caller = false);
                self.old_host_acts();
                self.forget_old_hosts();
                self.caller_returns();
            }
            (0..ENGINES).for_each(|number| self.produce(number));
            for _ in 0..8 {
                self.answer_search();
                self.answer_probe();
                self.deliver(true);
                self.deliver(false);
            }
            self.advance(TICK_MILLIS);
            if self.caller.tokens.len() != tokens {
                tokens = self.caller.tokens.len();
                last_progress = self.now;
            }
            assert!(
                self.now.since(last_progress) <= LIMIT,
                "no token for 4 s though engines live: {}",
                self.describe()
            );
        }
    }

    fn forget_old_hosts(&mut self) {
        let old = self.hosts.len();
        if old > 4 {
            self.hosts.drain(..);
            self.connections.clear();
        }
    }

    fn describe(&self) -> String {
        let phase = self.current().map(|host| self.hosts[host].relay.phase());
        format!("{:?}, {phase:?}, {:?}", self.caller.end, self.caller.tokens)
    }

    pub fn is_done(&self) -> bool {
        self.current().is_none_or(|host| self.hosts[host].relay.phase() == RelayPhase::Done)
    }
}

impl Connection {
    fn write(&mut self, message: Message) {
        if self.is_open && !self.is_silent {
            self.queue.push_back(message);
        }
    }

    fn cut(&mut self) {
        if self.is_open {
            self.is_open = false;
            self.queue.push_back(Message::Lost);
        }
    }
}
