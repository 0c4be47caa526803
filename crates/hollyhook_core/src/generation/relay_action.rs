use super::{AttemptNumber, EndReason};
use crate::{EndpointId, ErrorKind, TimePoint};

/// What a [`GenerationRelay`](super::GenerationRelay) asks its driver to do, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayAction {
    /// Find an endpoint for this attempt; answer with `Assigned` or `Unassigned`.
    Assign {
        /// The attempt that it is for.
        attempt: AttemptNumber,
        /// Endpoints that were left and should be avoided.
        avoid: Vec<EndpointId>,
        /// Whether this continues a generation after a loss.
        is_resume: bool,
    },
    /// Open a connection for this attempt.
    Open {
        /// The attempt.
        attempt: AttemptNumber,
        /// Where.
        endpoint: EndpointId,
        /// How.
        mode: OpenMode,
    },
    /// Ask the endpoint, on a new connection, what it holds; answer with `Probed`.
    Probe {
        /// The attempt that is suspect.
        attempt: AttemptNumber,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close this attempt's connection and have its work at the endpoint stopped, also if it comes back late.
    Cancel {
        /// The attempt.
        attempt: AttemptNumber,
        /// Where.
        endpoint: EndpointId,
    },
    /// Close this attempt's connection, leaving its work to a newer attempt at the same endpoint.
    Close {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Give the caller this token.
    Deliver {
        /// Its position.
        position: u64,
        /// Its text.
        text: String,
    },
    /// Fire a timer then; a later `SetTimer` replaces it.
    SetTimer {
        /// When.
        at: TimePoint,
    },
    /// Tell the caller that the generation is whole.
    Complete {
        /// Why the engine ended.
        reason: EndReason,
        /// The number of tokens.
        tokens: u64,
    },
    /// Tell the caller at once that the generation ends here.
    Fail {
        /// Why.
        kind: ErrorKind,
        /// Tokens delivered to the caller before.
        delivered: u64,
    },
    /// Count this.
    Count(RelayCounter),
}

/// How an attempt opens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OpenMode {
    /// From the prompt alone.
    Fresh,
    /// From the prompt and the tokens in the relay's log.
    Resume,
    /// By attaching to what the endpoint is already producing, from this position on.
    Attach {
        /// The first position wanted.
        position: u64,
    },
}

/// What a relay counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[non_exhaustive]
pub enum RelayCounter {
    /// A message of an attempt that is no longer current was dropped.
    StaleDropped,
    /// A token at a position that was already received was dropped.
    DuplicateDropped,
    /// A position was skipped; the connection was given up.
    GapFound,
    /// No connection to the endpoint could be made.
    ConnectFailed,
    /// An endpoint did not accept the attempt in time.
    OpenTimedOut,
    /// A connection ended or broke before the end mark.
    ResetSeen,
    /// A stream was silent for longer than the endpoint's patience.
    SilenceSuspected,
    /// A probe found the endpoint alive and waiting was right.
    ProbeWaited,
    /// A stream was attached to again at the same endpoint.
    Reattached,
    /// An endpoint was left and the generation resumed from its tokens.
    Resumed,
    /// A generation was started again to replay tokens that this host does not hold.
    Replayed,
    /// An endpoint made no progress for longer than the limit.
    StallLeft,
    /// An endpoint refused the attempt.
    RefusalSeen,
    /// No endpoint could take the attempt at that moment.
    SearchFailed,
}

impl RelayCounter {
    /// Every note, for documentation.
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

    /// The counter's name.
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
