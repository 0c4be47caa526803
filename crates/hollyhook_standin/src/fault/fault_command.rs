use serde::{Deserialize, Serialize};

/// The body of `POST /admin/fault`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultCommand {
    /// What is to happen.
    pub kind: FaultKind,
    /// Milliseconds, where the kind takes a time.
    #[serde(default)]
    pub millis: u64,
    /// How often, where the kind takes a number.
    #[serde(default)]
    pub count: u64,
}

/// What a stand-in can be told to suffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum FaultKind {
    /// End without a word; every connection breaks.
    Die,
    /// Stop doing anything; connections stay open.
    Pause,
    /// End a pause.
    Wake,
    /// Let every open stream go silent for good; new connections work.
    Silence,
    /// Break every open stream; what was being produced goes on.
    Cut,
    /// Take no new work and finish what there is.
    Leave,
    /// Take new work again.
    Return,
    /// Answer each request that many milliseconds later.
    Delay,
    /// Report no load at all.
    LieIdle,
    /// Refuse everything, as in an outage.
    Outage,
    /// End an outage.
    Recover,
    /// Do the next `count` writes or calls, but break the connection instead of answering.
    LoseReply,
}
