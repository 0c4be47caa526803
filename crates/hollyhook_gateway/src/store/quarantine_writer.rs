use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use hollyhook_core::CrashRecords;
use hollyhook_platform::ObjectKind;
use rand::Rng;

use super::{StoreClient, StoreError, is_reader};
use crate::gateway::GatewayContext;
use crate::quarantine::CrashSpreader;

/// Delay in milliseconds before each write, in which further records are collected. It is random, because hosts that
/// lost the same endpoint would otherwise write at the same moment, and each write makes those of the others fail.
const BATCH_DELAY_MS: std::ops::Range<u64> = 40..160;
/// Time limit for reading and writing the entry. After it, the records are sent to the other hosts without the store,
/// which has to be done well within the bound on contact.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often records of new crashes are sent without the store while it takes none.
const SPREAD_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed call, which doubles with each further one: the other hosts have the records already.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);

/// Writes the records of requests that crash endpoints to the platform's store, into the status of an endpoint's
/// entry, so that all hosts receive the records with their updates to the endpoints.
///
/// Records in the configuration would outlive the endpoint's entry, but any change of the configuration sends all of
/// it to each host.
#[derive(Debug)]
pub(crate) struct QuarantineWriter {
    context: Arc<GatewayContext>,
    client: StoreClient,
}

impl QuarantineWriter {
    /// Starts a writer if this host has records to write and no writer is running.
    pub(crate) fn spawn_if_needed(context: &Arc<GatewayContext>) {
        if context.quarantine.begin_writing(|| is_reader(context)) {
            task::spawn(Self { context: Arc::clone(context), client: StoreClient::new(context) }.run());
        }
    }

    async fn run(mut self) {
        let mut pause = RETRY_PAUSE;
        loop {
            let delay = rand::rng().random_range(BATCH_DELAY_MS);
            self.context.timer.wait(Duration::from_millis(delay)).await;
            if self.records_to_write().is_none() {
                break;
            }
            let timer = Arc::clone(&self.context.timer);
            let written = timer.within(STORE_TIMEOUT, self.write()).await;
            match written.unwrap_or(Err(StoreError::Unavailable("the store did not answer in time"))) {
                Ok(()) => pause = RETRY_PAUSE,
                // Another host wrote the entry first; the next write reads its records and merges them with those of
                // this host.
                Err(StoreError::Conflict) => tracing::debug!("quarantine.written_by_other"),
                Err(error) => {
                    tracing::info!(%error, "quarantine.not_written");
                    self.spread_for(pause).await;
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
        self.context.quarantine.end_writing();
        // Records may have been added since the last check, when no other writer could be started.
        Self::spawn_if_needed(&self.context);
    }

    /// Sends records to the other hosts without the store, also those of crashes within this span of time.
    async fn spread_for(&self, span: Duration) {
        let until = self.context.timer.now() + span;
        while self.context.timer.now() < until {
            CrashSpreader::spread_own(&self.context);
            self.context.timer.wait(SPREAD_INTERVAL).await;
        }
    }

    /// Reads the entry and writes the records that it lacks.
    ///
    /// The read also shows whether an earlier write that was not answered took effect.
    async fn write(&mut self) -> Result<(), StoreError> {
        let name = self
            .context
            .endpoints
            .crash_record_entry()
            .ok_or(StoreError::Unavailable("no endpoint has an entry to write crash records to"))?;
        let entry = self.client.read_object(ObjectKind::Endpoint, &name).await?;
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
