use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use hollyhook_core::{ResumeGate, ResumeTicket};

/// Limits concurrent resumes by a [`ResumeGate`] and wakes the queued requests as they are admitted.
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

    /// Waits until a resume is admitted; resumes with a lower priority number are admitted first.
    pub(crate) async fn acquire(&self, priority: u8) -> ResumePermit {
        let (permit, admission) = {
            let mut state = self.lock();
            let ticket = state.gate.enter(priority);
            let permit = ResumePermit { service: self.clone(), ticket };
            if state.gate.is_admitted(ticket) {
                (permit, None)
            } else {
                let (sender, receiver) = async_channel::bounded::<()>(1);
                state.waiters.insert(ticket, sender);
                (permit, Some(receiver))
            }
        };
        if let Some(admission) = admission {
            // The sender is dropped when the ticket is admitted.
            let _closed = admission.recv().await;
        }
        permit
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An admitted or queued resume, which leaves the gate when dropped.
#[derive(Debug)]
pub(crate) struct ResumePermit {
    service: ResumeService,
    ticket: ResumeTicket,
}

impl Drop for ResumePermit {
    fn drop(&mut self) {
        let mut state = self.service.lock();
        state.waiters.remove(&self.ticket);
        for admitted in state.gate.leave(self.ticket) {
            state.waiters.remove(&admitted);
        }
    }
}
