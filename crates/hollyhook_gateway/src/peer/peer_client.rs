use std::time::Duration;

use hollyhook_core::{FeedNews, RosterMember, TimePoint, is_stale, is_stale_help};
use hollyhook_kernel::TimerService;
use hollyhook_platform::{ObjectKind, StoreObject};
use http::{Method, StatusCode};

use super::feed_message::{FeedMessage, FeedQuery};
use crate::net::{KeptLine, LineFault, line_request};

/// How long a leader waits for news before it answers that there are none. With the age that news may have, a follower
/// stays within 1.9 s of the store.
const WAIT: Duration = Duration::from_millis(600);
/// How much longer an answer may take: hosts of a zone are a millisecond apart, with a quarter of a core each.
const SLACK: Duration = Duration::from_millis(250);

/// Asks other hosts of the zone over one kept connection.
#[derive(Debug)]
pub(crate) struct PeerClient {
    line: KeptLine,
}

impl PeerClient {
    pub(crate) fn new(timer: TimerService) -> Self {
        Self { line: KeptLine::new(timer) }
    }

    /// What changed after a revision, by what a leader knows; waits for changes if there are none.
    ///
    /// # Errors
    ///
    /// What is wrong, if it does not answer, may not tell, or knows only what is too old.
    pub(crate) async fn ask(
        &mut self,
        leader: &RosterMember,
        kind: ObjectKind,
        after: Option<u64>,
        asked_at: TimePoint,
    ) -> Result<FeedNews<StoreObject>, LineFault> {
        self.ask_within(leader, FeedQuery { kind, after, wait: WAIT }, asked_at, is_stale).await
    }

    /// The same of a host that reads the store for itself; it answers at once.
    ///
    /// # Errors
    ///
    /// As for [`ask`](Self::ask).
    pub(crate) async fn ask_help(
        &mut self,
        helper: &RosterMember,
        kind: ObjectKind,
        after: Option<u64>,
        asked_at: TimePoint,
    ) -> Result<FeedNews<StoreObject>, LineFault> {
        self.ask_within(helper, FeedQuery { kind, after, wait: Duration::ZERO }, asked_at, is_stale_help).await
    }

    async fn ask_within(
        &mut self,
        host: &RosterMember,
        query: FeedQuery,
        asked_at: TimePoint,
        is_too_old: impl Fn(Duration) -> bool,
    ) -> Result<FeedNews<StoreObject>, LineFault> {
        let request = line_request(Method::GET, host.address, &query.to_path(), "")?;
        let (status, body) = self.line.call(host.address, request, query.wait + SLACK).await?;
        if status != StatusCode::OK {
            return Err(LineFault("it does not read the store"));
        }
        let message: FeedMessage =
            serde_json::from_slice(&body).map_err(|_error| LineFault("it can't be understood"))?;
        if is_too_old(Duration::from_millis(message.age_ms)) {
            return Err(LineFault("what it knows is too old"));
        }
        Ok(message.into_news(asked_at))
    }
}
