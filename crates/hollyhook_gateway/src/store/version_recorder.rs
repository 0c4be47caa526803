use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::Name;
use hollyhook_platform::{ObjectKind, StoreObject};

use super::{StoreClient, StoreError};
use crate::gateway::GatewayContext;

/// Interval at which the versions are checked: endpoints that can't serve any more change no entry.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// That interval while another host's turn to write a record is earlier than this one's.
const TURN_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a failed call, which doubles with each further one. Short at first, since a host that has just started
/// refuses streams of which no host knows the version until it has read the records.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);

/// Reads and writes the records of the software versions whose streams may still come back.
///
/// The records are read at the start, after the list of endpoints could not be kept current, and when a version appears
/// that this host has not seen recorded; they are written when a version is to be added or removed.
#[derive(Debug)]
pub(crate) struct VersionRecorder {
    context: Arc<GatewayContext>,
    client: StoreClient,
}

impl VersionRecorder {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Self {
        let client = StoreClient::new(&context);
        Self { context, client }
    }

    /// Keeps the records until the process ends.
    pub(crate) async fn run(mut self) {
        let mut retry_pause = RETRY_PAUSE;
        loop {
            self.context.versions.check();
            match self.step().await {
                Ok(()) => {
                    retry_pause = RETRY_PAUSE;
                    self.wait_for_work().await;
                }
                Err(error) => {
                    self.context.recorder.count("version_records_failed");
                    tracing::info!(%error, "versions.not_recorded");
                    self.context.timer.wait(retry_pause).await;
                    retry_pause = (retry_pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
    }

    async fn wait_for_work(&self) {
        let signal = self.context.versions.work_signal();
        // A version may have appeared after the last step and before the signal was set up.
        if self.context.versions.has_work() {
            self.context.timer.wait(TURN_INTERVAL).await;
        } else {
            let _woken = self.context.timer.within(CHECK_INTERVAL, signal).await;
        }
    }

    /// Reads the records if that is due, and writes what they still lack.
    async fn step(&mut self) -> Result<(), StoreError> {
        if !self.context.versions.must_read() {
            return Ok(());
        }
        let timeout = StoreClient::SHARED_RECORD_TIMEOUT;
        let (objects, revision) = self.client.list(ObjectKind::Version, timeout).await?;
        self.context.versions.apply_list(&objects, revision.era);
        for (service, versions) in self.context.versions.due_writes() {
            let replaced = objects.iter().find(|object| object.name == service);
            self.write(&service, replaced, versions).await?;
        }
        Ok(())
    }

    async fn write(
        &mut self,
        service: &Name,
        replaced: Option<&StoreObject>,
        versions: BTreeSet<Name>,
    ) -> Result<(), StoreError> {
        match self.client.write_versions(service, replaced, &versions).await {
            // Another host wrote first; the next step reads what it wrote.
            Err(StoreError::Conflict) => return Ok(()),
            outcome => outcome?,
        }
        self.context.recorder.count("version_records_written");
        tracing::info!(%service, versions = ?versions, "versions.recorded");
        self.context.versions.apply_written(service, versions);
        Ok(())
    }
}
