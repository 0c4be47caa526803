use crate::Name;

/// What a model engine holds in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineMemory {
    /// Tokens of prompts and output that fit at once.
    pub capacity_tokens: u64,
    /// Whether an engine keeps the memory of another engine's run as a backup.
    pub has_backups: bool,
    /// Whether an engine copies the memory of a run to another engine on order.
    pub has_moves: bool,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Its name.
    pub name: Name,
    /// Connections that one endpoint takes from all hosts together.
    pub max_connections: u32,
    /// The memory of its engines; none for a plain service.
    pub engine: Option<EngineMemory>,
}
