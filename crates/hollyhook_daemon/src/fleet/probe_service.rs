use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Sender;
use hollyhook_core::{EndpointId, GenerationId, ProbeAdmission, ProbeGate, ProbeReport};

use super::HostContext;

/// Probes to one endpoint at a time.
const LIMIT: usize = 32;

/// Asks endpoints what they hold, under the bounds of the gate.
#[derive(Debug, Clone)]
pub(crate) struct ProbeService {
    state: Arc<Mutex<ProbeState>>,
}

#[derive(Debug)]
struct ProbeState {
    gate: ProbeGate,
    waiters: BTreeMap<u64, Sender<ProbeTurn>>,
    last: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeTurn {
    Go,
    Dead,
}

impl ProbeService {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "probes";

    pub(crate) fn new() -> Self {
        let state = ProbeState { gate: ProbeGate::new(LIMIT), waiters: BTreeMap::new(), last: 0 };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// What the endpoint holds of a generation, asked for up to `limit` once it is this probe's turn.
    pub(crate) async fn probe(
        &self,
        context: &HostContext,
        endpoint: &EndpointId,
        generation: GenerationId,
        limit: Duration,
    ) -> ProbeReport {
        if self.turn(endpoint).await == ProbeTurn::Dead {
            context.recorder.count("probe_shared");
            return ProbeReport::Dead;
        }
        context.recorder.count("probe_sent");
        let report = match context.fleet.address(endpoint) {
            Some(address) => context.engine.probe(address, generation, limit).await,
            None => ProbeReport::Dead,
        };
        if report == ProbeReport::Dead {
            context.fleet.lock().record_failure(context.timer.now(), endpoint);
        }
        self.release(endpoint, report == ProbeReport::Dead);
        report
    }

    async fn turn(&self, endpoint: &EndpointId) -> ProbeTurn {
        let wait = {
            let mut state = self.lock();
            state.last += 1;
            let probe = state.last;
            if state.gate.enter(endpoint, probe) == ProbeAdmission::Admitted {
                return ProbeTurn::Go;
            }
            let (sender, wait) = async_channel::bounded(1);
            state.waiters.insert(probe, sender);
            wait
        };
        wait.recv().await.unwrap_or(ProbeTurn::Dead)
    }

    fn release(&self, endpoint: &EndpointId, is_dead: bool) {
        let mut state = self.lock();
        let release = state.gate.leave(endpoint, is_dead);
        let opened = release.admitted.into_iter().map(|probe| (probe, ProbeTurn::Go));
        let answered = release.found_dead.into_iter().map(|probe| (probe, ProbeTurn::Dead));
        for (probe, turn) in opened.chain(answered).collect::<Vec<_>>() {
            if let Some(sender) = state.waiters.remove(&probe) {
                let _gone = sender.try_send(turn);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, ProbeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
