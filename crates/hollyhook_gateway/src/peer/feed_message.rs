use std::time::Duration;

use hollyhook_core::{FeedChange, FeedUpdate, Name, StoreRevision, TimePoint};
use hollyhook_platform::{JsonText, ObjectKind, StoreObject};
use serde::{Deserialize, Serialize};

const CONFIGURATION_PATH: &str = "/feed/configuration";
const ENDPOINT_PATH: &str = "/feed/endpoints";

/// A request to another host for the changes after a revision, which waits for changes if there are none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FeedQuery {
    pub(super) kind: ObjectKind,
    /// The revision of the last update; `None` requests a snapshot.
    pub(super) after: Option<StoreRevision>,
    /// How long the request may wait for changes.
    pub(super) wait: Duration,
}

impl FeedQuery {
    /// The path and query string of the request.
    pub(super) fn to_path(self) -> String {
        let path = if self.kind == ObjectKind::Endpoint { ENDPOINT_PATH } else { CONFIGURATION_PATH };
        let after = self.after.map(|after| format!("&era={}&after={}", after.era, after.number)).unwrap_or_default();
        format!("{path}?wait_ms={}{after}", self.wait.as_millis())
    }

    /// Parses a path and query string; `None` if the path serves no kind of object.
    pub(super) fn from_path(path: &str, query: Option<&str>) -> Option<Self> {
        let kind = match path {
            CONFIGURATION_PATH => ObjectKind::Configuration,
            ENDPOINT_PATH => ObjectKind::Endpoint,
            _ => return None,
        };
        let pairs = || query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
        let number = |name| pairs().find(|(key, _)| *key == name).and_then(|(_, text)| text.parse().ok());
        let era = number("era").unwrap_or_default();
        let after = number("after").map(|after| StoreRevision::new(era, after));
        Some(Self { kind, after, wait: Duration::from_millis(number("wait_ms").unwrap_or_default()) })
    }
}

/// The answer to a [`FeedQuery`]. Times are sent as ages, because the clocks of hosts differ.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct FeedMessage {
    /// Whether `changes` lists all objects that exist, rather than what changed.
    is_whole: bool,
    /// The era of the store in which the update was read.
    #[serde(default)]
    era: u64,
    /// The store's revision up to which the update is complete.
    revision: u64,
    /// How long ago the update was last known to be complete, in milliseconds.
    pub(super) age_ms: u64,
    /// How long ago the store answered again after an outage, in milliseconds.
    back_ms_ago: Option<u64>,
    /// Number of hosts that passed the update on before it reached the answering host.
    #[serde(default)]
    pub(super) hops: u32,
    /// How long the request was held before this answer, in milliseconds.
    #[serde(default)]
    held_ms: u64,
    changes: Vec<MessageChange>,
}

#[derive(Debug, Serialize, Deserialize)]
struct MessageChange {
    name: Name,
    object: Option<MessageObject>,
}

#[derive(Debug, Serialize, Deserialize)]
struct MessageObject {
    revision: u64,
    created: u64,
    is_deleting: bool,
    spec: JsonText,
    #[serde(default, skip_serializing_if = "JsonText::is_null")]
    status: JsonText,
}

impl FeedMessage {
    /// The answer with an update, at `now`, to a request that was received at `received_at`.
    pub(super) fn new(update: FeedUpdate<StoreObject>, received_at: TimePoint, now: TimePoint) -> Self {
        Self {
            is_whole: update.is_snapshot,
            era: update.revision.era,
            revision: update.revision.number,
            age_ms: now.since(update.confirmed_until).as_millis() as u64,
            back_ms_ago: update.grace_start.map(|at| now.since(at).as_millis() as u64),
            hops: update.hops,
            held_ms: now.since(received_at).as_millis() as u64,
            changes: update.changes.into_iter().map(MessageChange::from).collect(),
        }
    }

    /// The update in the answer to a request that was sent at `sent_at` and allowed a wait of up to `wait`.
    ///
    /// The time of the answer is not known here, only that it is no earlier than `sent_at` plus the time for which the
    /// request was held. The ages count from that earliest time, so that a delayed answer never makes an update look
    /// newer than it is. If they counted from `sent_at`, an update that passed through two hosts would look older than
    /// it is, and API keys would be refused that much sooner in an outage of the store.
    pub(super) fn into_update(self, sent_at: TimePoint, wait: Duration) -> FeedUpdate<StoreObject> {
        let answered_at = sent_at + Duration::from_millis(self.held_ms).min(wait);
        FeedUpdate {
            is_snapshot: self.is_whole,
            changes: self.changes.into_iter().map(FeedChange::from).collect(),
            revision: StoreRevision::new(self.era, self.revision),
            confirmed_until: before(answered_at, self.age_ms),
            grace_start: self.back_ms_ago.map(|ms| before(answered_at, ms)),
            hops: self.hops.saturating_add(1),
        }
    }
}

fn before(at: TimePoint, ms: u64) -> TimePoint {
    at - Duration::from_millis(ms)
}

impl From<FeedChange<StoreObject>> for MessageChange {
    fn from(change: FeedChange<StoreObject>) -> Self {
        let object = change.object.map(|object| MessageObject {
            revision: object.revision,
            created: object.created,
            is_deleting: object.is_deleting,
            spec: object.spec,
            status: object.status,
        });
        Self { name: change.name, object }
    }
}

impl From<MessageChange> for FeedChange<StoreObject> {
    fn from(change: MessageChange) -> Self {
        let MessageChange { name, object } = change;
        let object = object.map(|object| StoreObject {
            name: Name::clone(&name),
            revision: object.revision,
            created: object.created,
            is_deleting: object.is_deleting,
            spec: object.spec,
            status: object.status,
        });
        Self { name, object }
    }
}
