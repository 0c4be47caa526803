use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use hollyhook_core::StoreRevision;
use hollyhook_platform::ObjectKind;

use super::rollout_worker::RolloutWorker;
use super::{StoreClient, StoreError, is_reader};
use crate::gateway::GatewayContext;

/// How long one watch waits while nothing is being decided; an order ends it at once.
const QUIET_WAIT: Duration = Duration::from_secs(25);
/// The same while a version is on trial: so long after its way to the store went silent a host may still send requests there.
const ACTIVE_WAIT: Duration = Duration::from_millis(1_200);
/// How long an answer may take beyond its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// How often a host that does not read the store for others looks whether it should.
const IDLE_CHECK: Duration = Duration::from_secs(5);
/// The same while the other hosts are not listed yet.
const START_CHECK: Duration = Duration::from_millis(500);
/// The pause after a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Follows the operator's orders to move services to other versions.
///
/// Hosts that read the store for others watch them; the others look when an endpoint of another version registers, and
/// watch while one is on trial. Until a host has looked, that version gets nothing from it.
#[derive(Debug)]
pub(crate) struct RolloutWatch {
    context: Arc<GatewayContext>,
    client: StoreClient,
    /// The revision to go on from; none if all orders have to be read first.
    revision: Option<StoreRevision>,
}

impl RolloutWatch {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Self {
        let client = StoreClient::new(&context);
        Self { context, client, revision: None }
    }

    /// Follows them until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            if !self.is_needed() {
                self.revision = None;
                let signal = self.context.rollouts.signal();
                // It may have come since it was asked whether this is needed.
                if !self.context.rollouts.has_unvetted() {
                    let check = if self.context.feed.is_listing() { START_CHECK } else { IDLE_CHECK };
                    let _woken = self.context.timer.within(check, signal).await;
                }
                continue;
            }
            if let Err(error) = self.step().await {
                self.revision = None;
                if !matches!(error, StoreError::HistoryGone) {
                    tracing::info!(%error, "rollout.not_read");
                    self.context.timer.wait(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn is_needed(&self) -> bool {
        let rollouts = &self.context.rollouts;
        // Until the others are listed, each host takes itself for one that reads the store.
        let is_reader = || !self.context.feed.is_listing() && is_reader(&self.context);
        rollouts.is_on() && (rollouts.has_unvetted() || rollouts.is_awaited() || is_reader())
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        match self.revision.filter(|_| !self.context.rollouts.has_unvetted()) {
            Some(revision) => self.watch(revision).await?,
            None => self.list().await?,
        }
        RolloutWorker::wake(&self.context);
        Ok(())
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        let looked_for = self.context.rollouts.unvetted();
        let (objects, revision) = self.client.list(ObjectKind::Rollout, CALL_TIMEOUT).await?;
        self.context.rollouts.confirm(self.context.timer.now());
        self.context.rollouts.take_list(&objects, &looked_for);
        self.revision = Some(revision);
        Ok(())
    }

    async fn watch(&mut self, revision: StoreRevision) -> Result<(), StoreError> {
        let wait = if self.context.rollouts.is_awaited() { ACTIVE_WAIT } else { QUIET_WAIT };
        let signal = self.context.rollouts.signal();
        let watch = self.client.watch(ObjectKind::Rollout, revision, wait, wait + CALL_TIMEOUT);
        let outcome = match select(Box::pin(watch), signal).await {
            Either::Left((outcome, _signal)) => outcome?,
            // A version is to be vetted, which a list does; the call that is left goes with its connection.
            Either::Right(_) => return Ok(()),
        };
        self.context.rollouts.confirm(self.context.timer.now());
        let (changes, revision) = outcome;
        for change in changes {
            if change.is_deleted || change.object.is_deleting {
                self.context.rollouts.forget(&change.object.name);
            } else {
                self.context.rollouts.take(&change.object);
            }
        }
        self.context.rollouts.note_versions();
        self.revision = Some(revision);
        Ok(())
    }
}
