/// Where a generation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RelayPhase {
    /// Not started.
    Idle,
    /// An endpoint is being searched.
    Assigning,
    /// No endpoint was found after a loss; the search goes on at the next wake.
    Searching,
    /// A connection is being opened or streams.
    Streaming,
    /// The stream is suspect and a probe is out.
    Probing,
    /// The caller has the final answer, or has left.
    Done,
}
