use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{ConfigAdoption, TimePoint};
use hollyhook_platform::{ObjectKind, StoreObject};

use super::{FeedReader, StoreError};
use crate::gateway::GatewayContext;

/// How long one watch waits. Each return confirms that no key was taken away, so it has to be well under the time
/// for which a key is honoured without confirmation; a longer one costs fewer calls.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// The pause after a change, so that a series of them comes with few calls; a tenth of the time within which a version
/// has to be in force.
const GATHER_PAUSE: Duration = Duration::from_millis(200);

/// Follows the operator's configuration.
#[derive(Debug)]
pub(crate) struct SiteWatch {
    context: Arc<GatewayContext>,
    reader: FeedReader,
}

impl SiteWatch {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Self {
        let reader = FeedReader::new(Arc::clone(&context), ObjectKind::Configuration, WATCH_WAIT);
        Self { context, reader }
    }

    /// Follows it until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            if let Err(error) = self.step().await {
                tracing::debug!(%error, "site.read_failed");
                if !matches!(error, StoreError::HistoryGone) {
                    self.reader.pause().await;
                }
            }
        }
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        let news = self.reader.next().await?;
        if news.changes.is_empty() {
            self.context.confirm_site(news.confirmed_until);
            return Ok(());
        }
        for object in news.changes.iter().filter_map(|change| change.object.as_ref()) {
            self.adopt(object, news.confirmed_until, news.revision.era);
        }
        if !news.is_snapshot {
            self.context.timer.wait(GATHER_PAUSE).await;
        }
        Ok(())
    }

    fn adopt(&self, object: &StoreObject, read_at: TimePoint, era: u64) {
        match hollyhook_platform::decode_site(object) {
            Ok(Some(config)) => {
                let version = config.version;
                let adoption = self.context.adopt_site(config, read_at, era);
                if adoption != ConfigAdoption::Same {
                    tracing::info!(version, revision = object.revision, adoption = ?adoption, "site.read");
                }
            }
            Ok(None) => {}
            Err(error) => tracing::error!(%error, object = %object.name, revision = object.revision, "site.malformed"),
        }
    }
}
