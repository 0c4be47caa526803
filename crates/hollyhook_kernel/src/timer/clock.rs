use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use hollyhook_core::TimePoint;
use rustix::time::{ClockId, clock_gettime};

/// The longest sleep of a wait. Sleeps don't count the time for which a machine is suspended, and the clock does: a host
/// that wakes notices after this long that its time was up meanwhile, rather than after all that was left. At a second, a
/// call to the store that was under way ends 1 s after the wake, not up to 2.75 s after it.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// The clock of the machine.
///
/// It goes on while the machine is suspended, unlike the standard library's `Instant`: a host that wakes must know
/// that its deadlines and what it believed of others are old.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Duration,
    /// The time since the machine's start.
    source: fn() -> Duration,
}

impl SystemClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self::reading(since_boot)
    }

    /// A clock that starts now and tells the time since the machine's start by `source`.
    pub fn reading(source: fn() -> Duration) -> Self {
        Self { start: source(), source }
    }

    pub(super) fn now(self) -> TimePoint {
        TimePoint::from_micros((self.source)().saturating_sub(self.start).as_micros() as u64)
    }

    pub(super) async fn wait_until(self, at: TimePoint) {
        loop {
            let left = at.since(self.now());
            async_io::Timer::after(left.min(LONGEST_SLEEP)).await;
            if left <= LONGEST_SLEEP {
                return;
            }
        }
    }

    pub(super) fn unix_secs() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
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
