use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::channel::oneshot;
use hollyhook_core::{
    Name, OriginJournal, OriginSnapshot, RecordVerdict, Result, ServiceVersions, SnapshotWriter, StreamKey, TimePoint,
};
use hollyhook_kernel::{ServiceRegistry, TimerService};
use rand::Rng;

use crate::peer::FeedState;
use crate::sync::{WakeList, lock};

/// How long a first event waits while it is only not known what the store may hold: the store may be away for long, and
/// a version that an earlier process closed rarely comes back in that time.
const UNPROVEN_LIMIT: Duration = Duration::from_secs(1);

/// The streams of this host and what the store holds of the versions that began them.
#[derive(Debug)]
pub(crate) struct SnapshotTracker {
    timer: Arc<TimerService>,
    feed: Arc<FeedState>,
    state: Mutex<TrackerState>,
    /// The task that writes snapshots, while it has nothing to do.
    writers: WakeList,
    /// Streams whose first event waits until their version follows from what the store holds.
    waiters: WakeList,
}

#[derive(Debug)]
struct TrackerState {
    journal: OriginJournal,
    writer: SnapshotWriter,
}

impl SnapshotTracker {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "snapshots";

    /// A tracker that has read no snapshot.
    ///
    /// # Errors
    ///
    /// `Internal` if a service that the tracker uses is not registered.
    pub(crate) fn new(registry: &ServiceRegistry) -> Result<Self> {
        Ok(Self {
            timer: registry.find(TimerService::NAME)?,
            feed: registry.find(FeedState::NAME)?,
            state: Mutex::new(TrackerState {
                journal: OriginJournal::default(),
                writer: SnapshotWriter::new(rand::rng().random()),
            }),
            writers: WakeList::default(),
            waiters: WakeList::default(),
        })
    }

    /// Records that an attempt at a stream without events is sent to a version of a service.
    pub(crate) fn record_attempt(&self, first_attempt: &str, service: &Name, version: &Name) {
        let stream = StreamKey::new(first_attempt);
        lock(&self.state).journal.record_attempt(self.timer.now(), stream, service, version);
        self.writers.wake();
    }

    /// Records that the caller gets events of a stream from a version of a service.
    pub(super) fn record_begun(&self, first_attempt: &str, service: &Name, version: &Name) {
        let stream = StreamKey::new(first_attempt);
        lock(&self.state).journal.record_begun(self.timer.now(), stream, service, version);
        self.writers.wake();
    }

    /// Records that a stream of this host runs no longer.
    pub(crate) fn record_ended(&self, first_attempt: &str) {
        lock(&self.state).journal.record_ended(self.timer.now(), StreamKey::new(first_attempt));
    }

    /// Records the version that began a stream of another host.
    pub(super) fn record_copy(&self, first_attempt: &str, version: &Name) {
        lock(&self.state).journal.record_copy(self.timer.now(), StreamKey::new(first_attempt), version);
    }

    /// Applies the versions of all services with resumable streams.
    pub(super) fn set_services(&self, services: BTreeMap<Name, ServiceVersions>) {
        let era = self.feed.era();
        let mut state = lock(&self.state);
        state.writer.set_era(era);
        state.writer.set_services(services);
        drop(state);
        self.writers.wake();
    }

    /// The versions of a service at which no stream may begin before the next snapshot.
    pub(super) fn closed(&self, service: &str) -> BTreeSet<Name> {
        lock(&self.state).writer.closed(service)
    }

    /// Waits until a stream's version would be found if all hosts were lost, for `limit` at most; returns whether the
    /// caller may get events.
    pub(crate) async fn wait_recorded(
        &self,
        first_attempt: &str,
        service: &str,
        version: &str,
        limit: Duration,
    ) -> bool {
        let stream = StreamKey::new(first_attempt);
        let begun = self.timer.now();
        loop {
            let written = self.waiters.wait();
            let verdict = self.request_record(service, stream, version);
            let limit = match verdict {
                RecordVerdict::Recorded => return true,
                RecordVerdict::Unproven => limit.min(UNPROVEN_LIMIT),
                RecordVerdict::Contradicted => limit,
            };
            let time_left = (begun + limit).since(self.timer.now());
            if time_left.is_zero() {
                return verdict == RecordVerdict::Unproven;
            }
            let _woken = self.timer.within(time_left, written).await;
        }
    }

    /// Whether a stream's version would be found; if not, a snapshot is to be written at once.
    fn request_record(&self, service: &str, stream: StreamKey, version: &str) -> RecordVerdict {
        let mut state = lock(&self.state);
        let verdict = state.writer.verdict(service, stream, version);
        if verdict != RecordVerdict::Recorded {
            state.writer.request_write();
            drop(state);
            self.writers.wake();
        }
        verdict
    }

    /// A receiver that completes when a snapshot may have to be read or written.
    pub(crate) fn work_signal(&self) -> oneshot::Receiver<()> {
        self.writers.wait()
    }

    /// Whether this host's snapshot has to be read.
    pub(crate) fn needs_reading(&self) -> bool {
        lock(&self.state).writer.needs_reading()
    }

    /// Applies what the store holds of this host; `None` if there is no object.
    pub(crate) fn apply_reading(&self, snapshot: Option<OriginSnapshot>) {
        lock(&self.state).writer.apply_reading(self.timer.now(), snapshot);
        self.waiters.wake();
    }

    /// When the next snapshot is to be written, at this interval; `None` if there is nothing to write.
    pub(crate) fn next_write(&self, interval: Duration) -> Option<TimePoint> {
        let state = lock(&self.state);
        state.writer.next_write(self.timer.now(), &state.journal, interval)
    }

    /// The snapshot to write now.
    pub(crate) fn begin_write(&self) -> OriginSnapshot {
        let mut state = lock(&self.state);
        let TrackerState { journal, writer, .. } = &mut *state;
        writer.begin_write(self.timer.now(), journal)
    }

    /// Records that the snapshot was written.
    pub(crate) fn confirm_write(&self) {
        lock(&self.state).writer.confirm_write();
        self.waiters.wake();
    }

    /// Records that the store rejected the snapshot, because of a conflict or for another reason.
    pub(crate) fn reject_write(&self, is_conflict: bool) {
        lock(&self.state).writer.reject_write(is_conflict);
    }

    /// Records that it is not known whether the snapshot was written.
    pub(crate) fn record_unanswered(&self) {
        lock(&self.state).writer.record_unanswered();
    }
}
