use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{PlanAdoption, TimePoint};
use hollyhook_platform::{ObjectKind, StoreObject};

use super::{StoreClient, StoreError};
use crate::gateway::GatewayContext;

/// How long one watch waits. Each return confirms that no key was taken away, so it has to be well under the time
/// for which a key is honoured without confirmation; a longer one costs fewer calls.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// The pause after a change, so that a series of them comes with few calls; a tenth of the time within which a version
/// has to be in force.
const GATHER_PAUSE: Duration = Duration::from_millis(200);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Follows the operator's configuration.
#[derive(Debug)]
pub(crate) struct SiteWatch {
    context: Arc<GatewayContext>,
    client: StoreClient,
    /// The revision to watch from; none if the objects have to be listed first.
    revision: Option<u64>,
}

impl SiteWatch {
    pub(crate) fn new(context: Arc<GatewayContext>, client: StoreClient) -> Self {
        Self { context, client, revision: None }
    }

    /// Follows it until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            if let Err(error) = self.step().await {
                self.revision = None;
                tracing::debug!(%error, "site.read_failed");
                self.context.note_store(ObjectKind::Configuration, Some(&error));
                if !matches!(error, StoreError::HistoryGone) {
                    self.context.timer.wait(RETRY_PAUSE).await;
                }
                continue;
            }
            self.context.note_store(ObjectKind::Configuration, None);
        }
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        let asked_at = self.context.timer.now();
        let Some(revision) = self.revision else {
            let (objects, revision) = self.client.list(ObjectKind::Configuration).await?;
            for object in &objects {
                self.adopt(object, asked_at);
            }
            self.revision = Some(revision);
            return Ok(());
        };
        let (changes, revision) = self.client.watch(ObjectKind::Configuration, revision, WATCH_WAIT).await?;
        for change in changes.iter().filter(|change| !change.is_gone) {
            self.adopt(&change.object, asked_at);
        }
        self.revision = Some(revision);
        if changes.is_empty() {
            // It waited its full time and saw nothing up to then.
            let heard_until = (asked_at + WATCH_WAIT).min(self.context.timer.now());
            self.context.confirm_site(heard_until);
        } else {
            self.context.timer.wait(GATHER_PAUSE).await;
        }
        Ok(())
    }

    fn adopt(&self, object: &StoreObject, read_at: TimePoint) {
        match hollyhook_platform::decode_site(object) {
            Ok(Some(plan)) => {
                let version = plan.version;
                let adoption = self.context.adopt_site(plan, read_at);
                if adoption != PlanAdoption::Same {
                    tracing::info!(version, revision = object.revision, adoption = ?adoption, "site.read");
                }
            }
            Ok(None) => {}
            Err(error) => tracing::error!(%error, object = %object.name, revision = object.revision, "site.malformed"),
        }
    }
}
