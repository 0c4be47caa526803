use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use hollyhook_core::CrashRecords;
use hollyhook_platform::ObjectKind;
use rand::Rng;

use super::{StoreClient, StoreError, is_reader};
use crate::gateway::GatewayContext;

/// How long what was noted is gathered before it is written, in milliseconds, drawn anew each time: hosts that lost the same
/// endpoint write at the same moment, and each write makes those of the others fail.
const GATHER: std::ops::Range<u64> = 40..160;
/// The pause after the store gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Writes what hosts noted of requests that end endpoints to the platform's store: into the status of an endpoint's entry, so
/// that all hosts hear of it as they do of the endpoints.
///
/// The configuration would be the more lasting place, but each change of it carries all of it to each host.
#[derive(Debug)]
pub(crate) struct QuarantineWriter {
    context: Arc<GatewayContext>,
    client: StoreClient,
}

impl QuarantineWriter {
    /// Begins to write if anything is to be told and nobody here writes yet.
    pub(crate) fn wake(context: &Arc<GatewayContext>) {
        if context.quarantine.begin_writing(|| is_reader(context)) {
            task::spawn(Self { context: Arc::clone(context), client: StoreClient::new(context) }.run());
        }
    }

    async fn run(mut self) {
        loop {
            let gather = rand::rng().random_range(GATHER);
            self.context.timer.wait(Duration::from_millis(gather)).await;
            if self.records_to_write().is_none() {
                break;
            }
            match self.write().await {
                Ok(()) => {}
                // Another host was first; what it wrote is read and joined with what this one knows.
                Err(StoreError::Exists) => tracing::debug!("quarantine.written_by_other"),
                Err(error) => {
                    tracing::info!(%error, "quarantine.not_written");
                    self.context.timer.wait(RETRY_PAUSE).await;
                }
            }
        }
        self.context.quarantine.end_writing();
        // Something may have been noted since it was last looked at.
        Self::wake(&self.context);
    }

    /// Reads the entry and writes what is missing there; so what became of an earlier write without an answer is seen too.
    async fn write(&mut self) -> Result<(), StoreError> {
        let name = self.context.endpoints.crash_record_entry().ok_or(StoreError::Away("no endpoint is registered"))?;
        let entry = self.client.read(ObjectKind::Endpoint, &name).await?;
        self.context.quarantine.load_entry(&entry);
        let Some(records) = self.records_to_write() else {
            return Ok(());
        };
        self.client.write_crashes(&entry, &records).await?;
        tracing::info!(entry = %name, count = records.len(), "quarantine.written");
        self.context.quarantine.set_entry(&name, records);
        Ok(())
    }

    fn records_to_write(&self) -> Option<CrashRecords> {
        self.context.quarantine.records_to_write(is_reader(&self.context))
    }
}
