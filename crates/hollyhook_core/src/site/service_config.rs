use crate::Name;

/// The KV-cache memory of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineMemory {
    /// The capacity in tokens, counting prompts and output.
    pub capacity_tokens: u64,
    /// The tokens of an event of a stream; `None` if the configuration does not state it.
    pub event_tokens: Option<u64>,
    /// Whether an engine can keep a backup of the KV cache of a run at another engine.
    pub has_backups: bool,
    /// Whether an engine copies the KV cache of a run to another engine on request.
    pub has_moves: bool,
}

/// The configuration of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceConfig {
    /// The service's name.
    pub name: Name,
    /// The maximum number of connections that one endpoint accepts from all hosts together.
    pub max_connections: u32,
    /// The memory of the service's engines; `None` for a plain service.
    pub engine: Option<EngineMemory>,
}
