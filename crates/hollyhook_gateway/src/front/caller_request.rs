use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::{
    AccountConfig, CallerHead, EngineMemory, Name, RequestDigest, RouteConfig, SuspectRequest, TimePoint,
};
use http::{HeaderMap, Method, Uri};

use crate::gateway::BodyReservation;

/// An admitted request of a caller, with its whole body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) head: CallerHead,
    pub(crate) route: Arc<RouteConfig>,
    pub(crate) account: Option<Arc<AccountConfig>>,
    pub(crate) service: Name,
    /// KV-cache memory of the service's engines; `None` for a plain service.
    pub(crate) engine: Option<EngineMemory>,
    /// Version of the configuration that admitted the request.
    pub(crate) site_version: u64,
    /// When the head of the request had arrived.
    pub(crate) arrived: TimePoint,
    /// When the caller's or the route's time limit ends, whichever is sooner.
    pub(crate) deadline: TimePoint,
    pub(crate) _reservation: BodyReservation,
}

impl CallerRequest {
    /// Time until the deadline; zero after it.
    pub(crate) fn time_left(&self, now: TimePoint) -> Duration {
        self.deadline.since(now)
    }

    /// The client attempt that brought the first event of the stream: an earlier one if the caller names it, else this.
    pub(crate) fn first_attempt(&self) -> &Name {
        self.head.first_attempt.as_ref().unwrap_or(&self.head.attempt_id)
    }

    /// Digest of path, account and body, which identifies the request across the caller's attempts.
    pub(crate) fn digest(&self) -> RequestDigest {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let account = self.account.as_ref().map(|account| &*account.name);
        RequestDigest::new(path, account, &self.body)
    }

    /// The request as a suspect of crashing the endpoints that run it.
    pub(crate) fn suspect(&self) -> SuspectRequest {
        SuspectRequest::new(self.digest(), self.head.shared_parts.iter().copied())
    }

    /// Priority of the request, 0 first: the account's if it has one, else the route's.
    pub(crate) fn priority(&self) -> u8 {
        self.account.as_ref().and_then(|account| account.priority).unwrap_or(self.route.priority)
    }
}
