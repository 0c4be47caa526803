use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use hollyhook_core::CrashRecords;
use hollyhook_kernel::TimerService;
use hollyhook_platform::StoreObject;
use rand::Rng;

use super::{StoreClient, StoreError};
use crate::gateway::GatewayContext;

/// How long what was noted is gathered before it is written, drawn anew each time: hosts that lost the same endpoint write at
/// the same moment, and each write makes those of the others fail.
const GATHER: std::ops::Range<u64> = 40..160;
/// The pause after the store gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Writes what hosts noted of requests that end endpoints to the platform's store, from where all hosts hear of it as they do
/// of the configuration.
#[derive(Debug)]
pub(crate) struct QuarantineWriter {
    context: Arc<GatewayContext>,
    client: StoreClient,
    /// Whether the object has to be read before it is written, since what became of the last write is not known.
    has_to_read: bool,
}

impl QuarantineWriter {
    /// Begins to write if anything is to be told and nobody writes yet.
    pub(crate) fn wake(context: &Arc<GatewayContext>) {
        if context.quarantine.begin_writing() {
            let of_store = Arc::clone(context);
            let client = StoreClient::new(TimerService::clone(&context.timer), move || of_store.store_address());
            let writer = Self { context: Arc::clone(context), client, has_to_read: false };
            task::spawn(writer.run());
        }
    }

    async fn run(mut self) {
        loop {
            let gather = rand::rng().random_range(GATHER);
            self.context.timer.wait(Duration::from_millis(gather)).await;
            let Some((object, records)) = self.context.quarantine.untold() else {
                break;
            };
            if let Err(error) = self.step(object, records).await {
                tracing::info!(%error, "quarantine.not_written");
                self.has_to_read = true;
                self.context.timer.wait(RETRY_PAUSE).await;
            }
        }
        self.context.quarantine.end_writing();
        // Something may have been noted since it was last looked at.
        Self::wake(&self.context);
    }

    /// One read or one write.
    async fn step(&mut self, object: Option<StoreObject>, records: CrashRecords) -> Result<(), StoreError> {
        let Some(object) = object.filter(|_| !self.has_to_read) else {
            let object = self.client.read_site().await?;
            self.has_to_read = false;
            self.context.quarantine.learn(&object);
            return Ok(());
        };
        match self.client.write_crashes(&object, &records).await? {
            None => {
                tracing::info!(count = records.len(), "quarantine.written");
                self.context.quarantine.note_stored(records);
            }
            // Another host was first; what it wrote is joined with what this one knows.
            Some(newer) => self.context.quarantine.learn(&newer),
        }
        Ok(())
    }
}
