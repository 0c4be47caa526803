use super::{EndpointRecord, EngineReport};
use crate::EngineSpeed;

/// An engine that a request may be sent to, with its load report.
#[derive(Debug, Clone)]
pub struct EngineCandidate {
    /// The engine as this host knows it.
    pub record: EndpointRecord,
    /// The engine's load report; `None` if the engine did not answer.
    pub report: Option<EngineReport>,
    /// Tokens of the request's own prompt part that the engine still holds; zero if the engine was not queried for
    /// them.
    pub held_tokens: u64,
    /// How fast the engine is expected to work.
    pub speed: EngineSpeed,
}
