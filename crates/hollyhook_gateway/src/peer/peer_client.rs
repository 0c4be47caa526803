use std::time::Duration;

use hollyhook_core::{FeedTiming, FeedUpdate, HostRecord, SkipReason, StoreRevision, TimePoint, is_helper_stale};
use hollyhook_kernel::TimerService;
use hollyhook_platform::{ObjectKind, StoreObject};
use http::{Method, StatusCode};

use super::feed_message::{FeedMessage, FeedQuery};
use crate::net::{ExchangeError, PersistentClient, build_request};

/// The role in which another host is asked for an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerRole {
    /// A leader that a relay asks. It waits for changes if there are none.
    Leader,
    /// A leader or relay that a follower asks. It waits for changes if there are none.
    Source,
    /// A source that is asked so that a long list need not be read from the store to its end. It answers as soon as it
    /// has received an update itself.
    ListSource,
    /// A host that is asked for its copy because the store does not answer this host. It answers at once.
    Helper,
}

impl PeerRole {
    /// How long the request may wait for changes at the other host.
    fn wait(self, timing: FeedTiming) -> Duration {
        match self {
            Self::Leader => timing.relay_wait(),
            Self::Source => timing.peer_wait(),
            Self::ListSource => timing.list_wait(),
            Self::Helper => Duration::ZERO,
        }
    }

    /// How long the answer may take in total.
    fn timeout(self, timing: FeedTiming) -> Duration {
        match self {
            Self::ListSource => timing.list_timeout(),
            Self::Leader | Self::Source | Self::Helper => timing.peer_timeout(self.wait(timing)),
        }
    }

    /// Whether the copy in an answer is too old to use.
    fn is_stale(self, timing: FeedTiming, message: &FeedMessage) -> bool {
        let age = Duration::from_millis(message.age_ms);
        match self {
            Self::Leader | Self::Source | Self::ListSource => timing.is_stale(age, message.hops),
            Self::Helper => is_helper_stale(age),
        }
    }
}

/// Why a request to another host returned no usable update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerError {
    /// Why the other host is to be skipped.
    pub(crate) reason: SkipReason,
    /// A description for the log.
    pub(crate) detail: &'static str,
}

impl PeerError {
    fn stale(detail: &'static str) -> Self {
        Self { reason: SkipReason::Stale, detail }
    }
}

impl From<ExchangeError> for PeerError {
    fn from(error: ExchangeError) -> Self {
        Self { reason: SkipReason::Failed, detail: error.0 }
    }
}

/// A request for an update from another host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerRequest {
    pub(crate) role: PeerRole,
    pub(crate) kind: ObjectKind,
    /// The revision after which changes are requested; `None` requests a snapshot.
    pub(crate) after: Option<StoreRevision>,
    pub(crate) timing: FeedTiming,
    pub(crate) sent_at: TimePoint,
}

/// Requests updates from other hosts over one persistent connection.
#[derive(Debug)]
pub(crate) struct PeerClient {
    client: PersistentClient,
}

impl PeerClient {
    pub(crate) fn new(timer: TimerService) -> Self {
        Self { client: PersistentClient::new(timer) }
    }

    /// Requests an update from another host.
    ///
    /// # Errors
    ///
    /// Why the update is of no use: the host did not answer, must not pass its copy on, or has a copy that is too old.
    pub(crate) async fn fetch_update(
        &mut self,
        host: &HostRecord,
        request: PeerRequest,
    ) -> Result<FeedUpdate<StoreObject>, PeerError> {
        let PeerRequest { role, kind, after, timing, sent_at } = request;
        let wait = role.wait(timing);
        let query = FeedQuery { kind, after, wait };
        let request = build_request(Method::GET, host.address, &query.to_path(), "")?;
        let response = self.client.call(host.address, request, role.timeout(timing)).await?;
        if response.status() != StatusCode::OK {
            return Err(PeerError::stale("the host has no copy of the store that it may pass on"));
        }
        let message: FeedMessage =
            serde_json::from_slice(response.body()).map_err(|_error| ExchangeError("the answer can't be parsed"))?;
        if role.is_stale(timing, &message) {
            return Err(PeerError::stale("the copy of the host is too old"));
        }
        Ok(message.into_update(sent_at, wait))
    }
}
