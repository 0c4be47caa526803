use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{AttemptNumber, EndReason, StreamTimeouts};
use crate::EndpointId;
use crate::time::span_millis;

/// An input that the driver reports to a [`GenerationRelay`](super::GenerationRelay).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayEvent {
    /// The request was admitted.
    Started,
    /// The search requested by `Assign` found an endpoint.
    Assigned {
        /// The attempt that the search was for.
        attempt: AttemptNumber,
        /// The endpoint found.
        endpoint: EndpointId,
    },
    /// The search requested by `Assign` found no endpoint that can accept the attempt now.
    Unassigned {
        /// The attempt that the search was for.
        attempt: AttemptNumber,
        /// The delay after which a new request may find an endpoint, in milliseconds when serialized.
        #[serde(with = "span_millis")]
        retry_after: Duration,
    },
    /// The endpoint accepted the attempt.
    Opened {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// A token was received.
    TokenArrived {
        /// The attempt whose connection carried the token.
        attempt: AttemptNumber,
        /// The token's position in the generation, from 0.
        position: u64,
        /// The token's text.
        text: String,
    },
    /// The endpoint reported the end of the generation.
    EndArrived {
        /// The attempt whose connection carried the end event.
        attempt: AttemptNumber,
        /// The number of tokens in the whole generation.
        position: u64,
        /// Why the engine ended the generation.
        reason: EndReason,
    },
    /// No connection to the endpoint could be established, so nothing was sent.
    Unreachable {
        /// The attempt that the connection was for.
        attempt: AttemptNumber,
    },
    /// The connection closed or broke before the end event.
    ConnectionLost {
        /// The attempt that used the connection.
        attempt: AttemptNumber,
    },
    /// The endpoint refused the attempt.
    Refused {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why the endpoint refused.
        refusal: EndpointRefusal,
    },
    /// The probe requested by `Probe` has a result.
    Probed {
        /// The attempt that was probed.
        attempt: AttemptNumber,
        /// The result of the probe.
        report: ProbeReport,
    },
    /// The timer set by `SetTimer` fired.
    TimerFired {
        /// The current timeouts for streams of the endpoint.
        #[serde(rename = "patience")]
        timeouts: StreamTimeouts,
    },
    /// The caller disconnected.
    CallerLeft,
}

/// Why an endpoint refuses an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointRefusal {
    /// The endpoint is full or draining; another may accept the attempt.
    Busy,
    /// The endpoint serves another version or adapter, or can't resume a generation.
    Unable,
    /// The endpoint does not hold the generation to attach to.
    NotHeld,
    /// The endpoint holds the generation for a newer attempt.
    Superseded,
    /// The request itself is invalid; no endpoint would accept it.
    Invalid,
}

/// The result of a probe on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProbeReport {
    /// The endpoint holds the generation.
    Holds {
        /// The number of the generation's tokens that the endpoint has produced.
        produced: u64,
        /// Whether the endpoint has reached the end of the generation.
        is_finished: bool,
    },
    /// The endpoint is alive but does not hold the generation.
    Lives,
    /// The endpoint does not answer.
    Dead,
}
