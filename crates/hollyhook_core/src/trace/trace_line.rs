use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{AttemptNumber, EndpointId, ErrorKind, Name, PrefixDigest, RelayEvent, RelayPolicy, TimePoint};

/// One line of a trace, as one JSON object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceLine {
    /// A description of the trace for readers.
    About(Name),
    /// The initial state of the relay; the first line apart from `About`.
    Start(TraceStart),
    /// An event and its time in microseconds.
    At(TimePoint, RelayEvent),
    /// The outcome that a replay must have; the last line.
    Outcome(TraceOutcome),
}

/// The initial state of a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceStart {
    /// The relay's policy.
    pub policy: RelayPolicy,
    /// The endpoint that holds the generation, if the relay takes over one that is still held.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointId>,
    /// The number of the first attempt on this host.
    pub attempt: AttemptNumber,
    /// The number of tokens that the caller already has.
    #[serde(default)]
    pub delivered: u64,
    /// The digest of the tokens that the caller already has.
    #[serde(default)]
    pub digest: PrefixDigest,
}

/// How a generation ended on one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceEnd {
    /// The caller received the complete generation.
    Whole,
    /// The caller received an error.
    Failed(ErrorKind),
    /// The caller disconnected, or the trace stops before the end.
    Open,
}

/// The outcome of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceOutcome {
    /// How the generation ended.
    pub end: TraceEnd,
    /// The number of tokens that the caller has, including those from before the trace.
    pub delivered: u64,
    /// The text delivered by this host.
    pub text: String,
    /// How often each [`RelayCounter`](crate::RelayCounter) was incremented, by label.
    #[serde(default)]
    pub notes: BTreeMap<Name, u64>,
    /// The attempts that were cancelled, in order.
    #[serde(default)]
    pub cancelled: Vec<AttemptNumber>,
}
