use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{EndpointId, TimePoint};

/// Maximum number of migrations that a host begins in a second. When an engine turns slow, all hosts with streams there
/// notice it at about the same time, and each migration takes memory and bandwidth of the target engine.
const MAX_PER_SECOND: usize = 4;
const SECOND: Duration = Duration::from_secs(1);
/// Minimum time between two migrations from the same engine: it may become faster when one stream has left.
const ENGINE_INTERVAL: Duration = Duration::from_millis(500);

/// Limits how often streams of a host migrate, in total and from each engine.
#[derive(Debug, Default)]
pub struct MigrationGate {
    /// When a stream last left each engine.
    left: BTreeMap<EndpointId, TimePoint>,
    /// When the migrations of the last second began.
    begun: VecDeque<TimePoint>,
}

impl MigrationGate {
    /// Whether a stream may migrate from an engine now; if so, the migration is counted.
    pub fn try_begin(&mut self, now: TimePoint, engine: &EndpointId) -> bool {
        self.begun.retain(|at| now.since(*at) < SECOND);
        self.left.retain(|_, at| now.since(*at) < ENGINE_INTERVAL);
        if self.begun.len() >= MAX_PER_SECOND || self.left.contains_key(engine) {
            return false;
        }
        self.begun.push_back(now);
        self.left.insert(EndpointId::clone(engine), now);
        true
    }
}
