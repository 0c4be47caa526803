use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{OriginSnapshot, SnapshotWriter, TimePoint};
use hollyhook_platform::StoreObject;

use super::{StoreClient, StoreError};
use crate::gateway::GatewayContext;

/// Interval at which the recorder checks for work: what a snapshot has inherited ends without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed call, which doubles with each further one; never shorter than the interval between snapshots.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Decodes a host's origin snapshot; `None` if it is unreadable, or of an earlier era of the store, in which it may have
/// been replaced since.
pub(crate) fn decode_snapshot(object: &StoreObject, era: u64) -> Option<OriginSnapshot> {
    let decoded = hollyhook_platform::decode_origins(object);
    let decoded = decoded.inspect_err(|error| tracing::error!(%error, host = %object.name, "snapshot.malformed"));
    decoded.ok().filter(|snapshot| snapshot.era == era)
}

/// Keeps this host's origin snapshot in the store: which version began each of its streams, for the case that all hosts
/// are lost.
///
/// The snapshot is read once, after the records of versions, and written only while streams of a service may have begun
/// at several versions.
#[derive(Debug)]
pub(crate) struct SnapshotRecorder {
    context: Arc<GatewayContext>,
    client: StoreClient,
    /// The revision of the object; `None` if there is none.
    revision: Option<u64>,
}

impl SnapshotRecorder {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Self {
        let client = StoreClient::new(&context);
        Self { context, client, revision: None }
    }

    /// Keeps the snapshot until the process ends.
    pub(crate) async fn run(mut self) {
        let mut retry_pause = RETRY_PAUSE;
        loop {
            let signal = self.context.snapshots.work_signal();
            let outcome = self.step().await;
            let pause = match outcome {
                Ok(next) => {
                    retry_pause = RETRY_PAUSE;
                    next.map_or(CHECK_INTERVAL, |at| at.since(self.context.timer.now()))
                }
                Err(error) => {
                    self.context.recorder.count("snapshots_failed");
                    tracing::info!(%error, "snapshot.not_recorded");
                    let is_write = !self.context.snapshots.needs_reading();
                    let pause = if is_write { retry_pause.max(self.interval()) } else { retry_pause };
                    self.context.timer.wait(pause).await;
                    retry_pause = (retry_pause * 2).min(MAX_RETRY_PAUSE);
                    continue;
                }
            };
            let _woken = self.context.timer.within(pause, signal).await;
        }
    }

    /// Reads or writes the snapshot if that is due; returns when it is to be written next.
    async fn step(&mut self) -> Result<Option<TimePoint>, StoreError> {
        if !self.context.versions.has_read_all() {
            return Ok(None);
        }
        if self.context.snapshots.needs_reading() {
            self.read().await?;
        }
        let next = self.context.snapshots.next_write(self.interval());
        if next.is_none_or(|at| at > self.context.timer.now()) {
            return Ok(next);
        }
        self.write().await?;
        Ok(self.context.snapshots.next_write(self.interval()))
    }

    /// The interval between two snapshots.
    fn interval(&self) -> Duration {
        SnapshotWriter::interval(self.context.feed.host_count().unwrap_or(1), self.context.store_writes())
    }

    async fn read(&mut self) -> Result<(), StoreError> {
        let object = self.client.read_origins(&self.context.host).await?;
        self.revision = object.as_ref().map(|object| object.revision);
        let era = self.context.feed.era();
        self.context.snapshots.apply_reading(object.and_then(|object| decode_snapshot(&object, era)));
        Ok(())
    }

    async fn write(&mut self) -> Result<(), StoreError> {
        let snapshot = self.context.snapshots.begin_write();
        match self.client.write_origins(&self.context.host, self.revision, &snapshot).await {
            Ok(revision) => {
                self.revision = Some(revision);
                self.context.recorder.count("snapshots_written");
                self.context.snapshots.confirm_write();
                Ok(())
            }
            Err(error) => {
                match error {
                    StoreError::Conflict | StoreError::Missing => self.context.snapshots.reject_write(true),
                    StoreError::Rejected | StoreError::Throttled => self.context.snapshots.reject_write(false),
                    _ => self.context.snapshots.record_unanswered(),
                }
                Err(error)
            }
        }
    }
}
