use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use hollyhook_core::{ResumeGate, ResumeTicket};

/// The gate for resumes, with the requests that wait at it.
#[derive(Debug, Clone)]
pub(crate) struct ResumeService {
    state: Arc<Mutex<GateState>>,
}

#[derive(Debug)]
struct GateState {
    gate: ResumeGate,
    waiters: BTreeMap<ResumeTicket, Sender<()>>,
}

impl ResumeService {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "resumes";

    pub(crate) fn new(limit: usize) -> Self {
        let state = GateState { gate: ResumeGate::new(limit), waiters: BTreeMap::new() };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a place; the more urgent go first.
    pub(crate) async fn enter(&self, urgency: u8) -> ResumePass {
        let (pass, wait) = {
            let mut state = self.lock();
            let ticket = state.gate.enter(urgency);
            let pass = ResumePass { service: self.clone(), ticket };
            if state.gate.is_admitted(ticket) {
                (pass, None)
            } else {
                let (sender, receiver) = async_channel::bounded::<()>(1);
                state.waiters.insert(ticket, sender);
                (pass, Some(receiver))
            }
        };
        if let Some(wait) = wait {
            // The sender is dropped when the ticket opens.
            let _opened = wait.recv().await;
        }
        pass
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place at the gate, given back when dropped.
#[derive(Debug)]
pub(crate) struct ResumePass {
    service: ResumeService,
    ticket: ResumeTicket,
}

impl Drop for ResumePass {
    fn drop(&mut self) {
        let mut state = self.service.lock();
        state.waiters.remove(&self.ticket);
        for opened in state.gate.leave(self.ticket) {
            state.waiters.remove(&opened);
        }
    }
}
