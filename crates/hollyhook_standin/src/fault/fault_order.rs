use serde::{Deserialize, Serialize};

/// The body of `POST /admin/fault`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultOrder {
    /// The fault to inject or to end.
    pub kind: FaultKind,
    /// The duration in milliseconds of a [`FaultKind::Delay`]; other kinds ignore it.
    #[serde(default)]
    pub millis: u64,
    /// The number of replies that a [`FaultKind::LoseReply`] loses, at least 1; other kinds ignore it.
    #[serde(default)]
    pub count: u64,
}

/// A fault that a stand-in can inject.
///
/// All stand-ins implement `Die`, `Pause`, `Wake` and `Delay`. `Silence`, `Cut`, `Leave`, `Return` and `LieIdle` only
/// affect an engine; `Outage`, `Recover` and `LoseReply` only a plain service and the platform.
/// Requests under `/admin/` are exempt from all faults but `Die`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum FaultKind {
    /// Exit without answering. A stand-in that shares its process refuses connections and closes streams instead.
    Die,
    /// Hold back new requests, streams and token production until a `Wake`; connections stay open.
    Pause,
    /// End a pause.
    Wake,
    /// Send nothing more on the streams open now, without closing them; new connections work.
    Silence,
    /// Close the streams open now; their generations continue.
    Cut,
    /// Drain: reject new generations and finish those that were admitted.
    Leave,
    /// End a drain: admit new generations again.
    Return,
    /// Delay each request by `millis` milliseconds from now on; 0 ends the delay.
    Delay,
    /// Report neither running nor waiting generations from now on, whatever the load is.
    LieIdle,
    /// Answer every call with status 503.
    Outage,
    /// End an outage.
    Recover,
    /// Execute the next `count` service calls or successful platform writes, but close the connection instead of
    /// answering.
    LoseReply,
}
