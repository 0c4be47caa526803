use std::time::Duration;

use hollyhook_core::{FeedChange, FeedUpdate, Name, StoreRevision, TimePoint};
use hollyhook_platform::{JsonText, ObjectKind, StoreObject};
use serde::{Deserialize, Serialize};

const CONFIGURATION_PATH: &str = "/feed/configuration";
const ENDPOINT_PATH: &str = "/feed/endpoints";

/// What a follower asks of a leader: changes after a revision, waiting for some if there are none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FeedQuery {
    pub(super) kind: ObjectKind,
    /// None asks for everything.
    pub(super) after: Option<StoreRevision>,
    pub(super) wait: Duration,
}

impl FeedQuery {
    /// The path and query by which it is asked.
    pub(super) fn to_path(self) -> String {
        let path = if self.kind == ObjectKind::Endpoint { ENDPOINT_PATH } else { CONFIGURATION_PATH };
        let after = self.after.map(|after| format!("&era={}&after={}", after.era, after.number)).unwrap_or_default();
        format!("{path}?wait_ms={}{after}", self.wait.as_millis())
    }

    /// Reads it; none if nothing is told under that path.
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

/// What a leader answers. Clocks of hosts differ, so times are told as ages.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct FeedMessage {
    is_whole: bool,
    /// The era of the store.
    #[serde(default)]
    era: u64,
    revision: u64,
    /// How long ago the store confirmed it, in milliseconds.
    pub(super) age_ms: u64,
    /// How long ago the store came back after it was away, in milliseconds.
    back_ms_ago: Option<u64>,
    /// Hosts that told it to the one that answers.
    #[serde(default)]
    pub(super) hops: u32,
    /// How long the question was held before this was said, in milliseconds.
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
    /// The message for news, told at `now` in answer to a question that came at `sent_at`.
    pub(super) fn new(update: FeedUpdate<StoreObject>, sent_at: TimePoint, now: TimePoint) -> Self {
        Self {
            is_whole: update.is_snapshot,
            era: update.revision.era,
            revision: update.revision.number,
            age_ms: now.since(update.confirmed_until).as_millis() as u64,
            back_ms_ago: update.grace_start.map(|at| now.since(at).as_millis() as u64),
            hops: update.hops,
            held_ms: now.since(sent_at).as_millis() as u64,
            changes: update.changes.into_iter().map(MessageChange::from).collect(),
        }
    }

    /// The news, for a question asked at `sent_at` that was to be held for up to `wait`.
    ///
    /// When the answer was given is not known here, only that it was no sooner than the question and the time for which it
    /// was held. The ages count from then, so that a delayed answer never makes anything look newer than it is.
    /// Counted from the question alone, what passed through two hosts would look older than it is, and in an outage of the store
    /// keys would be refused that much sooner.
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
