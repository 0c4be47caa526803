use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use futures::channel::oneshot;
use hollyhook_core::{Name, SnapshotEvidence, VersionRecord};
use hollyhook_platform::{ObjectKind, StoreObject};

use crate::gateway::GatewayContext;
use crate::store::{StoreClient, StoreError, decode_snapshot};
use crate::sync::lock;

/// Streams that wait for what the store says of the versions that began them, while one task reads it for all.
#[derive(Debug, Default)]
pub(crate) struct EvidenceReader {
    state: Mutex<ReaderState>,
}

#[derive(Debug, Default)]
struct ReaderState {
    /// The streams that came after the present reading had begun.
    waiters: Vec<oneshot::Sender<Arc<SnapshotEvidence>>>,
    is_reading: bool,
}

impl EvidenceReader {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "evidence";

    /// Reads the snapshots of all hosts and the records of versions; `None` if the store does not answer within `limit`.
    ///
    /// The reading begins after this call, so that it shows all that lost hosts have written.
    pub(super) async fn read(context: &Arc<GatewayContext>, limit: Duration) -> Option<Arc<SnapshotEvidence>> {
        let (receiver, must_read) = context.evidence.wait();
        if must_read {
            task::spawn(read_for_waiters(Arc::clone(context)));
        }
        context.timer.within(limit, receiver).await?.ok()
    }

    /// A receiver of the next reading, and whether a task has to be started for it.
    fn wait(&self) -> (oneshot::Receiver<Arc<SnapshotEvidence>>, bool) {
        let (sender, receiver) = oneshot::channel();
        let mut state = lock(&self.state);
        state.waiters.push(sender);
        (receiver, !std::mem::replace(&mut state.is_reading, true))
    }

    /// The streams for which to read now; none ends the reading.
    fn take_waiters(&self) -> Vec<oneshot::Sender<Arc<SnapshotEvidence>>> {
        let mut state = lock(&self.state);
        let waiters = std::mem::take(&mut state.waiters);
        state.is_reading = !waiters.is_empty();
        waiters
    }
}

/// Reads as long as streams wait.
async fn read_for_waiters(context: Arc<GatewayContext>) {
    let mut client = StoreClient::new(&context);
    loop {
        let waiters = context.evidence.take_waiters();
        if waiters.is_empty() {
            return;
        }
        match read_evidence(&mut client).await {
            Ok(evidence) => {
                let evidence = Arc::new(evidence);
                for waiter in waiters {
                    // The stream's caller may have left.
                    let _gone = waiter.send(Arc::clone(&evidence));
                }
            }
            Err(error) => {
                context.recorder.count("evidence_not_read");
                tracing::info!(%error, streams = waiters.len(), "evidence.not_read");
            }
        }
    }
}

async fn read_evidence(client: &mut StoreClient) -> Result<SnapshotEvidence, StoreError> {
    // The records are read last: a version is recorded before a snapshot or a stream names it.
    let timeout = StoreClient::SHARED_RECORD_TIMEOUT;
    let (snapshots, revision) = client.list(ObjectKind::Origin, timeout).await?;
    let (records, _revision) = client.list(ObjectKind::Version, timeout).await?;
    // A host whose snapshot says nothing may have begun any stream.
    let decode = |object: &StoreObject| decode_snapshot(object, revision.era).unwrap_or_default();
    let snapshots = snapshots.iter().map(|object| (Name::clone(&object.name), decode(object)));
    // The version tracker logs a malformed record and writes it anew; those of other services hold.
    let lost = || BTreeSet::from([VersionRecord::LOST_VERSION.into()]);
    let recorded = records.iter().map(|object| {
        let versions = hollyhook_platform::decode_versions(object).unwrap_or_else(|_malformed| lost());
        (Name::clone(&object.name), versions)
    });
    Ok(SnapshotEvidence { snapshots: snapshots.collect(), recorded: recorded.collect() })
}
