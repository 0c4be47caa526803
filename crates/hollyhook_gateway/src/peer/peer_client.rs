use std::time::Duration;

use hollyhook_core::{FeedTiming, FeedUpdate, HostRecord, SkipReason, StoreRevision, TimePoint, is_helper_stale};
use hollyhook_kernel::TimerService;
use hollyhook_platform::{ObjectKind, StoreObject};
use http::{Method, StatusCode};

use super::feed_message::{FeedMessage, FeedQuery};
use crate::net::{ExchangeError, PersistentClient, build_request};

/// Why another host is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerRole {
    /// It reads the store for the zone, and this one tells others: it waits for changes if there are none.
    Leader,
    /// It tells this one what the store holds: it waits for changes if there are none.
    Source,
    /// It tells all objects to this one, which has just started, as soon as it knows them.
    ListSource,
    /// It reads the store for itself, which gives this host no answer: it answers at once.
    Helper,
}

impl PeerRole {
    fn wait(self, timing: FeedTiming) -> Duration {
        match self {
            Self::Leader => timing.relay_wait(),
            Self::Source => timing.peer_wait(),
            Self::ListSource => timing.list_wait(),
            Self::Helper => Duration::ZERO,
        }
    }

    /// How long the answer may take.
    fn timeout(self, timing: FeedTiming) -> Duration {
        match self {
            Self::ListSource => timing.list_timeout(),
            Self::Leader | Self::Source | Self::Helper => timing.peer_timeout(self.wait(timing)),
        }
    }

    fn is_stale(self, timing: FeedTiming, message: &FeedMessage) -> bool {
        let age = Duration::from_millis(message.age_ms);
        match self {
            Self::Leader | Self::Source | Self::ListSource => timing.is_stale(age, message.hops),
            Self::Helper => is_helper_stale(age),
        }
    }
}

/// Why another host's answer is of no use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerError {
    pub(crate) reason: SkipReason,
    pub(crate) detail: &'static str,
}

impl PeerError {
    fn stale(detail: &'static str) -> Self {
        Self { reason: SkipReason::Stale, detail }
    }
}

impl From<ExchangeError> for PeerError {
    fn from(fault: ExchangeError) -> Self {
        Self { reason: SkipReason::Failed, detail: fault.0 }
    }
}

/// A question to another host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerRequest {
    pub(crate) role: PeerRole,
    pub(crate) kind: ObjectKind,
    /// The revision after which changes are asked for; none asks for everything.
    pub(crate) after: Option<StoreRevision>,
    pub(crate) timing: FeedTiming,
    pub(crate) sent_at: TimePoint,
}

/// Asks other hosts over one kept connection.
#[derive(Debug)]
pub(crate) struct PeerClient {
    client: PersistentClient,
}

impl PeerClient {
    pub(crate) fn new(timer: TimerService) -> Self {
        Self { client: PersistentClient::new(timer) }
    }

    /// What changed after a revision, by what a host knows of the store.
    ///
    /// # Errors
    ///
    /// What is wrong, if it does not answer, may not tell, or knows only what is too old.
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
            return Err(PeerError::stale("it does not read the store"));
        }
        let message: FeedMessage =
            serde_json::from_slice(response.body()).map_err(|_error| ExchangeError("it can't be understood"))?;
        if role.is_stale(timing, &message) {
            return Err(PeerError::stale("what it knows is too old"));
        }
        Ok(message.into_update(sent_at, wait))
    }
}
