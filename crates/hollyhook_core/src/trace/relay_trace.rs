use std::fmt;
use std::str::FromStr;

use super::{TraceEnd, TraceLine, TraceOutcome, TraceStart};
use crate::{Error, ErrorKind, GenerationRelay, Name, RelayAction, RelayEvent, TimePoint};

/// A recorded trace: one JSON object a line.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayTrace {
    lines: Vec<TraceLine>,
}

/// A replay: what came of it, and every action in order.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceReplay {
    /// What came of it.
    pub outcome: TraceOutcome,
    /// The actions and when they were decided.
    pub actions: Vec<(TimePoint, RelayAction)>,
}

impl RelayTrace {
    /// A trace that begins so.
    pub fn new(start: TraceStart) -> Self {
        Self { lines: vec![TraceLine::Start(start)] }
    }

    /// Records an event.
    pub fn push(&mut self, at: TimePoint, event: RelayEvent) {
        self.lines.push(TraceLine::At(at, event));
    }

    /// Ends the trace with what a replay of it gives now.
    ///
    /// # Errors
    ///
    /// `InvalidRequest` if the trace has no start.
    pub fn record_outcome(&mut self) -> Result<(), Error> {
        let outcome = self.replay()?.outcome;
        self.lines.retain(|line| !matches!(line, TraceLine::Outcome(_)));
        self.lines.push(TraceLine::Outcome(outcome));
        Ok(())
    }

    /// The outcome that the trace states.
    pub fn expected_outcome(&self) -> Option<&TraceOutcome> {
        self.lines.iter().find_map(|line| match line {
            TraceLine::Outcome(outcome) => Some(outcome),
            _ => None,
        })
    }

    /// The events in order.
    pub fn events(&self) -> impl Iterator<Item = (TimePoint, &RelayEvent)> {
        self.lines.iter().filter_map(|line| match line {
            TraceLine::At(at, event) => Some((*at, event)),
            _ => None,
        })
    }

    /// Feeds the events to a relay of now.
    ///
    /// # Errors
    ///
    /// `InvalidRequest` if the trace has no start.
    pub fn replay(&self) -> Result<TraceReplay, Error> {
        let start = self.lines.iter().find_map(|line| match line {
            TraceLine::Start(start) => Some(start),
            _ => None,
        });
        let start = start.ok_or_else(|| invalid("the trace has no `start` line"))?;
        let relay = GenerationRelay::new(start.policy.clone());
        let mut relay = relay.taken_over(start.endpoint.clone(), start.attempt, start.delivered, start.digest);
        let mut run = TraceReplay { outcome: TraceOutcome::open(start.delivered), actions: Vec::new() };
        for (at, event) in self.events() {
            for action in relay.on(at, event.clone()) {
                run.outcome.take(&action);
                run.actions.push((at, action));
            }
        }
        Ok(run)
    }
}

impl TraceOutcome {
    fn open(delivered: u64) -> Self {
        Self {
            end: TraceEnd::Open,
            delivered,
            text: String::new(),
            notes: std::collections::BTreeMap::new(),
            cancelled: Vec::new(),
        }
    }

    fn take(&mut self, action: &RelayAction) {
        match action {
            RelayAction::Deliver { text, .. } => {
                self.delivered += 1;
                self.text.push_str(text);
            }
            RelayAction::Complete { .. } => self.end = TraceEnd::Whole,
            RelayAction::Fail { kind, .. } => self.end = TraceEnd::Failed(*kind),
            RelayAction::Cancel { attempt, .. } => self.cancelled.push(*attempt),
            RelayAction::Count(note) => *self.notes.entry(Name::from(note.label())).or_default() += 1,
            _ => {}
        }
    }
}

impl fmt::Display for RelayTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{}", serde_json::to_string(line).map_err(|_error| fmt::Error)?)?;
        }
        Ok(())
    }
}

impl FromStr for RelayTrace {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut lines = Vec::new();
        for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let parsed = serde_json::from_str(line);
            lines.push(parsed.map_err(|error| invalid(&format!("line {}: {error}", number + 1)))?);
        }
        Ok(Self { lines })
    }
}

fn invalid(what: &str) -> Error {
    Error::new(ErrorKind::InvalidRequest, format!("this is no trace: {what}")).param("trace")
}
