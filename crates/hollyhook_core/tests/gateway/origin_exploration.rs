//! Explores the states of origin snapshots: hosts that begin streams, write, are lost and start again while versions come
//! and go.
//!
//! Guards against a stream that is continued at a version that did not begin it, and against streams whose version is
//! unknown although the store tells it. All hosts may be lost after any event, so the properties are checked in each state
//! from what the store holds.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use hollyhook_core::{
    Name, OriginJournal, OriginLedger, OriginSnapshot, RecordVerdict, ServiceVersions, SnapshotEvidence,
    SnapshotWriter, StreamKey, StreamOrigin, TimePoint,
};
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

const SERVICE: &str = "model";
const INTERVAL: Duration = Duration::from_millis(250);
/// Writes that the store may execute later; a host sends one at a time.
const MAX_SENT: usize = 2;
/// How often all that began before is over, in one exploration.
const MAX_LIFETIMES: u32 = 3;
/// Length of the orders of which all are explored.
const MAX_ORDER: usize = 7;
/// Fewer would show that the model prevents events.
const MIN_STATES: usize = 5_000;
const WALKS: u64 = 4_000;
const WALK_LENGTH: usize = 120;
const HOST_NAMES: [&str; 2] = ["host-a", "host-b"];
const VERSION_NAMES: [&str; 3] = ["v1", "v2", "v3"];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// Endpoints of a version register.
    Register(usize),
    /// The endpoints of a version are leaving.
    Drain(usize),
    /// The endpoints of a version have gone.
    Leave(usize),
    /// A host applies the list of endpoints.
    ReadEndpoints(usize),
    /// A host applies the record of versions.
    ReadRecord(usize),
    /// A host adds the versions that it has seen to the record.
    WriteRecord(usize),
    /// A host reads its own object.
    ReadSnapshot(usize),
    /// A host sends an attempt at a stream to a version.
    Attempt {
        host: usize,
        stream: usize,
        version: usize,
    },
    /// The version of an attempt sends the stream's first event to the host.
    SendFirst {
        stream: usize,
        version: usize,
    },
    /// The host passes the first event on to the caller.
    Deliver(usize),
    /// A host sends a copy of a stream's origin to another one.
    Copy {
        stream: usize,
        to: usize,
    },
    /// A caller comes back to a host that finds the stream's version in the store, and gets events from there.
    TakeUp {
        host: usize,
        stream: usize,
    },
    BeginWrite(usize),
    /// The store executes a write, possibly after its host has given it up or was lost.
    Execute(usize),
    /// The store's answer to an executed or refused write reaches the host.
    Answer(usize),
    /// A host gets no answer in time.
    TimeOut(usize),
    Lose(usize),
    Start(usize),
    /// Nothing that began before can come back any more.
    PassLifetime,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EndpointPhase {
    Absent,
    Live,
    Leaving,
}

/// What a host's process knows.
#[derive(Debug, Default)]
struct Process {
    journal: OriginJournal,
    writer: SnapshotWriter,
    live: BTreeSet<usize>,
    /// Versions whose endpoints this process has seen lately.
    recent: BTreeSet<usize>,
    /// The versions that this process has seen recorded; `None` before it has read the record.
    recorded: Option<BTreeSet<usize>>,
    revision: u64,
    has_read_snapshot: bool,
    is_waiting: bool,
}

/// A write that was sent.
#[derive(Debug)]
struct SentWrite {
    host: usize,
    /// The revision that the write replaces.
    replaced: u64,
    content: OriginSnapshot,
    /// Whether the process that sent it waits for the answer.
    is_awaited: bool,
    /// The new revision once it was executed, or that it was refused.
    outcome: Option<Result<u64, ()>>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum StreamPhase {
    Fresh,
    /// Attempts were sent to these versions.
    Sent {
        host: usize,
        versions: BTreeSet<usize>,
    },
    /// The first event waits until the version is recorded.
    Waiting {
        host: usize,
        version: usize,
    },
    /// The caller has events.
    Begun {
        host: usize,
        version: usize,
    },
    /// The stream can't come back.
    Ended,
}

#[derive(Debug)]
struct StreamState {
    phase: StreamPhase,
    /// Whether a write was confirmed that lists the stream under its version alone.
    is_confirmed: bool,
}

/// How large a world is explored.
#[derive(Debug, Clone, Copy)]
struct WorldSize {
    hosts: usize,
    versions: usize,
    streams: usize,
}

#[derive(Debug)]
struct World {
    size: WorldSize,
    lifetimes: u32,
    endpoints: Vec<EndpointPhase>,
    record: BTreeSet<usize>,
    hosts: Vec<Option<Process>>,
    /// The number of processes that have started.
    starts: u64,
    /// Whether a process inherited what an earlier one may have begun within the lifetime of origins.
    has_restarted: bool,
    objects: Vec<(u64, Option<OriginSnapshot>)>,
    sent: Vec<SentWrite>,
    streams: Vec<StreamState>,
}

fn version_name(version: usize) -> Name {
    VERSION_NAMES[version].into()
}

fn names(versions: &BTreeSet<usize>) -> BTreeSet<Name> {
    versions.iter().map(|version| version_name(*version)).collect()
}

impl Process {
    fn possible(&self) -> BTreeSet<usize> {
        &self.recent | self.recorded.as_ref().unwrap_or(&BTreeSet::new())
    }

    fn apply_versions(&mut self) {
        let versions = ServiceVersions { live: names(&self.live), possible: names(&self.possible()) };
        self.writer.set_services(BTreeMap::from([(SERVICE.into(), versions)]));
    }

    /// The versions that new streams may begin at, as the record admits them.
    fn admits(&self, version: usize) -> bool {
        let Some(recorded) = &self.recorded else {
            return false;
        };
        self.live.contains(&version) && (recorded.contains(&version) || recorded.is_disjoint(&self.live))
    }

    fn next_write(&self, now: TimePoint) -> Option<TimePoint> {
        self.writer.next_write(now, &self.journal, INTERVAL)
    }

    /// Whether what the host reads when it has started is still missing.
    fn is_unread(&self) -> bool {
        self.recorded.is_none() || self.recent.is_empty() || !self.has_read_snapshot
    }
}

impl World {
    /// All hosts have started and read everything; the first version serves.
    fn new(size: WorldSize) -> Self {
        let endpoints = (0..size.versions).map(|version| match version {
            0 => EndpointPhase::Live,
            _ => EndpointPhase::Absent,
        });
        let mut world = Self {
            size,
            lifetimes: 0,
            endpoints: endpoints.collect(),
            record: BTreeSet::from([0]),
            hosts: (0..size.hosts).map(|_| None).collect(),
            starts: 0,
            has_restarted: false,
            objects: vec![(0, None); size.hosts],
            sent: Vec::new(),
            streams: Vec::new(),
        };
        world.streams.extend((0..size.streams).map(|_| StreamState { phase: StreamPhase::Fresh, is_confirmed: false }));
        for host in 0..size.hosts {
            for event in
                [Event::Start(host), Event::ReadEndpoints(host), Event::ReadRecord(host), Event::ReadSnapshot(host)]
            {
                world.apply(event);
            }
        }
        // What an earlier process may have begun is over.
        world.pass_lifetime();
        world
    }

    fn now(&self) -> TimePoint {
        TimePoint::ZERO + OriginLedger::LIFETIME * self.lifetimes
    }

    /// The key of a stream; after the lifetime of origins another stream takes its place.
    fn key(&self, stream: usize) -> StreamKey {
        StreamKey::new(&format!("{stream}-{}", self.lifetimes))
    }

    fn process(&mut self, host: usize) -> &mut Process {
        self.hosts[host].as_mut().expect("the event needs a host that runs")
    }

    /// The events that may happen now.
    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for version in 0..self.size.versions {
            match self.endpoints[version] {
                EndpointPhase::Absent => events.push(Event::Register(version)),
                EndpointPhase::Live => events.extend([Event::Drain(version), Event::Leave(version)]),
                EndpointPhase::Leaving => events.extend([Event::Register(version), Event::Leave(version)]),
            }
        }
        // A version that served before it could be recorded is not covered once its endpoints have gone.
        events.retain(|event| !matches!(event, Event::Leave(version) if self.has_unrecorded_streams(*version)));
        for host in 0..self.size.hosts {
            self.add_host_events(host, &mut events);
        }
        for stream in 0..self.size.streams {
            self.add_stream_events(stream, &mut events);
        }
        for (index, sent) in self.sent.iter().enumerate() {
            match sent.outcome {
                None => events.push(Event::Execute(index)),
                Some(_) if sent.is_awaited => events.push(Event::Answer(index)),
                Some(_) => {}
            }
            if sent.is_awaited {
                events.push(Event::TimeOut(index));
            }
        }
        if self.lifetimes < MAX_LIFETIMES {
            events.push(Event::PassLifetime);
        }
        events
    }

    fn has_unrecorded_streams(&self, version: usize) -> bool {
        let may_begin = |stream: &StreamState| match &stream.phase {
            StreamPhase::Sent { versions, .. } => versions.contains(&version),
            StreamPhase::Waiting { version: found, .. } | StreamPhase::Begun { version: found, .. } => {
                *found == version
            }
            StreamPhase::Fresh | StreamPhase::Ended => false,
        };
        !self.record.contains(&version) && self.streams.iter().any(may_begin)
    }

    fn add_host_events(&self, host: usize, events: &mut Vec<Event>) {
        let Some(process) = &self.hosts[host] else {
            events.push(Event::Start(host));
            return;
        };
        events.push(Event::Lose(host));
        if process.live != self.live() || !self.registered().is_subset(&process.recent) {
            events.push(Event::ReadEndpoints(host));
        }
        let recorded = process.recorded.as_ref();
        if recorded.is_none_or(|recorded| !self.record.is_subset(recorded)) {
            events.push(Event::ReadRecord(host));
        }
        if recorded.is_some_and(|recorded| self.record.is_subset(recorded)) && !process.recent.is_subset(&self.record) {
            events.push(Event::WriteRecord(host));
        }
        // The record of versions and the endpoints are read before the snapshot.
        if recorded.is_none() || process.recent.is_empty() || process.is_waiting {
            return;
        }
        if process.writer.needs_reading() {
            events.push(Event::ReadSnapshot(host));
        } else if process.next_write(self.now()).is_some() && self.sent.len() < MAX_SENT {
            events.push(Event::BeginWrite(host));
        }
    }

    fn add_stream_events(&self, stream: usize, events: &mut Vec<Event>) {
        match &self.streams[stream].phase {
            StreamPhase::Fresh => {
                (0..self.size.hosts).for_each(|host| self.add_attempts(host, stream, &BTreeSet::new(), events));
            }
            StreamPhase::Sent { host, versions } => {
                self.add_attempts(*host, stream, versions, events);
                let can_send = |version: &&usize| self.endpoints[**version] != EndpointPhase::Absent;
                let senders = versions.iter().filter(can_send);
                events.extend(senders.map(|version| Event::SendFirst { stream, version: *version }));
            }
            StreamPhase::Waiting { host, version } => {
                if self.allows(*host, stream, *version) {
                    events.push(Event::Deliver(stream));
                }
            }
            StreamPhase::Begun { host, .. } => {
                let is_ready = |host: &usize| self.hosts[*host].as_ref().is_some_and(|process| !process.is_unread());
                let ready = || (0..self.size.hosts).filter(is_ready);
                if self.hosts[*host].is_some() {
                    events.extend(ready().filter(|to| to != host).map(|to| Event::Copy { stream, to }));
                }
                events.extend(ready().map(|host| Event::TakeUp { host, stream }));
            }
            StreamPhase::Ended => {}
        }
    }

    /// Adds the attempts that a host may send. Those at a version that was closed after its engine was chosen too.
    fn add_attempts(&self, host: usize, stream: usize, sent: &BTreeSet<usize>, events: &mut Vec<Event>) {
        let Some(process) = &self.hosts[host] else {
            return;
        };
        let versions = (0..self.size.versions).filter(|version| process.admits(*version) && !sent.contains(version));
        events.extend(versions.map(|version| Event::Attempt { host, stream, version }));
    }

    fn allows(&self, host: usize, stream: usize, version: usize) -> bool {
        let process = self.hosts[host].as_ref();
        let verdict = process.map(|process| process.writer.verdict(SERVICE, self.key(stream), VERSION_NAMES[version]));
        verdict == Some(RecordVerdict::Recorded)
    }

    fn live(&self) -> BTreeSet<usize> {
        (0..self.size.versions).filter(|version| self.endpoints[*version] == EndpointPhase::Live).collect()
    }

    fn registered(&self) -> BTreeSet<usize> {
        (0..self.size.versions).filter(|version| self.endpoints[*version] != EndpointPhase::Absent).collect()
    }

    fn apply(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Register(version) => self.endpoints[version] = EndpointPhase::Live,
            Event::Drain(version) => self.endpoints[version] = EndpointPhase::Leaving,
            Event::Leave(version) => self.endpoints[version] = EndpointPhase::Absent,
            Event::ReadEndpoints(host) => {
                let (live, registered) = (self.live(), self.registered());
                let process = self.process(host);
                process.live = live;
                process.recent.extend(registered);
                process.apply_versions();
            }
            Event::ReadRecord(host) => {
                let record = self.record.clone();
                let process = self.process(host);
                process.recorded.get_or_insert_default().extend(record);
                process.apply_versions();
            }
            Event::WriteRecord(host) => {
                let recent = self.process(host).recent.clone();
                self.record.extend(&recent);
                let process = self.process(host);
                process.recorded.get_or_insert_default().extend(recent);
                process.apply_versions();
            }
            Event::ReadSnapshot(host) => {
                let (revision, content) = self.objects[host].clone();
                self.has_restarted |= !self.process(host).has_read_snapshot;
                let process = self.process(host);
                process.revision = revision;
                process.has_read_snapshot = true;
                process.writer.apply_reading(now, content);
            }
            Event::Attempt { host, stream, version } => self.send_attempt(host, stream, version),
            Event::SendFirst { stream, version } => self.receive_event(stream, version),
            Event::Deliver(stream) => {
                if let StreamPhase::Waiting { host, version } = self.streams[stream].phase {
                    self.streams[stream].phase = StreamPhase::Begun { host, version };
                }
            }
            Event::Copy { stream, to } => {
                if let StreamPhase::Begun { version, .. } = self.streams[stream].phase {
                    let key = self.key(stream);
                    self.process(to).journal.record_copy(now, key, &version_name(version));
                }
            }
            Event::TakeUp { host, stream } => self.take_up(host, stream),
            Event::BeginWrite(host) => self.begin_write(host),
            Event::Execute(index) => self.execute(index),
            Event::Answer(index) => self.answer(index),
            Event::TimeOut(index) => {
                let host = self.sent[index].host;
                self.sent[index].is_awaited = false;
                let process = self.process(host);
                process.is_waiting = false;
                process.writer.record_unanswered();
            }
            Event::Lose(host) => self.lose(host),
            Event::Start(host) => {
                self.starts += 1;
                self.hosts[host] = Some(Process { writer: SnapshotWriter::new(self.starts), ..Process::default() });
                self.has_restarted = true;
            }
            Event::PassLifetime => self.pass_lifetime(),
        }
        self.sent.retain(|sent| sent.outcome.is_none() || sent.is_awaited);
    }

    fn send_attempt(&mut self, host: usize, stream: usize, version: usize) {
        let (now, key) = (self.now(), self.key(stream));
        self.process(host).journal.record_attempt(now, key, &SERVICE.into(), &version_name(version));
        let phase = &mut self.streams[stream].phase;
        match phase {
            StreamPhase::Sent { versions, .. } => drop(versions.insert(version)),
            _ => *phase = StreamPhase::Sent { host, versions: BTreeSet::from([version]) },
        }
    }

    fn receive_event(&mut self, stream: usize, version: usize) {
        let StreamPhase::Sent { host, .. } = self.streams[stream].phase else {
            return;
        };
        let (now, key) = (self.now(), self.key(stream));
        self.process(host).journal.record_begun(now, key, &SERVICE.into(), &version_name(version));
        self.streams[stream].phase = StreamPhase::Waiting { host, version };
        if !self.allows(host, stream, version) {
            self.process(host).writer.request_write();
        }
    }

    fn take_up(&mut self, host: usize, stream: usize) {
        if let StreamOrigin::Version(version) = self.origin(self.key(stream)) {
            let (now, key) = (self.now(), self.key(stream));
            self.process(host).journal.record_begun(now, key, &SERVICE.into(), &version);
        }
    }

    fn begin_write(&mut self, host: usize) {
        let now = self.now();
        let process = self.process(host);
        process.is_waiting = true;
        let (replaced, content) = (process.revision, process.writer.begin_write(now, &mut process.journal));
        self.sent.push(SentWrite { host, replaced, content, is_awaited: true, outcome: None });
    }

    fn execute(&mut self, index: usize) {
        let sent = &mut self.sent[index];
        let (revision, content) = &mut self.objects[sent.host];
        sent.outcome = Some(if *revision == sent.replaced {
            *revision += 1;
            *content = Some(sent.content.clone());
            Ok(*revision)
        } else {
            Err(())
        });
    }

    fn answer(&mut self, index: usize) {
        let sent = self.sent.remove(index);
        let process = self.process(sent.host);
        process.is_waiting = false;
        let Some(Ok(revision)) = sent.outcome else {
            process.writer.reject_write(true);
            return;
        };
        process.revision = revision;
        process.writer.confirm_write();
        for stream in 0..self.size.streams {
            let StreamPhase::Begun { version, .. } = self.streams[stream].phase else {
                continue;
            };
            if sent.content.listed(self.key(stream)).eq([&version_name(version)]) {
                self.streams[stream].is_confirmed = true;
            }
        }
    }

    fn lose(&mut self, host: usize) {
        self.hosts[host] = None;
        self.sent.iter_mut().filter(|sent| sent.host == host).for_each(|sent| sent.is_awaited = false);
        for stream in &mut self.streams {
            match stream.phase {
                StreamPhase::Sent { host: found, .. } | StreamPhase::Waiting { host: found, .. } if found == host => {
                    stream.phase = StreamPhase::Ended;
                }
                _ => {}
            }
        }
    }

    /// Ends all streams; versions without endpoints are forgotten, and removed from the record by hosts that run.
    fn pass_lifetime(&mut self) {
        let now = self.now();
        for sent in std::mem::take(&mut self.sent).iter().filter(|sent| sent.is_awaited) {
            let process = self.process(sent.host);
            process.is_waiting = false;
            process.writer.record_unanswered();
        }
        let keys: Vec<_> = (0..self.size.streams).map(|stream| self.key(stream)).collect();
        let (live, registered) = (self.live(), self.registered());
        if self.hosts.iter().flatten().any(|process| !process.is_unread()) && !registered.is_empty() {
            self.record.retain(|version| registered.contains(version));
        }
        for process in self.hosts.iter_mut().flatten() {
            for key in &keys {
                process.journal.record_ended(now, *key);
            }
            (process.live, process.recent) = (live.clone(), registered.clone());
            if let Some(recorded) = &mut process.recorded {
                recorded.retain(|version| registered.contains(version));
            }
            process.apply_versions();
        }
        self.streams.fill_with(|| StreamState { phase: StreamPhase::Fresh, is_confirmed: false });
        self.lifetimes += 1;
        self.has_restarted = self.hosts.iter().any(Option::is_none);
    }

    /// The version that began a stream, as a host finds it that has just started after the loss of all.
    fn origin(&self, key: StreamKey) -> StreamOrigin {
        let objects = HOST_NAMES.iter().zip(&self.objects);
        let snapshots = objects.filter_map(|(name, (_, content))| Some(((*name).into(), content.clone()?)));
        let recorded = BTreeMap::from([(SERVICE.into(), names(&self.record))]);
        let evidence = SnapshotEvidence { snapshots: snapshots.collect(), recorded };
        let hosts = HOST_NAMES[..self.size.hosts].iter().map(|name| (*name).into()).collect();
        evidence.resolve(SERVICE, key, Some(&hosts), &names(&self.registered()))
    }

    /// The version that alone can have begun a stream that is not listed, by what the hosts know: all run, have written
    /// all that they have to tell, and have inherited nothing, and the same version alone is live at each.
    fn only_version(&self) -> Option<usize> {
        let has_told = |process: &Process| {
            let is_idle = !process.is_waiting && !process.writer.needs_reading();
            !process.is_unread() && is_idle && process.next_write(self.now()).is_none()
        };
        let live = self.live();
        let knows =
            |process: &Process| process.live == live && process.possible() == self.record && self.record.len() > 1;
        let all_hosts = self.hosts.iter().all(|host| host.as_ref().is_some_and(|host| has_told(host) && knows(host)));
        let is_known = all_hosts && !self.has_restarted && self.registered().is_subset(&self.record);
        live.first().copied().filter(|_| is_known && live.len() == 1)
    }

    /// Returns what is wrong in this state.
    fn check(&self) -> Result<(), String> {
        for (index, stream) in self.streams.iter().enumerate() {
            match stream.phase {
                StreamPhase::Begun { version, .. } => {
                    let (origin, expected) =
                        (self.origin(self.key(index)), StreamOrigin::Version(version_name(version)));
                    if origin != expected && (origin != StreamOrigin::Unknown || stream.is_confirmed) {
                        return Err(format!("stream {index} of {expected:?} is taken for {origin:?}"));
                    }
                }
                StreamPhase::Waiting { host, version } => {
                    let is_stuck = self.hosts[host].as_ref().is_some_and(|process| {
                        let is_idle = !process.is_waiting && !process.writer.needs_reading();
                        is_idle && process.next_write(self.now()).is_none()
                    });
                    if is_stuck && !self.allows(host, index, version) {
                        return Err(format!("stream {index} waits for a snapshot that is never written"));
                    }
                }
                _ => {}
            }
        }
        if let Some(version) = self.only_version() {
            let (origin, expected) =
                (self.origin(StreamKey::new("other")), StreamOrigin::Version(version_name(version)));
            if origin != expected {
                return Err(format!("a stream that is not listed is taken for {origin:?} in place of {expected:?}"));
            }
        }
        Ok(())
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// The world after these events.
fn replay(size: WorldSize, trace: &[Event]) -> World {
    let mut world = World::new(size);
    for event in trace {
        world.apply(*event);
    }
    world
}

/// Removes events from a trace, as long as what is left can happen and ends in a state that is wrong.
fn reduce(size: WorldSize, trace: &[Event]) -> Vec<Event> {
    let is_wrong = |trace: &[Event]| {
        let mut world = World::new(size);
        trace.iter().all(|event| {
            let is_possible = world.events().contains(event);
            if is_possible {
                world.apply(*event);
            }
            is_possible
        }) && world.check().is_err()
    };
    let mut reduced = trace.to_vec();
    let mut index = 0;
    while index < reduced.len() {
        for length in [2, 1] {
            let mut shorter = reduced.clone();
            shorter.drain(index..(index + length).min(reduced.len()));
            if is_wrong(&shorter) {
                reduced = shorter;
                index = 0;
                break;
            }
            if length == 1 {
                index += 1;
            }
        }
    }
    reduced
}

fn assert_right(size: WorldSize, world: &World, trace: &[Event]) {
    if let Err(fault) = world.check() {
        let reduced = reduce(size, trace);
        panic!("{fault}; reduced: {reduced:?}, {:?}", replay(size, &reduced).check());
    }
}

/// Checks every order of up to `MAX_ORDER` events at one host after the events `begun`.
fn explore_after(begun: &[Event]) {
    let size = WorldSize { hosts: 1, versions: 2, streams: 1 };
    let mut seen = HashSet::new();
    let mut open = VecDeque::from([begun.to_vec()]);
    while let Some(trace) = open.pop_front() {
        for event in replay(size, &trace).events() {
            let mut next = trace.clone();
            next.push(event);
            let world = replay(size, &next);
            if !seen.insert(world.fingerprint()) {
                continue;
            }
            assert_right(size, &world, &next);
            if next.len() < begun.len() + MAX_ORDER {
                open.push_back(next);
            }
        }
    }
    assert!(seen.len() > MIN_STATES, "{} states", seen.len());
}

/// Events after which two versions serve, and the store tells that streams may begin at both.
const SECOND_VERSION: [Event; 6] = [
    Event::Register(1),
    Event::ReadEndpoints(0),
    Event::WriteRecord(0),
    Event::BeginWrite(0),
    Event::Execute(0),
    Event::Answer(0),
];
/// Further events after which the store tells that no stream may begin at the first version.
const FIRST_CLOSED: [Event; 5] =
    [Event::Drain(0), Event::ReadEndpoints(0), Event::BeginWrite(0), Event::Execute(0), Event::Answer(0)];

#[test]
fn streams_kept_at_their_versions_when_second_version_appears() {
    explore_after(&[]);
}

#[test]
fn streams_kept_at_their_versions_while_two_versions_serve() {
    explore_after(&SECOND_VERSION);
}

#[test]
fn streams_kept_at_their_versions_after_first_version_closed() {
    explore_after(&[&SECOND_VERSION[..], &FIRST_CLOSED].concat());
}

/// Random orders, at two hosts with three versions.
#[test]
fn streams_kept_at_their_versions_in_random_orders() {
    let size = WorldSize { hosts: 2, versions: 3, streams: 2 };
    for seed in 0..WALKS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut world, mut trace) = (World::new(size), Vec::new());
        for _ in 0..WALK_LENGTH {
            let events = world.events();
            let event = *events.choose_weighted(&mut random, |event| weight(*event)).expect("an endpoint can change");
            world.apply(event);
            trace.push(event);
            assert_right(size, &world, &trace);
        }
    }
}

/// How often an event is chosen; losses, and the lifetime of origins, leave little of what happened before.
fn weight(event: Event) -> u32 {
    match event {
        Event::PassLifetime => 1,
        Event::Lose(_) | Event::Leave(_) => 2,
        Event::Register(_) | Event::Drain(_) | Event::TimeOut(_) => 4,
        _ => 8,
    }
}
