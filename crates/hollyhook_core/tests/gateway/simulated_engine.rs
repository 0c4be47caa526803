//! An engine in virtual time that generates events, and fails as a test orders.

use std::collections::VecDeque;

use hollyhook_core::{AttemptKey, EngineReport, EngineRun, TimePoint};

/// Time between two events of a run, in milliseconds, as are all times here.
pub const EVENT_GAP: u64 = 30;
/// Prompt tokens that an engine reads per millisecond.
pub const READ_RATE: u64 = 9;
/// How old the state is that an engine reports.
const REPORT_AGE: u64 = 200;

/// One attempt at a stream: the number of the stream, and the attempt's key in its race.
pub type RunId = (usize, AttemptKey);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineState {
    Running,
    PausedUntil(u64),
    /// The machine is gone: its connections stay open and carry nothing.
    Silent,
    /// The process has ended: its connections are reset, and new ones are refused.
    Crashed,
}

/// The connection that a run sends its events on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Link {
    Open,
    /// Carries nothing, in either direction, and neither end knows.
    Lost,
}

/// When a run sends the head of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunHead {
    AtOnce,
    WithFirstEvent,
    Sent,
}

#[derive(Debug, Clone)]
pub struct SimulatedRun {
    pub id: RunId,
    link: Link,
    is_closed: bool,
    is_stalled: bool,
    head: RunHead,
    next_event: u64,
    last_event: u64,
    due: u64,
}

/// What a run sends to its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunSignal {
    Head,
    Event(u64),
    End,
    Reset,
}

#[derive(Debug)]
pub struct SimulatedEngine {
    pub state: EngineState,
    pub runs: Vec<SimulatedRun>,
    /// The state in the past, with its time.
    reports: VecDeque<(u64, EngineReport)>,
    /// Until when nothing of what the engine sends arrives, while it works on.
    held_up_until: u64,
    held_up: Vec<(RunId, RunSignal)>,
    copy_start: CopyStart,
}

/// How a run that continues from a copy starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CopyStart {
    /// Time to the first event, beside [`EVENT_GAP`].
    pub delay: u64,
    /// Whether the head of the response comes with the first event.
    pub is_head_late: bool,
}

impl SimulatedEngine {
    pub fn new() -> Self {
        Self {
            state: EngineState::Running,
            runs: Vec::new(),
            reports: VecDeque::new(),
            held_up_until: 0,
            held_up: Vec::new(),
            copy_start: CopyStart::default(),
        }
    }

    pub fn with_copy_start(copy_start: CopyStart) -> Self {
        Self { copy_start, ..Self::new() }
    }

    /// Holds up all that the engine sends for this long.
    pub fn hold_up(&mut self, now: u64, span: u64) {
        self.held_up_until = now + span;
    }

    pub fn is_running(&self) -> bool {
        self.state == EngineState::Running
    }

    /// Whether the engine will run again, or runs.
    pub fn is_alive(&self) -> bool {
        matches!(self.state, EngineState::Running | EngineState::PausedUntil(_))
    }

    /// Whether the engine will go on to send the events of a run.
    pub fn is_sound(&self, id: RunId) -> bool {
        let run = self.runs.iter().find(|run| run.id == id);
        self.is_alive() && run.is_some_and(|run| run.link == Link::Open && !run.is_stalled)
    }

    /// Whether the engine works on a run now, on a connection that its host can close.
    pub fn works_on(&self, id: RunId) -> bool {
        self.is_running() && self.is_sound(id)
    }

    pub fn is_held_up(&self, now: u64) -> bool {
        now < self.held_up_until
    }

    /// Does nothing for this long, if the engine runs.
    pub fn pause(&mut self, now: u64, span: u64) {
        if self.is_running() {
            self.state = EngineState::PausedUntil(now + span);
            self.runs.iter_mut().for_each(|run| run.due += span);
        }
    }

    /// Begins a run after event `cursor` that continues from a copy.
    pub fn begin_from_copy(&mut self, now: u64, id: RunId, cursor: u64, last_event: u64) {
        self.begin(now, id, cursor, last_event, 0);
        let CopyStart { delay, is_head_late } = self.copy_start;
        if let Some(run) = self.runs.last_mut() {
            run.due += delay;
            run.head = if is_head_late { RunHead::WithFirstEvent } else { RunHead::AtOnce };
        }
    }

    /// Begins a run after event `cursor` that reads `prompt_tokens` first.
    pub fn begin(&mut self, now: u64, id: RunId, cursor: u64, last_event: u64, prompt_tokens: u64) {
        let begins_at = if let EngineState::PausedUntil(until) = self.state { until } else { now };
        self.runs.push(SimulatedRun {
            id,
            link: Link::Open,
            is_closed: false,
            is_stalled: false,
            head: RunHead::AtOnce,
            next_event: cursor + 1,
            last_event,
            due: begins_at + EVENT_GAP + prompt_tokens / READ_RATE,
        });
    }

    /// Closes the connection of a run at its host.
    pub fn close(&mut self, id: RunId) {
        if let Some(run) = self.runs.iter_mut().find(|run| run.id == id) {
            run.is_closed = true;
        }
    }

    /// Makes the connection of a run carry nothing any more.
    pub fn lose_link(&mut self, number: usize) {
        if let Some(run) = self.runs.get_mut(number) {
            run.link = Link::Lost;
        }
    }

    /// Makes a run produce nothing any more.
    pub fn stall(&mut self, number: usize) {
        if let Some(run) = self.runs.get_mut(number) {
            run.is_stalled = true;
        }
    }

    /// Ends the process; returns the runs whose hosts see a reset.
    pub fn crash(&mut self) -> Vec<RunId> {
        self.state = EngineState::Crashed;
        let runs = std::mem::take(&mut self.runs);
        runs.into_iter().filter(|run| run.link == Link::Open && !run.is_closed).map(|run| run.id).collect()
    }

    /// The state that the engine reports; `None` while it answers nothing.
    pub fn report(&self, now: u64) -> Option<EngineReport> {
        (self.is_running() && !self.is_held_up(now))
            .then(|| self.reports.front().map(|(_, report)| report.clone()).unwrap_or_default())
    }

    /// Goes on for one step; returns what the runs send.
    pub fn step(&mut self, now: u64) -> Vec<(RunId, RunSignal)> {
        if let EngineState::PausedUntil(until) = self.state
            && until <= now
        {
            self.state = EngineState::Running;
        }
        if !self.is_running() {
            return Vec::new();
        }
        self.runs.retain(|run| !run.is_closed || run.link == Link::Lost);
        let mut signals = if self.is_held_up(now) { Vec::new() } else { std::mem::take(&mut self.held_up) };
        for run in &mut self.runs {
            let sent = run.step(now);
            signals.extend(sent.into_iter().map(|signal| (run.id, signal)));
        }
        self.runs.retain(|run| run.next_event <= run.last_event);
        self.record_state(now);
        if self.is_held_up(now) {
            self.held_up.extend(signals);
            return Vec::new();
        }
        signals
    }

    fn record_state(&mut self, now: u64) {
        let (begun, reading): (Vec<_>, Vec<_>) =
            self.runs.iter().partition(|run| run.head == RunHead::Sent && run.has_events(now));
        let runs = begun.into_iter().map(|run| EngineRun {
            attempt_id: attempt_id(run.id.0).into(),
            tokens: 0,
            events: run.next_event - 1,
            priority: None,
        });
        let report = EngineReport {
            reading: reading.len() as u32,
            total_tokens: 88_000,
            runs: runs.collect(),
            ..EngineReport::default()
        };
        self.reports.push_back((now, report));
        while self.reports.get(1).is_some_and(|(at, _)| at + REPORT_AGE <= now) {
            self.reports.pop_front();
        }
    }
}

impl SimulatedRun {
    fn step(&mut self, now: u64) -> Vec<RunSignal> {
        let mut signals = Vec::new();
        let is_head_due = match self.head {
            RunHead::AtOnce => true,
            RunHead::WithFirstEvent => self.due <= now,
            RunHead::Sent => false,
        };
        if is_head_due {
            self.head = RunHead::Sent;
            signals.push(RunSignal::Head);
        }
        if self.due <= now && !self.is_stalled {
            signals.push(RunSignal::Event(self.next_event));
            if self.next_event == self.last_event {
                signals.push(RunSignal::End);
            }
            self.next_event += 1;
            self.due = now + EVENT_GAP;
        }
        if self.link == Link::Open { signals } else { Vec::new() }
    }

    /// Whether the run has read its prompt.
    fn has_events(&self, now: u64) -> bool {
        self.due <= now + EVENT_GAP
    }
}

/// The id of a stream's request.
pub fn attempt_id(stream: usize) -> String {
    format!("r{stream}")
}

pub fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}
