use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{AttemptNumber, EndReason, StreamTimeouts};
use crate::EndpointId;
use crate::time::span_millis;

/// What the driver reports to a [`GenerationRelay`](super::GenerationRelay).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayEvent {
    /// The request was admitted.
    Started,
    /// The search that `Assign` asked for found an endpoint.
    Assigned {
        /// The attempt that the search was for.
        attempt: AttemptNumber,
        /// The endpoint found.
        endpoint: EndpointId,
    },
    /// The search found none that can take it now.
    Unassigned {
        /// The attempt that the search was for.
        attempt: AttemptNumber,
        /// When a new request may find one, in milliseconds.
        #[serde(with = "span_millis")]
        retry_after: Duration,
    },
    /// The endpoint accepted the attempt.
    Opened {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// A token came.
    TokenArrived {
        /// The attempt whose connection it came on.
        attempt: AttemptNumber,
        /// Its position in the generation, from 0.
        position: u64,
        /// Its text.
        text: String,
    },
    /// The end mark came.
    EndArrived {
        /// The attempt whose connection it came on.
        attempt: AttemptNumber,
        /// The number of tokens of the whole generation.
        position: u64,
        /// Why the engine ended.
        reason: EndReason,
    },
    /// No connection could be made: nothing was sent.
    Unreachable {
        /// The attempt that it was for.
        attempt: AttemptNumber,
    },
    /// The connection ended or broke before the end mark.
    ConnectionLost {
        /// The attempt whose connection it was.
        attempt: AttemptNumber,
    },
    /// The endpoint answered the attempt with a refusal.
    Refused {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        refusal: EndpointRefusal,
    },
    /// The probe that `Probe` asked for has an outcome.
    Probed {
        /// The attempt that was probed.
        attempt: AttemptNumber,
        /// What the endpoint said.
        report: ProbeReport,
    },
    /// The time that `SetTimer` asked for has come.
    TimerFired {
        /// The endpoint's patience now.
        #[serde(rename = "patience")]
        timeouts: StreamTimeouts,
    },
    /// The caller hung up.
    CallerLeft,
}

/// Why an endpoint refuses an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointRefusal {
    /// It is full or leaving; another may take it.
    Busy,
    /// It serves another version or adapter, or cannot resume.
    Unable,
    /// It does not hold the generation that was to be attached to.
    NotHeld,
    /// A newer attempt holds the generation there.
    Superseded,
    /// The request itself is invalid; no endpoint would take it.
    Invalid,
}

/// What a probe on a new connection found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProbeReport {
    /// The endpoint holds the generation.
    Holds {
        /// Tokens of the generation that it has produced.
        produced: u64,
        /// Whether it has reached the end.
        is_finished: bool,
    },
    /// The endpoint lives but does not hold the generation.
    Lives,
    /// The endpoint does not answer.
    Dead,
}
