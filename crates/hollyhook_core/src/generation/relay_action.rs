use super::{AttemptNumber, EndReason};
use crate::{EndpointId, ErrorKind, TimePoint};

/// An action that a [`GenerationRelay`](super::GenerationRelay) requests; its driver performs the actions in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayAction {
    /// Search for an endpoint for this attempt; the driver answers with `Assigned` or `Unassigned`.
    Assign {
        /// The attempt that needs an endpoint.
        attempt: AttemptNumber,
        /// Endpoints that earlier attempts failed over from; they should be avoided.
        avoid: Vec<EndpointId>,
        /// Whether the attempt continues a generation after a loss.
        is_resume: bool,
    },
    /// Open a connection for this attempt.
    Open {
        /// The attempt.
        attempt: AttemptNumber,
        /// The endpoint to connect to.
        endpoint: EndpointId,
        /// Where the output starts.
        mode: OpenMode,
    },
    /// Query the endpoint on a new connection for the generation's state; the driver answers with `Probed`.
    Probe {
        /// The attempt whose stream is suspected of being broken.
        attempt: AttemptNumber,
        /// The endpoint of that attempt.
        endpoint: EndpointId,
    },
    /// Close this attempt's connection and cancel its work at the endpoint.
    ///
    /// The cancellation must also reach an endpoint that is unreachable now and recovers later.
    Cancel {
        /// The attempt.
        attempt: AttemptNumber,
        /// The endpoint of that attempt.
        endpoint: EndpointId,
    },
    /// Close this attempt's connection without cancelling.
    ///
    /// Either a newer attempt attaches to its work at the same endpoint, or the endpoint did not accept the attempt.
    Close {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Deliver this token to the caller.
    Deliver {
        /// The token's position in the generation, from 0.
        position: u64,
        /// The token's text.
        text: String,
    },
    /// Set the relay's single timer; each `SetTimer` replaces the one before.
    SetTimer {
        /// When the timer fires.
        at: TimePoint,
    },
    /// End the answer to the caller: the generation is complete.
    Complete {
        /// Why the engine ended the generation.
        reason: EndReason,
        /// The number of tokens in the generation.
        tokens: u64,
    },
    /// End the answer to the caller with an error.
    Fail {
        /// The kind of the error.
        kind: ErrorKind,
        /// The number of tokens that the caller has received.
        delivered: u64,
    },
    /// Increment this counter.
    Count(RelayCounter),
}

/// Where the output of an attempt starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OpenMode {
    /// At the first token: the endpoint gets the prompt alone.
    Fresh,
    /// Behind the tokens in the relay's log: the endpoint gets the prompt and these tokens.
    Resume,
    /// At a position of a generation that the endpoint already holds: the attempt attaches to the running work.
    Attach {
        /// The position of the first token to send.
        position: u64,
    },
}

/// A counter that a relay increments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[non_exhaustive]
pub enum RelayCounter {
    /// A token or end event was dropped because its attempt is no longer current or no longer open.
    StaleDropped,
    /// A token was dropped because one at its position had already been received.
    DuplicateDropped,
    /// The position of a token or end event did not follow the last token; the connection was treated as broken.
    GapFound,
    /// No connection to the endpoint could be made.
    ConnectFailed,
    /// An endpoint did not accept the attempt within the open timeout.
    OpenTimedOut,
    /// A connection closed or broke before the end event.
    ResetSeen,
    /// A stream was silent for longer than its timeout, and the endpoint was probed.
    SilenceSuspected,
    /// A probe found that the endpoint holds the generation and is not ahead of the stream; the relay kept waiting.
    ProbeWaited,
    /// The relay opened a new connection to the same endpoint and attached to the running generation.
    Reattached,
    /// The generation was resumed at an endpoint from the prompt and the tokens in the log.
    Resumed,
    /// The generation was started again from the prompt, since this host lacks tokens that the caller has.
    Replayed,
    /// An endpoint was alive but made no progress for the stall limit, and the relay failed over.
    StallLeft,
    /// An endpoint refused the attempt.
    RefusalSeen,
    /// A search found no endpoint that could accept the attempt.
    SearchFailed,
}

impl RelayCounter {
    /// All counters, to check that each is documented.
    pub const ALL: [Self; 14] = [
        Self::StaleDropped,
        Self::DuplicateDropped,
        Self::GapFound,
        Self::ConnectFailed,
        Self::OpenTimedOut,
        Self::ResetSeen,
        Self::SilenceSuspected,
        Self::ProbeWaited,
        Self::Reattached,
        Self::Resumed,
        Self::Replayed,
        Self::StallLeft,
        Self::RefusalSeen,
        Self::SearchFailed,
    ];

    /// The counter's name in metrics and traces.
    pub const fn label(self) -> &'static str {
        match self {
            Self::StaleDropped => "stale_dropped",
            Self::DuplicateDropped => "duplicate_dropped",
            Self::GapFound => "gap_found",
            Self::ConnectFailed => "connect_failed",
            Self::OpenTimedOut => "open_timed_out",
            Self::ResetSeen => "reset_seen",
            Self::SilenceSuspected => "silence_suspected",
            Self::ProbeWaited => "probe_waited",
            Self::Reattached => "reattached",
            Self::Resumed => "resumed",
            Self::Replayed => "replayed",
            Self::StallLeft => "stall_left",
            Self::RefusalSeen => "refusal_seen",
            Self::SearchFailed => "search_failed",
        }
    }
}
