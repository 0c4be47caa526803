use std::collections::{BTreeMap, VecDeque};

use crate::EndpointId;

/// Whether a probe may go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeAdmission {
    /// It may go out now.
    Admitted,
    /// It waits for a place, or for what another one finds.
    Queued,
}

/// What became of probes that waited when one ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProbeRelease {
    /// These may go out now.
    pub admitted: Vec<u64>,
    /// These need not: the endpoint does not answer.
    pub found_dead: Vec<u64>,
}

/// Bounds the probes to each endpoint, and lets one that finds it dead answer for all that wait.
///
/// When a zone goes at once, every stream of it becomes suspect at once; without the bound a thousand streams on one
/// endpoint are a thousand connections that time out.
#[derive(Debug)]
pub struct ProbeGate {
    limit: usize,
    slots: BTreeMap<EndpointId, ProbeSlot>,
}

#[derive(Debug, Default)]
struct ProbeSlot {
    running: usize,
    waiting: VecDeque<u64>,
}

impl ProbeGate {
    /// A gate that lets `limit` probes out to one endpoint at a time.
    pub fn new(limit: usize) -> Self {
        Self { limit, slots: BTreeMap::new() }
    }

    /// Asks for a place; `probe` names the probe.
    pub fn enter(&mut self, endpoint: &EndpointId, probe: u64) -> ProbeAdmission {
        let slot = self.slots.entry(EndpointId::clone(endpoint)).or_default();
        if slot.running < self.limit {
            slot.running += 1;
            return ProbeAdmission::Admitted;
        }
        slot.waiting.push_back(probe);
        ProbeAdmission::Queued
    }

    /// Gives a place back with what the probe found.
    pub fn leave(&mut self, endpoint: &EndpointId, is_dead: bool) -> ProbeRelease {
        let mut release = ProbeRelease::default();
        let Some(slot) = self.slots.get_mut(endpoint) else {
            return release;
        };
        slot.running = slot.running.saturating_sub(1);
        if is_dead {
            release.found_dead.extend(slot.waiting.drain(..));
        }
        while slot.running < self.limit
            && let Some(probe) = slot.waiting.pop_front()
        {
            slot.running += 1;
            release.admitted.push(probe);
        }
        if slot.running == 0 {
            self.slots.remove(endpoint);
        }
        release
    }

    /// Probes that wait, over all endpoints.
    pub fn waiting(&self) -> usize {
        self.slots.values().map(|slot| slot.waiting.len()).sum()
    }
}
