//! A simulation of the relays of several hosts with engines, connections, and a caller that verifies what it receives.

use std::collections::VecDeque;
use std::time::Duration;

use hollyhook_core::{
    AttemptNumber, EndReason, EndpointId, EndpointRefusal, ErrorKind, GenerationRelay, OpenMode, PrefixDigest,
    ProbeReport, RelayAction, RelayEvent, RelayPhase, RelayPolicy, StreamTimeouts, TimePoint,
};

use crate::harness::Tally;

pub const ENGINES: usize = 3;

/// A step of the simulation: progress or a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The engine produces one token of the generation that it holds, and sends the unsent tokens.
    Produce(usize),
    /// The next message of the current attempt on the caller's host is delivered.
    Deliver,
    /// The next message of any other connection is delivered.
    DeliverOther,
    AnswerSearch,
    AnswerProbe,
    /// All pending probes get no answer.
    DropProbes,
    /// Time advances by this many milliseconds.
    Advance(u64),
    Kill(usize),
    Revive(usize),
    Pause(usize),
    Unpause(usize),
    MarkFull(usize),
    MarkFree(usize),
    /// All connections lose what engines send from now on, without breaking.
    Silence,
    /// All open connections break.
    Cut,
    /// All connections lose the last message in transit.
    Truncate,
    /// All connections repeat the last message in transit.
    Double,
    /// All connections swap the last two messages in transit.
    Swap,
    /// The caller's host crashes.
    HostDies,
    /// The caller's host pauses for so long that the caller abandons it.
    HostPauses,
    /// The hosts that the caller has abandoned run again.
    FormerHostResumes,
    CallerReconnects,
    CallerDisconnects,
}

/// The number of tokens in a sample, which is one possible output of the model; samples differ in length.
fn output_len(sample: u32) -> u64 {
    5 - u64::from(sample % 3)
}

/// The text of a token: the sample that it belongs to and its position there.
fn token_text(sample: u32, position: u64) -> String {
    format!("{sample}.{position}")
}

fn sample_of(text: &str) -> u32 {
    text.split('.').next().unwrap().parse().unwrap()
}

/// The sample that begins with the logged tokens, if there is one; after other tokens a model continues differently.
fn resumed_sample(log: &[String]) -> Option<u32> {
    let sample = sample_of(log.first()?);
    let is_beginning = log.iter().zip(0..).all(|(token, position)| *token == token_text(sample, position));
    is_beginning.then_some(sample)
}

#[derive(Debug, Clone)]
struct HeldGeneration {
    attempt: AttemptNumber,
    sample: u32,
    produced: u64,
}

#[derive(Debug, Default)]
struct Engine {
    is_dead: bool,
    is_paused: bool,
    is_full: bool,
    held: Option<HeldGeneration>,
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
    /// The position of the next token that the engine sends on this connection.
    next: u64,
    is_silent: bool,
    is_open: bool,
    queue: VecDeque<Message>,
}

struct Host {
    relay: GenerationRelay,
    timer_at: Option<TimePoint>,
    searches: VecDeque<AttemptNumber>,
    probes: VecDeque<(AttemptNumber, usize)>,
    has_caller: bool,
}

/// The tokens that the caller has received, and the cursor that came with the last one.
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

pub struct RelaySimulation {
    now: TimePoint,
    engines: Vec<Engine>,
    connections: Vec<Connection>,
    hosts: Vec<Host>,
    caller: Caller,
    /// Whether all engines would produce the same tokens from the same prompt.
    is_greedy: bool,
    samples: u32,
    tally: Tally,
}

fn engine_id(number: usize) -> EndpointId {
    EndpointId::from(number.to_string())
}

impl RelaySimulation {
    pub fn new(is_greedy: bool, tally: Tally) -> Self {
        let engines = (0..ENGINES).map(|_| Engine::default()).collect();
        let mut simulation = Self {
            now: TimePoint::from_millis(1),
            engines,
            connections: Vec::new(),
            hosts: Vec::new(),
            caller: Caller::default(),
            is_greedy,
            samples: 0,
            tally,
        };
        simulation.add_host(GenerationRelay::new(RelayPolicy::favour_latency()));
        simulation
    }

    fn add_host(&mut self, relay: GenerationRelay) {
        let host = Host { relay, timer_at: None, searches: VecDeque::new(), probes: VecDeque::new(), has_caller: true };
        self.hosts.push(host);
        self.send_event(self.hosts.len() - 1, RelayEvent::Started);
    }

    fn current_host(&self) -> Option<usize> {
        self.hosts.iter().position(|host| host.has_caller)
    }

    pub fn apply(&mut self, step: Step) {
        self.tally.count(format!("{step:?}").split('(').next().unwrap());
        match step {
            Step::Produce(engine) => self.produce(engine),
            Step::Deliver => self.deliver(true),
            Step::DeliverOther => self.deliver(false),
            Step::AnswerSearch => self.answer_search(),
            Step::AnswerProbe => self.answer_probe(),
            Step::DropProbes => self.hosts.iter_mut().for_each(|host| host.probes.clear()),
            Step::Advance(millis) => self.advance(millis),
            Step::Kill(engine) => self.kill(engine),
            Step::Revive(engine) => self.engines[engine] = Engine::default(),
            Step::Pause(engine) => self.engines[engine].is_paused = true,
            Step::Unpause(engine) => self.engines[engine].is_paused = false,
            Step::MarkFull(engine) => self.engines[engine].is_full = true,
            Step::MarkFree(engine) => self.engines[engine].is_full = false,
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
            Step::HostDies => self.detach_host(true),
            Step::HostPauses => self.detach_host(false),
            Step::FormerHostResumes => self.resume_former_hosts(),
            Step::CallerReconnects => self.reconnect_caller(),
            Step::CallerDisconnects => self.disconnect_caller(),
        }
    }

    fn produce(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if engine.is_dead || engine.is_paused {
            return;
        }
        if let Some(held) = &mut engine.held {
            held.produced = (held.produced + 1).min(output_len(held.sample));
        }
        self.send_produced(number);
    }

    /// Sends the produced tokens that are unsent, on the connection of the newest attempt.
    fn send_produced(&mut self, number: usize) {
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
            connection.write(Message::Token(position, token_text(held.sample, position)));
            connection.next += 1;
        }
        if held.produced == output_len(held.sample) {
            connection.write(Message::End(held.produced));
        }
    }

    /// Delivers the oldest message of the current attempt on the caller's host, or of any other connection.
    fn deliver(&mut self, is_current: bool) {
        let current_host = self.current_host();
        let attempt = current_host.map(|host| self.hosts[host].relay.attempt());
        let is_selected = |connection: &Connection| {
            let is_of_current = Some(connection.host) == current_host && Some(connection.attempt) == attempt;
            is_of_current == is_current && !connection.queue.is_empty()
        };
        let Some(connection) = self.connections.iter_mut().find(|connection| is_selected(connection)) else {
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
        self.send_event(host, event);
    }

    fn disturb(&mut self, change: impl Fn(&mut VecDeque<Message>)) {
        for connection in &mut self.connections {
            change(&mut connection.queue);
        }
    }

    fn answer_search(&mut self) {
        let Some(host) = self.current_host().filter(|host| !self.hosts[*host].searches.is_empty()) else {
            return;
        };
        let attempt = self.hosts[host].searches.pop_front().unwrap();
        // Routing detects a dead engine with a delay, so the search may still assign one.
        let choice = (attempt.get() as usize + self.now.as_micros() as usize / 7) % ENGINES;
        let event = if self.engines.iter().all(|engine| engine.is_dead || engine.is_full) {
            RelayEvent::Unassigned { attempt, retry_after: Duration::from_secs(1) }
        } else {
            RelayEvent::Assigned { attempt, endpoint: engine_id(choice) }
        };
        self.send_event(host, event);
    }

    fn answer_probe(&mut self) {
        let Some(host) = self.current_host().filter(|host| !self.hosts[*host].probes.is_empty()) else {
            return;
        };
        let (attempt, number) = self.hosts[host].probes.pop_front().unwrap();
        let engine = &self.engines[number];
        let report = match &engine.held {
            _ if engine.is_dead || engine.is_paused => ProbeReport::Dead,
            Some(held) => {
                let is_finished = held.produced == output_len(held.sample);
                ProbeReport::Holds { produced: held.produced, is_finished }
            }
            None => ProbeReport::Lives,
        };
        self.tally.count(format!("probe {report:?}").split(' ').take(2).collect::<Vec<_>>().join(" "));
        self.send_event(host, RelayEvent::Probed { attempt, report });
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for host in 0..self.hosts.len() {
            let has_caller = self.hosts[host].has_caller;
            if has_caller && self.hosts[host].timer_at.is_some_and(|at| at <= self.now) {
                self.hosts[host].timer_at = None;
                let timeouts = StreamTimeouts {
                    first_token: Duration::from_millis(800),
                    between_tokens: Duration::from_millis(250),
                };
                self.send_event(host, RelayEvent::TimerFired { timeouts });
            }
        }
    }

    fn kill(&mut self, number: usize) {
        self.engines[number] = Engine { is_dead: true, ..Engine::default() };
        let is_affected = |connection: &&mut Connection| connection.engine == number;
        self.connections.iter_mut().filter(is_affected).for_each(Connection::cut);
    }

    /// Makes the caller's host crash, or pause for so long that the caller abandons it.
    fn detach_host(&mut self, is_dead: bool) {
        let Some(host) = self.current_host() else {
            return;
        };
        self.hosts[host].has_caller = false;
        if is_dead {
            self.hosts[host].searches.clear();
            self.hosts[host].probes.clear();
            self.hosts[host].timer_at = None;
            self.connections.retain(|connection| connection.host != host);
        }
    }

    /// Resumes the hosts that lost their caller: each handles its pending searches, then the caller's disconnect.
    fn resume_former_hosts(&mut self) {
        for host in 0..self.hosts.len() {
            if !self.hosts[host].has_caller {
                while let Some(attempt) = self.hosts[host].searches.pop_front() {
                    let endpoint = engine_id(attempt.get() as usize % ENGINES);
                    self.send_event(host, RelayEvent::Assigned { attempt, endpoint });
                }
                self.send_event(host, RelayEvent::CallerLeft);
            }
        }
    }

    /// Reconnects the caller to another host with its cursor, or starts a new generation if it has no token.
    fn reconnect_caller(&mut self) {
        let is_retry = matches!(
            self.caller.end,
            None | Some(End::Failed(ErrorKind::GenerationLost | ErrorKind::NoEndpoint | ErrorKind::Superseded))
        );
        if self.caller.has_left || !is_retry || self.hosts.len() > 6 {
            return;
        }
        if let Some(host) = self.current_host() {
            if self.caller.end.is_none() {
                return;
            }
            self.hosts[host].has_caller = false;
        }
        self.caller.end = None;
        let relay = GenerationRelay::new(RelayPolicy::favour_latency());
        let Some(cursor) = self.caller.cursor.clone() else {
            // A caller without a cursor starts a generation with a new id, of which hosts and engines hold nothing.
            self.caller.tokens.clear();
            self.hosts.clear();
            self.connections.clear();
            self.engines.iter_mut().for_each(|engine| engine.held = None);
            return self.add_host(relay);
        };
        // As in the daemon, the new host queries the endpoint in the cursor for the generation.
        let engine = &self.engines[cursor.engine];
        let held = engine.held.as_ref().filter(|_| !engine.is_dead && !engine.is_paused);
        let newest = held.map_or(AttemptNumber::FIRST, |held| held.attempt).max(cursor.attempt);
        let endpoint = held.map(|_| engine_id(cursor.engine));
        self.tally.count(if endpoint.is_some() { "return attaches" } else { "return replays" });
        self.add_host(relay.taken_over(endpoint, newest.takeover(), cursor.position, cursor.digest));
    }

    fn disconnect_caller(&mut self) {
        self.caller.has_left = true;
        if let Some(host) = self.current_host() {
            self.hosts[host].has_caller = false;
            self.send_event(host, RelayEvent::CallerLeft);
        }
    }

    fn send_event(&mut self, host: usize, event: RelayEvent) {
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
            RelayAction::SetTimer { at } => self.hosts[host].timer_at = Some(at),
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
            RelayAction::Count(counter) => self.tally.count(counter.label()),
        }
    }

    fn close(&mut self, host: usize, attempt: AttemptNumber) {
        // Messages in transit still arrive: the relay must not depend on connections closing at once.
        let is_affected = |connection: &&mut Connection| connection.host == host && connection.attempt == attempt;
        self.connections.iter_mut().filter(is_affected).for_each(|connection| connection.is_open = false);
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
            self.send_produced(number);
        }
    }

    /// Submits an attempt and returns the engine's answer, or `None` if the engine is paused and does not answer.
    fn submit(&mut self, number: usize, attempt: AttemptNumber, mode: OpenMode, log: &[String]) -> Option<Message> {
        let sample = if self.is_greedy { 0 } else { self.samples + 1 };
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
        self.samples = self.samples.max(sample);
        let sample = if mode == OpenMode::Resume { resumed_sample(log).unwrap_or(sample) } else { sample };
        let produced = if mode == OpenMode::Resume { log.len() as u64 } else { 0 };
        engine.held = Some(HeldGeneration { attempt, sample, produced });
        Some(Message::Opened)
    }

    /// Verifies a delivered token: each arrives once, in order, and from the same sample as the first.
    fn check_token(&mut self, host: usize, position: u64, given: &str) {
        if !self.hosts[host].has_caller {
            return;
        }
        assert_eq!(self.caller.end, None, "a token was delivered after the final answer");
        assert_eq!(position, self.caller.tokens.len() as u64, "a token was skipped, repeated or reordered");
        let sample = self.caller.tokens.first().map_or_else(|| sample_of(given), |first| sample_of(first));
        assert_eq!(given, token_text(sample, position), "the token belongs to another sample");
        self.caller.tokens.push(given.to_owned());
        let relay = &self.hosts[host].relay;
        self.caller.cursor = Some(Cursor {
            // The relay returns several actions at a time; the caller's cursor belongs to the last token.
            position: relay.delivered(),
            digest: relay.digest(),
            attempt: relay.attempt(),
            engine: relay.endpoint().unwrap().parse().unwrap(),
        });
    }

    /// Verifies a final answer: there is only one, and its kind and token count are true.
    fn check_end(&mut self, host: usize, end: End, delivered: u64) {
        if !self.hosts[host].has_caller {
            return;
        }
        assert_eq!(self.caller.end, None, "the caller got a second final answer");
        assert_eq!(delivered, self.caller.tokens.len() as u64, "the final answer states a wrong token count");
        if end == End::Whole {
            let sample = sample_of(&self.caller.tokens[0]);
            assert_eq!(delivered, output_len(sample), "an incomplete answer was reported as complete");
        }
        if end == End::Failed(ErrorKind::NoEndpoint) {
            assert_eq!(delivered, 0, "`NoEndpoint` was returned, but tokens were delivered");
        }
        if end == End::Failed(ErrorKind::GenerationDiverged) {
            assert!(!self.is_greedy, "`GenerationDiverged` was returned for a replay of the same tokens");
        }
        self.tally.count(format!("end {end:?}"));
        self.caller.end = Some(end);
    }

    /// Ends all faults and runs the generation to its final answer; fails if a connected caller gets no token for 4 s.
    pub fn run_to_end(&mut self) {
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
            return self.check_cancelled();
        }
        self.resume_former_hosts();
        let mut last_progress = self.now;
        let mut tokens = self.caller.tokens.len();
        while !matches!(self.caller.end, Some(End::Whole | End::Failed(ErrorKind::GenerationDiverged))) {
            if self.current_host().is_none() || self.caller.end.is_some() {
                // A caller that got a retryable error reconnects; the number of hosts must not limit that here.
                self.hosts.iter_mut().for_each(|host| host.has_caller = false);
                self.resume_former_hosts();
                self.drop_former_hosts();
                self.reconnect_caller();
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
                "no token for 4 s though all engines are available: {}",
                self.describe()
            );
        }
    }

    /// Verifies that nothing is left of a generation whose caller has left, once every host knows of it: no relay runs on,
    /// none opens a connection, and no engine holds unfinished work.
    fn check_cancelled(&mut self) {
        const ROUNDS: usize = 20;
        self.resume_former_hosts();
        let connections = self.connections.len();
        for _ in 0..ROUNDS {
            self.deliver(true);
            self.deliver(false);
            self.advance(1_000);
        }
        let is_running = |host: &Host| host.relay.phase() != RelayPhase::Done || !host.searches.is_empty();
        assert!(!self.hosts.iter().any(is_running), "a relay runs on though its caller has left");
        assert_eq!(self.connections.len(), connections, "a connection was opened for a caller that has left");
        let unfinished = |held: &HeldGeneration| held.produced < output_len(held.sample);
        let held = self.engines.iter().filter_map(|engine| engine.held.as_ref()).find(|held| unfinished(held));
        assert!(held.is_none(), "an engine holds work of a caller that has left: {held:?}");
        self.tally.count("cancelled");
    }

    fn drop_former_hosts(&mut self) {
        let number = self.hosts.len();
        if number > 4 {
            self.hosts.drain(..);
            self.connections.clear();
        }
    }

    fn describe(&self) -> String {
        let phase = self.current_host().map(|host| self.hosts[host].relay.phase());
        format!("{:?}, {phase:?}, {:?}", self.caller.end, self.caller.tokens)
    }

    pub fn is_done(&self) -> bool {
        self.current_host().is_none_or(|host| self.hosts[host].relay.phase() == RelayPhase::Done)
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
