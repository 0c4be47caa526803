use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hollyhook_core::{EndpointState, LoadReport};
use hollyhook_wire::EngineLoad;

use super::EngineOptions;
use super::engine_batch::EngineBatch;
use crate::fault::{FaultCommand, FaultKind, FaultState};

/// What an engine's routes, its streams and its steps share.
#[derive(Debug)]
pub(super) struct EngineShared {
    pub(super) options: EngineOptions,
    pub(super) batch: Mutex<EngineBatch>,
    pub(super) faults: Arc<FaultState>,
    /// Grows with each fault that ends the streams that are open.
    pub(super) cut_epoch: AtomicU64,
    pub(super) silence_epoch: AtomicU64,
    pub(super) is_leaving: AtomicBool,
    pub(super) is_lying: AtomicBool,
    pub(super) reported: Mutex<LoadReport>,
}

impl EngineShared {
    pub(super) fn batch(&self) -> MutexGuard<'_, EngineBatch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn inject_fault(&self, order: FaultCommand) {
        match order.kind {
            FaultKind::Silence => {
                self.silence_epoch.fetch_add(1, Ordering::SeqCst);
            }
            FaultKind::Cut => {
                self.cut_epoch.fetch_add(1, Ordering::SeqCst);
            }
            FaultKind::Leave => self.is_leaving.store(true, Ordering::SeqCst),
            FaultKind::Return => self.is_leaving.store(false, Ordering::SeqCst),
            FaultKind::LieIdle => self.is_lying.store(true, Ordering::SeqCst),
            _ => self.faults.apply(order),
        }
        self.batch().wake_all();
    }

    /// What it says of itself: as old as the lag, or a lie.
    pub(super) fn load(&self) -> EngineLoad {
        let reported = *self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        let is_lying = self.is_lying.load(Ordering::SeqCst);
        let load = if is_lying { LoadReport { running: 0, waiting: 0, ..reported } } else { reported };
        EngineLoad { binding: self.options.binding.clone(), state: self.endpoint_state(), load }
    }

    pub(super) fn endpoint_state(&self) -> EndpointState {
        if self.is_leaving.load(Ordering::SeqCst) { EndpointState::Leaving } else { EndpointState::Live }
    }
}
