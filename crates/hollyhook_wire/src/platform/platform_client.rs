use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hollyhook_core::{Error, ErrorKind};
use http_types::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{ObjectList, ObjectVersion, StoredObject};
use crate::api::{decode, request_to};
use crate::http::HttpClient;

/// The timeout of a call; a watch may take this much longer than its wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The platform has no such object.
    Missing,
    /// The write's condition does not hold.
    Conflict,
    /// The call did not reach the platform, or the platform answered that it did nothing.
    Unavailable,
    /// No valid response arrived: a write may or may not have taken effect.
    Unknown,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "the platform has no such object",
            Self::Conflict => "the object was changed meanwhile",
            Self::Unavailable => "the platform is not available",
            Self::Unknown => "the platform did not answer; a write may have taken effect",
        })
    }
}

impl std::error::Error for PlatformError {}

impl From<PlatformError> for Error {
    fn from(error: PlatformError) -> Self {
        let kind = match error {
            PlatformError::Conflict => ErrorKind::Conflict,
            PlatformError::Missing => ErrorKind::Internal,
            PlatformError::Unavailable | PlatformError::Unknown => ErrorKind::PlatformDown,
        };
        Self::new(kind, error.to_string())
    }
}

/// The numbers of calls made, since the platform counts and charges each call.
#[derive(Debug, Default)]
pub struct PlatformCalls {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

/// A client of the platform's object API.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    http: HttpClient,
    calls: Arc<PlatformCalls>,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, http: HttpClient::new(Duration::from_millis(500)), calls: Arc::default() }
    }

    /// The number of reads made so far.
    pub fn reads(&self) -> u64 {
        self.calls.reads.load(Ordering::Relaxed)
    }

    /// The number of writes made so far.
    pub fn writes(&self) -> u64 {
        self.calls.writes.load(Ordering::Relaxed)
    }

    /// The number of watches begun so far.
    pub fn watches(&self) -> u64 {
        self.calls.watches.load(Ordering::Relaxed)
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// `Missing`, `Unavailable` or `Unknown`.
    pub async fn get(&self, kind: &str, name: &str) -> Result<StoredObject, PlatformError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let request = self.request(Method::Get, &format!("/objects/{kind}/{name}"))?;
        self.call(request, CALL_TIMEOUT).await
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Unknown`.
    pub async fn list(&self, kind: &str) -> Result<ObjectList, PlatformError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let request = self.request(Method::Get, &format!("/objects/{kind}"))?;
        self.call(request, CALL_TIMEOUT).await
    }

    /// Waits up to `wait` for changes to the objects of a kind after a revision.
    ///
    /// The list is empty if there were no changes.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Unknown`.
    pub async fn watch(&self, kind: &str, after: ObjectVersion, wait: Duration) -> Result<ObjectList, PlatformError> {
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        let path = format!("/objects/{kind}?after={after}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::Get, &path)?;
        self.call(request, wait + CALL_TIMEOUT).await
    }

    /// Writes one object if the condition holds.
    ///
    /// # Errors
    ///
    /// `Conflict` if the condition does not hold, `Unavailable` if nothing was written, `Unknown` if no valid response
    /// arrived, so that the write may have taken effect.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        condition: WriteCondition,
        value: &impl Serialize,
    ) -> Result<ObjectVersion, PlatformError> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let mut request = self.request(Method::Put, &format!("/objects/{kind}/{name}"))?;
        match condition {
            WriteCondition::Absent => request.insert_header("if-none-match", "*"),
            WriteCondition::Version(version) => request.insert_header("if-match", version.to_string()),
        };
        request.set_body(serde_json::to_vec(value).map_err(|_error| PlatformError::Unavailable)?);
        request.set_content_type(http_types::mime::JSON);
        self.call(request, CALL_TIMEOUT).await
    }

    fn request(&self, method: Method, path: &str) -> Result<Request, PlatformError> {
        request_to(method, self.address, path).map_err(|_error| PlatformError::Unavailable)
    }

    async fn call<T: DeserializeOwned>(&self, request: Request, limit: Duration) -> Result<T, PlatformError> {
        match self.http.fetch(self.address, request, limit).await {
            Ok((200 | 201, body)) => decode(&body).map_err(|_error| PlatformError::Unknown),
            Ok((404, _)) => Err(PlatformError::Missing),
            Ok((412, _)) => Err(PlatformError::Conflict),
            // The platform answers 503 only before it has changed anything.
            Ok((503, _)) => Err(PlatformError::Unavailable),
            Err(error) if error.kind() == ErrorKind::NotRun => Err(PlatformError::Unavailable),
            Ok(_) | Err(_) => Err(PlatformError::Unknown),
        }
    }
}
