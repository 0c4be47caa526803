use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use hollyhook_core::TimePoint;
use rustix::time::{ClockId, clock_gettime};

/// The maximum duration of a single sleep within a wait.
///
/// Sleeps don't count the time for which the machine is suspended, but the clock does. After the machine resumes, a
/// wait whose deadline has passed ends within this duration rather than after all the time that was left: a call to the
/// store that was under way times out 1 s after the resume instead of up to 2.75 s after it.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The monotonic clock of the machine, which counts the time for which the machine is suspended.
///
/// The standard library's `Instant` does not count this time. A host that resumes must know that its deadlines have
/// passed and that its information on other processes is out of date.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Duration,
    /// Returns the time since the machine booted.
    source: fn() -> Duration,
}

impl SystemClock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        Self::with_source(since_boot)
    }

    /// Creates a clock that starts at zero now and obtains the time since the machine booted from `source`.
    pub fn with_source(source: fn() -> Duration) -> Self {
        Self { start: source(), source }
    }

    pub(super) fn now(self) -> TimePoint {
        TimePoint::from_micros((self.source)().saturating_sub(self.start).as_micros() as u64)
    }

    pub(super) async fn wait_until(self, at: TimePoint) {
        loop {
            let left = at.since(self.now());
            async_io::Timer::after(left.min(MAX_SLEEP)).await;
            if left <= MAX_SLEEP {
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

/// A clock for tests that moves only by [`advance`](Self::advance).
#[derive(Debug, Clone, Default)]
pub struct VirtualClock {
    state: Arc<Mutex<ClockState>>,
}

#[derive(Debug, Default)]
struct ClockState {
    now: TimePoint,
    waiters: BTreeMap<TimePoint, Vec<Sender<()>>>,
}

impl VirtualClock {
    /// Advances the clock and ends the waits whose time has been reached, earliest first.
    pub fn advance(&self, span: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.now = state.now + span;
        let now = state.now;
        while let Some(entry) = state.waiters.first_entry() {
            if *entry.key() > now {
                break;
            }
            // Dropping the senders ends the waits of the receivers.
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
        // `recv` returns an error when `advance` drops the sender; nothing is sent.
        let _closed = receiver.recv().await;
    }

    /// Registers a wait until `at`; returns `None` if that time has been reached already.
    fn subscribe(&self, at: TimePoint) -> Option<Receiver<()>> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if at <= state.now {
            return None;
        }
        let (sender, receiver) = async_channel::bounded(1);
        state.waiters.entry(at).or_default().push(sender);
        Some(receiver)
    }
}
