use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use hollyhook_core::TimePoint;

/// The clock of the machine.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    start: Instant,
}

impl WallClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    pub(super) fn now(self) -> TimePoint {
        TimePoint::from_micros(self.start.elapsed().as_micros() as u64)
    }

    pub(super) async fn wait_until(self, at: TimePoint) {
        async_io::Timer::after(at.since(self.now())).await;
    }

    pub(super) fn unix_secs() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
    }
}

/// A clock that moves only when told to.
#[derive(Debug, Clone, Default)]
pub struct VirtualClock {
    state: Arc<Mutex<VirtualState>>,
}

#[derive(Debug, Default)]
struct VirtualState {
    now: TimePoint,
    waits: BTreeMap<TimePoint, Vec<Sender<()>>>,
}

impl VirtualClock {
    /// Moves the clock and wakes everyone whose time has come, earliest first.
    pub fn advance(&self, span: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.now = state.now + span;
        let now = state.now;
        while let Some(entry) = state.waits.first_entry() {
            if *entry.key() > now {
                break;
            }
            // Dropping the senders wakes the receivers.
            drop(entry.remove());
        }
    }

    pub(super) fn now(&self) -> TimePoint {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).now
    }

    pub(super) async fn wait_until(&self, at: TimePoint) {
        let Some(receiver) = self.subscribe(at) else {
            return;
        };
        // Ends with an error when the sender is dropped, which is the wake.
        let _woken = receiver.recv().await;
    }

    fn subscribe(&self, at: TimePoint) -> Option<Receiver<()>> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if at <= state.now {
            return None;
        }
        let (sender, receiver) = async_channel::bounded(1);
        state.waits.entry(at).or_default().push(sender);
        Some(receiver)
    }
}
