/// The state of a [`GenerationRelay`](super::GenerationRelay).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RelayPhase {
    /// The relay has not been started.
    Idle,
    /// The driver is searching for an endpoint for the current attempt.
    Assigning,
    /// After a loss, no endpoint accepted the generation; the next search starts when the timer fires.
    BackingOff,
    /// The current attempt's connection is being opened, or is open.
    Streaming,
    /// The current attempt's stream is suspected of being broken, and the answer to a probe is pending.
    Probing,
    /// The caller has the final answer or has disconnected.
    Done,
}
