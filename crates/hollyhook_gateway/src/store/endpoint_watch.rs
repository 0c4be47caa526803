use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{EndpointId, EndpointMembership, FeedNews, TimePoint};
use hollyhook_platform::{ObjectKind, StoreObject};

use super::{FeedReader, StoreClient, StoreError};
use crate::gateway::GatewayContext;

/// How long one watch waits. A longer one costs fewer calls; with the slack of a watch, a connection that went silent
/// has to be noticed within 5 s, which is when a host counts as in touch again (3 s) and has to know of a leaving
/// endpoint (2 s).
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The pause after changes for each endpoint, so that many changes come with one call. The endpoints of a large site
/// change all the time, and each watch that returns is charged; with 40 endpoints a longer pause was seen to cost more
/// by what hosts knew too late than it saved.
const GATHER_EACH: Duration = Duration::from_millis(10);
/// The least of that pause.
const LEAST_GATHER: Duration = Duration::from_millis(400);
/// That pause at a host that reads for others: few do, and the others wait for it.
const LEADER_GATHER: Duration = Duration::from_millis(350);
/// The most of that pause, as a part of the time within which a leaving endpoint has to be known.
const MOST_GATHER: f64 = 0.4;

/// Follows the endpoints that register themselves.
#[derive(Debug)]
pub(crate) struct EndpointWatch {
    context: Arc<GatewayContext>,
    reader: FeedReader,
    membership: EndpointMembership,
    /// The store's last return that was taken in.
    back_at: Option<TimePoint>,
}

impl EndpointWatch {
    pub(crate) fn new(context: Arc<GatewayContext>, client: StoreClient) -> Self {
        let reader = FeedReader::new(Arc::clone(&context), ObjectKind::Endpoint, client, WATCH_WAIT);
        Self { context, reader, membership: EndpointMembership::default(), back_at: None }
    }

    /// Follows them until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            let outcome = self.step().await;
            self.forget_lapsed();
            match outcome {
                Ok(true) => self.context.timer.wait(self.gather_pause()).await,
                Ok(false) | Err(StoreError::HistoryGone) => {}
                Err(_logged) => self.context.timer.wait(RETRY_PAUSE).await,
            }
        }
    }

    fn gather_pause(&self) -> Duration {
        if self.reader.is_leading() {
            return LEADER_GATHER;
        }
        let most = self.context.drain_bound().mul_f64(MOST_GATHER);
        let each = GATHER_EACH * self.context.endpoints().iter().count() as u32;
        each.max(LEAST_GATHER).min(most)
    }

    /// One call; tells whether anything changed.
    async fn step(&mut self) -> Result<bool, StoreError> {
        let news = self.reader.next().await?;
        self.note_return(&news);
        if news.is_whole {
            self.forget_missing(&news);
        }
        for change in &news.changes {
            match &change.object {
                Some(object) => self.upsert(object),
                None => self.miss(&EndpointId::clone(&change.name)),
            }
        }
        if news.is_whole {
            self.context.note_endpoints_listed();
        }
        Ok(!news.changes.is_empty())
    }

    fn note_return(&mut self, news: &FeedNews<StoreObject>) {
        let Some(at) = news.back_at.filter(|at| Some(*at) > self.back_at) else {
            return;
        };
        self.back_at = Some(at);
        self.membership.platform_back(at);
    }

    fn forget_missing(&mut self, news: &FeedNews<StoreObject>) {
        let present: BTreeSet<&EndpointId> = news.changes.iter().map(|change| &change.name).collect();
        let known: Vec<EndpointId> =
            self.context.endpoints().iter().map(|record| EndpointId::clone(&record.id)).collect();
        for id in known.iter().filter(|id| !present.contains(*id)) {
            self.miss(id);
        }
    }

    fn upsert(&mut self, object: &StoreObject) {
        match hollyhook_platform::decode_endpoint(object) {
            Ok(record) => {
                self.membership.present(&record.id);
                self.context.upsert_endpoint(record);
            }
            Err(error) => tracing::error!(%error, endpoint = %object.name, "endpoint.malformed"),
        }
    }

    fn miss(&mut self, id: &EndpointId) {
        if self.membership.is_gone(self.context.timer.now(), id) {
            self.context.forget_endpoint(id);
        }
    }

    fn forget_lapsed(&mut self) {
        for id in self.membership.lapsed(self.context.timer.now()) {
            self.context.forget_endpoint(&id);
        }
    }
}
