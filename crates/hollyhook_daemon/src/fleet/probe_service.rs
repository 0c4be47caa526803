use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Sender;
use hollyhook_core::{EndpointId, GenerationId, ProbeAdmission, ProbeGate, ProbeReport};

use super::HostContext;

/// Maximum number of concurrent probes to one endpoint.
const MAX_PROBES_PER_ENDPOINT: usize = 32;

/// Probes endpoints for the state of a generation, within the limits of a [`ProbeGate`].
#[derive(Debug, Clone)]
pub(crate) struct ProbeService {
    state: Arc<Mutex<ProbeState>>,
}

#[derive(Debug)]
struct ProbeState {
    gate: ProbeGate,
    waiters: BTreeMap<u64, Sender<QueueOutcome>>,
    last_number: u64,
}

/// How the wait for admission of a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum QueueOutcome {
    Admitted,
    FoundDead,
}

impl ProbeService {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "probes";

    pub(crate) fn new() -> Self {
        let state =
            ProbeState { gate: ProbeGate::new(MAX_PROBES_PER_ENDPOINT), waiters: BTreeMap::new(), last_number: 0 };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Queries an endpoint for the state of a generation; `timeout` starts when the probe is admitted.
    ///
    /// Returns `Dead` without sending the probe if another probe finds the endpoint dead while this one is queued.
    pub(crate) async fn probe(
        &self,
        context: &HostContext,
        endpoint: &EndpointId,
        generation: GenerationId,
        timeout: Duration,
    ) -> ProbeReport {
        if self.wait_for_admission(endpoint).await == QueueOutcome::FoundDead {
            context.recorder.count("probe_shared");
            return ProbeReport::Dead;
        }
        context.recorder.count("probe_sent");
        let report = match context.fleet.address(endpoint) {
            Some(address) => context.engine.probe(address, generation, timeout).await,
            None => ProbeReport::Dead,
        };
        if report == ProbeReport::Dead {
            context.fleet.lock().record_failure(context.timer.now(), endpoint);
        }
        self.release(endpoint, report == ProbeReport::Dead);
        report
    }

    async fn wait_for_admission(&self, endpoint: &EndpointId) -> QueueOutcome {
        let outcome = {
            let mut state = self.lock();
            state.last_number += 1;
            let probe = state.last_number;
            if state.gate.enter(endpoint, probe) == ProbeAdmission::Admitted {
                return QueueOutcome::Admitted;
            }
            let (sender, receiver) = async_channel::bounded(1);
            state.waiters.insert(probe, sender);
            receiver
        };
        outcome.recv().await.unwrap_or(QueueOutcome::FoundDead)
    }

    fn release(&self, endpoint: &EndpointId, is_dead: bool) {
        let mut state = self.lock();
        let release = state.gate.leave(endpoint, is_dead);
        let admitted_probes = release.admitted.into_iter().map(|probe| (probe, QueueOutcome::Admitted));
        let dead_probes = release.found_dead.into_iter().map(|probe| (probe, QueueOutcome::FoundDead));
        for (probe, outcome) in admitted_probes.chain(dead_probes).collect::<Vec<_>>() {
            if let Some(sender) = state.waiters.remove(&probe) {
                let _gone = sender.try_send(outcome);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, ProbeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
