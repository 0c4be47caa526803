use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{EndpointId, EndpointMembership};
use hollyhook_platform::{ObjectKind, StoreObject};

use super::{StoreClient, StoreError};
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
/// The most of that pause, as a part of the time within which a leaving endpoint has to be known.
const MOST_GATHER: f64 = 0.4;

/// Follows the endpoints that register themselves.
#[derive(Debug)]
pub(crate) struct EndpointWatch {
    context: Arc<GatewayContext>,
    client: StoreClient,
    membership: EndpointMembership,
    /// The revision to watch from; none if the objects have to be listed first.
    revision: Option<u64>,
    is_away: bool,
}

impl EndpointWatch {
    pub(crate) fn new(context: Arc<GatewayContext>, client: StoreClient) -> Self {
        Self { context, client, membership: EndpointMembership::default(), revision: None, is_away: false }
    }

    /// Follows them until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            let outcome = self.step().await;
            self.forget_lapsed();
            match outcome {
                Ok(true) => self.context.timer.wait(self.gather_pause()).await,
                Ok(false) => {}
                Err(error) => self.fail(&error).await,
            }
        }
    }

    fn gather_pause(&self) -> Duration {
        let most = self.context.drain_bound().mul_f64(MOST_GATHER);
        let each = GATHER_EACH * self.context.endpoints().iter().count() as u32;
        each.max(LEAST_GATHER).min(most)
    }

    async fn fail(&mut self, error: &StoreError) {
        self.revision = None;
        self.context.note_store(ObjectKind::Endpoint, Some(error));
        if matches!(error, StoreError::HistoryGone) {
            return;
        }
        self.is_away = true;
        self.context.timer.wait(RETRY_PAUSE).await;
    }

    /// One call; tells whether anything changed.
    async fn step(&mut self) -> Result<bool, StoreError> {
        let Some(revision) = self.revision else {
            let (objects, revision) = self.client.list(ObjectKind::Endpoint).await?;
            self.note_return();
            self.take_list(&objects);
            self.revision = Some(revision);
            return Ok(true);
        };
        let (changes, revision) = self.client.watch(ObjectKind::Endpoint, revision, WATCH_WAIT).await?;
        for change in &changes {
            if change.is_gone || change.object.is_deleting {
                self.miss(&EndpointId::clone(&change.object.name));
            } else {
                self.upsert(&change.object);
            }
        }
        self.revision = Some(revision);
        Ok(!changes.is_empty())
    }

    fn note_return(&mut self) {
        if std::mem::take(&mut self.is_away) {
            self.membership.platform_back(self.context.timer.now());
        }
        self.context.note_store(ObjectKind::Endpoint, None);
    }

    fn take_list(&mut self, objects: &[StoreObject]) {
        let present = objects.iter().filter(|object| !object.is_deleting);
        let present: BTreeSet<EndpointId> = present.map(|object| EndpointId::clone(&object.name)).collect();
        let known: Vec<EndpointId> =
            self.context.endpoints().iter().map(|record| EndpointId::clone(&record.id)).collect();
        for id in known.iter().filter(|id| !present.contains(*id)) {
            self.miss(id);
        }
        for object in objects.iter().filter(|object| !object.is_deleting) {
            self.upsert(object);
        }
        self.context.note_endpoints_listed();
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
