use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::{AccountConfig, CallerHead, EngineMemory, Name, RequestDigest, RouteConfig, TimePoint};
use http::{HeaderMap, Method, Uri};

use crate::gateway::{BodyClaim, RequestGuard};

/// A caller's request, read whole and admitted.
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
    /// The memory of the service's engines; none for a plain service.
    pub(crate) engine: Option<EngineMemory>,
    /// The version of the configuration that admitted it.
    pub(crate) site_version: u64,
    /// When the head had arrived.
    pub(crate) arrived: TimePoint,
    /// When the caller or the route gives up.
    pub(crate) deadline: TimePoint,
    pub(crate) _claim: BodyClaim,
    pub(crate) _guard: RequestGuard,
}

impl CallerRequest {
    /// How long the caller and the route still wait.
    pub(crate) fn time_left(&self, now: TimePoint) -> Duration {
        self.deadline.since(now)
    }

    /// Names it over all its client attempts.
    pub(crate) fn digest(&self) -> RequestDigest {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let account = self.account.as_ref().map(|account| &*account.name);
        RequestDigest::new(path, account, &self.body)
    }

    /// The rank that goes before the route's is the account's.
    pub(crate) fn rank(&self) -> u8 {
        self.account.as_ref().and_then(|account| account.priority).unwrap_or(self.route.priority)
    }
}
