use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use hollyhook_core::StoreRevision;
use hollyhook_platform::ObjectKind;

use super::rollout_worker::RolloutWorker;
use super::{StoreClient, StoreError, is_reader};
use crate::gateway::GatewayContext;

/// How long a watch waits for changes while no roll-out is active; a change of any order ends it at once.
const IDLE_WAIT: Duration = Duration::from_secs(25);
/// How long a watch waits while a roll-out is active or an order is malformed. A host whose connection to the store
/// died may send requests to a version on trial for this long.
const ACTIVE_WAIT: Duration = Duration::from_millis(1_200);
/// Time that a call may take beyond its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which a host that does not need the orders checks again whether it does.
const IDLE_CHECK: Duration = Duration::from_secs(5);
/// The interval of that check while the other hosts are being listed for the first time.
const LISTING_CHECK: Duration = Duration::from_millis(500);
/// Delay after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Keeps this host's view of the operator's roll-out orders, which move services to other versions, up to date.
///
/// Hosts that read the store themselves watch the orders all the time. The other hosts list them when an endpoint of
/// an unknown version registers, and watch them while a version is on trial. A host sends no requests to an unknown
/// version until it has listed the orders.
#[derive(Debug)]
pub(crate) struct RolloutWatch {
    context: Arc<GatewayContext>,
    client: StoreClient,
    /// Revision to watch from; `None` if all orders have to be listed first.
    revision: Option<StoreRevision>,
}

impl RolloutWatch {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Self {
        let client = StoreClient::new(&context);
        Self { context, client, revision: None }
    }

    /// Lists and watches the orders until the process ends, whenever this host needs them.
    pub(crate) async fn run(mut self) {
        loop {
            if !self.is_needed() {
                self.revision = None;
                let signal = self.context.rollouts.unchecked_signal();
                // A version may have been found after `is_needed` was checked and before the signal was set up.
                if !self.context.rollouts.has_unchecked_versions() {
                    let check = if self.context.feed.is_listing() { LISTING_CHECK } else { IDLE_CHECK };
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

    /// Whether this host needs the roll-out orders now.
    fn is_needed(&self) -> bool {
        let rollouts = &self.context.rollouts;
        // Until the other hosts are listed, the feed's plan is that each host reads the store itself.
        let is_reader = || !self.context.feed.is_listing() && is_reader(&self.context);
        rollouts.is_enabled() && (rollouts.has_unchecked_versions() || rollouts.is_watch_needed() || is_reader())
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        match self.revision.filter(|_| !self.context.rollouts.has_unchecked_versions()) {
            Some(revision) => self.watch(revision).await?,
            None => self.list().await?,
        }
        RolloutWorker::spawn_if_needed(&self.context);
        Ok(())
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        let unchecked_versions = self.context.rollouts.unchecked_versions();
        let (objects, revision) = self.client.list(ObjectKind::Rollout, CALL_TIMEOUT).await?;
        self.context.rollouts.confirm(self.context.timer.now());
        self.context.rollouts.apply_list(&objects, &unchecked_versions);
        self.revision = Some(revision);
        Ok(())
    }

    async fn watch(&mut self, revision: StoreRevision) -> Result<(), StoreError> {
        let wait = if self.context.rollouts.is_watch_needed() { ACTIVE_WAIT } else { IDLE_WAIT };
        let signal = self.context.rollouts.unchecked_signal();
        let watch = self.client.watch(ObjectKind::Rollout, revision, wait, wait + CALL_TIMEOUT);
        let outcome = match select(Box::pin(watch), signal).await {
            Either::Left((outcome, _signal)) => outcome?,
            // An unknown version was found, for which the orders have to be listed. Dropping the unfinished call
            // closes its connection.
            Either::Right(_) => return Ok(()),
        };
        self.context.rollouts.confirm(self.context.timer.now());
        let (changes, revision) = outcome;
        for change in changes {
            if change.is_deleted || change.object.is_deleting {
                self.context.rollouts.withdraw(&change.object.name);
            } else {
                self.context.rollouts.apply(&change.object);
            }
        }
        self.context.rollouts.check_versions();
        self.revision = Some(revision);
        Ok(())
    }
}
