use std::fmt;
use std::str::FromStr;

use super::{TraceEnd, TraceLine, TraceOutcome, TraceStart};
use crate::{Error, ErrorKind, GenerationRelay, Name, RelayAction, RelayEvent, TimePoint};

/// A recorded trace; its text form has one JSON object per line.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayTrace {
    lines: Vec<TraceLine>,
}

/// The result of replaying a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceReplay {
    /// The outcome of the replay.
    pub outcome: TraceOutcome,
    /// All actions in order, each with the time of its event.
    pub actions: Vec<(TimePoint, RelayAction)>,
}

impl RelayTrace {
    /// Creates a trace with this initial state of the relay.
    pub fn new(start: TraceStart) -> Self {
        Self { lines: vec![TraceLine::Start(start)] }
    }

    /// Appends an event.
    pub fn push(&mut self, at: TimePoint, event: RelayEvent) {
        self.lines.push(TraceLine::At(at, event));
    }

    /// Replays the trace and records the outcome as its last line, in place of an earlier one.
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

    /// The outcome that the trace expects of a replay.
    pub fn expected_outcome(&self) -> Option<&TraceOutcome> {
        self.lines.iter().find_map(|line| match line {
            TraceLine::Outcome(outcome) => Some(outcome),
            _ => None,
        })
    }

    /// The recorded events with their times, in order.
    pub fn events(&self) -> impl Iterator<Item = (TimePoint, &RelayEvent)> {
        self.lines.iter().filter_map(|line| match line {
            TraceLine::At(at, event) => Some((*at, event)),
            _ => None,
        })
    }

    /// Replays the recorded events against the current implementation of the relay.
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
        let mut result = TraceReplay { outcome: TraceOutcome::initial(start.delivered), actions: Vec::new() };
        for (at, event) in self.events() {
            for action in relay.on(at, event.clone()) {
                result.outcome.apply(&action);
                result.actions.push((at, action));
            }
        }
        Ok(result)
    }
}

impl TraceOutcome {
    fn initial(delivered: u64) -> Self {
        Self {
            end: TraceEnd::Open,
            delivered,
            text: String::new(),
            notes: std::collections::BTreeMap::new(),
            cancelled: Vec::new(),
        }
    }

    fn apply(&mut self, action: &RelayAction) {
        match action {
            RelayAction::Deliver { text, .. } => {
                self.delivered += 1;
                self.text.push_str(text);
            }
            RelayAction::Complete { .. } => self.end = TraceEnd::Whole,
            RelayAction::Fail { kind, .. } => self.end = TraceEnd::Failed(*kind),
            RelayAction::Cancel { attempt, .. } => self.cancelled.push(*attempt),
            RelayAction::Count(counter) => *self.notes.entry(Name::from(counter.label())).or_default() += 1,
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

fn invalid(problem: &str) -> Error {
    Error::new(ErrorKind::InvalidRequest, format!("invalid trace: {problem}")).param("trace")
}
