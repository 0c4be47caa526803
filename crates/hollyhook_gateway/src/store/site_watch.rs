use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{ConfigAdoption, TimePoint};
use hollyhook_platform::{ObjectKind, StoreObject};

use super::partial_list::PartialList;
use super::{FeedReader, StoreError};
use crate::gateway::GatewayContext;

/// How long a watch waits for changes. Each watch that returns confirms that no API key was revoked, so the wait must
/// be well under the time for which keys are accepted without confirmation; a longer wait costs fewer calls.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// Delay before the next watch after a change, so that few calls return a series of changes; a tenth of the time
/// within which a new version of the configuration must be in force.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Keeps the operator's configuration of the site up to date with the store.
#[derive(Debug)]
pub(crate) struct SiteWatch {
    context: Arc<GatewayContext>,
    reader: FeedReader,
}

impl SiteWatch {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Self {
        let shared = Arc::clone(&context);
        let reader = FeedReader::new(Arc::clone(&context), ObjectKind::Configuration, WATCH_WAIT)
            .page_callback(move |list| apply_pages(&shared, list));
        Self { context, reader }
    }

    /// Applies updates until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            if let Err(error) = self.step().await {
                tracing::debug!(%error, "site.read_failed");
                self.reader.wait_before_retry(&error).await;
            }
        }
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        let update = self.reader.next_update().await?;
        if update.changes.is_empty() {
            self.context.confirm_site(update.confirmed_until);
            return Ok(());
        }
        for object in update.changes.iter().filter_map(|change| change.object.as_ref()) {
            adopt(&self.context, object, update.confirmed_until, update.revision.era);
        }
        if !update.is_snapshot {
            self.context.timer.wait(BATCH_DELAY).await;
        }
        Ok(())
    }
}

/// Applies the configuration of a list as soon as its page has been read, since other objects of the kind don't matter.
fn apply_pages(context: &GatewayContext, list: &PartialList) -> usize {
    let era = list.revision.unwrap_or_default().era;
    for object in list.unprocessed().iter().filter(|object| !object.is_deleting) {
        adopt(context, object, list.started_at, era);
    }
    list.objects.len()
}

fn adopt(context: &GatewayContext, object: &StoreObject, read_at: TimePoint, era: u64) {
    match hollyhook_platform::decode_site(object) {
        Ok(Some(config)) => {
            let version = config.version;
            let adoption = context.adopt_site(config, read_at, era);
            if adoption != ConfigAdoption::Same {
                tracing::info!(version, revision = object.revision, adoption = ?adoption, "site.read");
            }
        }
        Ok(None) => {}
        Err(error) => tracing::error!(%error, object = %object.name, revision = object.revision, "site.malformed"),
    }
}
