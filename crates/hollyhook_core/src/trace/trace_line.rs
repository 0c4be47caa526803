use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{AttemptNumber, EndpointId, ErrorKind, Name, PrefixDigest, RelayEvent, RelayPolicy, TimePoint};

/// One line of a trace, as one JSON object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceLine {
    /// What the trace is about, in words.
    About(Name),
    /// How the relay begins; the first line but for what it is about.
    Start(TraceStart),
    /// An event, at a time in microseconds.
    At(TimePoint, RelayEvent),
    /// What must have come of it; the last line.
    Outcome(TraceOutcome),
}

/// How a relay begins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceStart {
    /// The policy.
    pub policy: RelayPolicy,
    /// Where the generation is taken over from, if it is and someone holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointId>,
    /// The first attempt on this host.
    pub attempt: AttemptNumber,
    /// Tokens that the caller held before.
    #[serde(default)]
    pub delivered: u64,
    /// Their digest.
    #[serde(default)]
    pub digest: PrefixDigest,
}

/// How a generation ended on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceEnd {
    /// Whole.
    Whole,
    /// With a truthful error.
    Failed(ErrorKind),
    /// The caller left, or the trace stops before the end.
    Open,
}

/// What came of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceOutcome {
    /// How it ended.
    pub end: TraceEnd,
    /// Tokens that the caller holds, those from before included.
    pub delivered: u64,
    /// The text delivered on this host.
    pub text: String,
    /// How often each note was made.
    #[serde(default)]
    pub notes: BTreeMap<Name, u64>,
    /// Cancel orders given, by attempt.
    #[serde(default)]
    pub cancelled: Vec<AttemptNumber>,
}
