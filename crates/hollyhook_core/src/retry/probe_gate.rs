use std::collections::{BTreeMap, VecDeque};

use crate::EndpointId;

/// Whether a probe may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeAdmission {
    /// The probe may be sent now.
    Admitted,
    /// The probe is queued until a slot is free or another probe finds the endpoint dead.
    Queued,
}

/// The queued probes that the end of another probe released.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProbeRelease {
    /// Probes that may be sent now.
    pub admitted: Vec<u64>,
    /// Probes that need not be sent, since the probe that ended found the endpoint dead.
    pub found_dead: Vec<u64>,
}

/// Limits the concurrent probes to each endpoint; a probe that finds the endpoint dead answers all probes queued for
/// it.
///
/// When a whole zone fails, all streams from it become suspect at the same time; without the limit a thousand streams
/// from one endpoint would open a thousand connections that time out.
#[derive(Debug)]
pub struct ProbeGate {
    limit: usize,
    queues: BTreeMap<EndpointId, EndpointQueue>,
}

#[derive(Debug, Default)]
struct EndpointQueue {
    running: usize,
    waiting: VecDeque<u64>,
}

impl ProbeGate {
    /// Creates a gate that admits `limit` concurrent probes to each endpoint.
    pub fn new(limit: usize) -> Self {
        Self { limit, queues: BTreeMap::new() }
    }

    /// Admits a probe if a slot is free, otherwise queues it; `probe` identifies the probe.
    pub fn enter(&mut self, endpoint: &EndpointId, probe: u64) -> ProbeAdmission {
        let queue = self.queues.entry(EndpointId::clone(endpoint)).or_default();
        if queue.running < self.limit {
            queue.running += 1;
            return ProbeAdmission::Admitted;
        }
        queue.waiting.push_back(probe);
        ProbeAdmission::Queued
    }

    /// Frees the slot of a probe that ended, and releases queued probes by its result.
    pub fn leave(&mut self, endpoint: &EndpointId, is_dead: bool) -> ProbeRelease {
        let mut release = ProbeRelease::default();
        let Some(queue) = self.queues.get_mut(endpoint) else {
            return release;
        };
        queue.running = queue.running.saturating_sub(1);
        if is_dead {
            release.found_dead.extend(queue.waiting.drain(..));
        }
        while queue.running < self.limit
            && let Some(probe) = queue.waiting.pop_front()
        {
            queue.running += 1;
            release.admitted.push(probe);
        }
        if queue.running == 0 {
            self.queues.remove(endpoint);
        }
        release
    }

    /// The number of queued probes, over all endpoints.
    pub fn queued(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }
}
