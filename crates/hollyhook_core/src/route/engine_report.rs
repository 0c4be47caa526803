use std::time::Duration;

use crate::Name;

/// The load report of a model engine; up to a few hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// The Unix time of the engine's start in milliseconds; `None` if the report does not contain it.
    pub started: Option<u64>,
    /// Whether the engine reports that it is leaving.
    pub is_leaving: bool,
    /// The number of requests that wait for a slot in the batch.
    pub waiting: u32,
    /// The number of requests whose prompt is being read.
    pub reading: u32,
    /// Memory in use that can't be freed, in tokens.
    pub used_tokens: u64,
    /// Total memory, in tokens.
    pub total_tokens: u64,
    /// The requests that have produced at least one event.
    pub runs: Vec<EngineRun>,
}

impl EngineReport {
    /// The number of requests that have produced at least one event.
    pub fn running(&self) -> u32 {
        self.runs.len() as u32
    }

    /// The share of the memory that is free or can be freed, from 0 to 1.
    pub fn free_memory_share(&self) -> f64 {
        let free = self.total_tokens.saturating_sub(self.used_tokens);
        free as f64 / self.total_tokens.max(1) as f64
    }

    /// Whether the report contains the priority of each run.
    pub fn has_priorities(&self) -> bool {
        self.runs.iter().all(|run| run.priority.is_some())
    }

    /// Whether the engine has requests that are not in `runs`, because their prompt waits or is being read.
    pub fn has_pending_prompts(&self) -> bool {
        self.waiting + self.reading > 0
    }
}

/// A request at an engine that has produced at least one event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRun {
    /// The identifier of the client attempt that the request belongs to.
    pub attempt_id: Name,
    /// The tokens that the request has in memory: its prompt and what it has generated.
    pub tokens: u64,
    /// The number of events produced so far.
    pub events: u64,
    /// The priority of the request, 0 being the highest; `None` if the report does not contain it.
    pub priority: Option<u8>,
}

/// The maximum age of a load report; requests that this host sent within this time may be missing from the report.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(300);
