use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hollyhook_core::{EndpointState, LoadReport};
use hollyhook_wire::EngineLoad;

use super::EngineOptions;
use super::engine_batch::EngineBatch;
use crate::fault::{FaultKind, FaultOrder, FaultState};

/// State that the HTTP routes, the stream tasks and the batch task of an engine share.
#[derive(Debug)]
pub(super) struct EngineShared {
    pub(super) options: EngineOptions,
    pub(super) batch: Mutex<EngineBatch>,
    pub(super) faults: Arc<FaultState>,
    /// Number of `Cut` faults so far; each closes the streams that are open.
    pub(super) cut_epoch: AtomicU64,
    /// Number of `Silence` faults so far; each silences the streams that are open.
    pub(super) silence_epoch: AtomicU64,
    pub(super) is_leaving: AtomicBool,
    pub(super) is_load_hidden: AtomicBool,
    /// The load as of the last refresh.
    pub(super) reported_load: Mutex<LoadReport>,
}

impl EngineShared {
    pub(super) fn batch(&self) -> MutexGuard<'_, EngineBatch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a fault and wakes all streams, so that they observe it.
    pub(super) fn inject_fault(&self, order: FaultOrder) {
        match order.kind {
            FaultKind::Silence => {
                self.silence_epoch.fetch_add(1, Ordering::SeqCst);
            }
            FaultKind::Cut => {
                self.cut_epoch.fetch_add(1, Ordering::SeqCst);
            }
            FaultKind::Leave => self.is_leaving.store(true, Ordering::SeqCst),
            FaultKind::Return => self.is_leaving.store(false, Ordering::SeqCst),
            FaultKind::LieIdle => self.is_load_hidden.store(true, Ordering::SeqCst),
            _ => self.faults.apply(order),
        }
        self.batch().notify_all();
    }

    /// The report of the engine's load, as of the last refresh or without generations if `LieIdle` is in effect.
    pub(super) fn load(&self) -> EngineLoad {
        let reported_load = *self.reported_load.lock().unwrap_or_else(PoisonError::into_inner);
        let is_hidden = self.is_load_hidden.load(Ordering::SeqCst);
        let load = if is_hidden { LoadReport { running: 0, waiting: 0, ..reported_load } } else { reported_load };
        EngineLoad { binding: self.options.binding.clone(), state: self.endpoint_state(), load }
    }

    pub(super) fn endpoint_state(&self) -> EndpointState {
        if self.is_leaving.load(Ordering::SeqCst) { EndpointState::Leaving } else { EndpointState::Live }
    }
}
