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

/// Why another host is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerRole {
    /// It reads the store for the zone: it waits for changes if there are none.
    Leader,
    /// It reads the store for itself, which gives this host no answer: it answers at once.
    Helper,
}

impl PeerRole {
    fn wait(self) -> Duration {
        match self {
            Self::Leader => WAIT,
            Self::Helper => Duration::ZERO,
        }
    }

    fn is_too_old(self, age: Duration) -> bool {
        match self {
            Self::Leader => is_stale(age),
            Self::Helper => is_stale_help(age),
        }
    }
}

/// Asks other hosts over one kept connection.
#[derive(Debug)]
pub(crate) struct PeerClient {
    line: KeptLine,
}

impl PeerClient {
    pub(crate) fn new(timer: TimerService) -> Self {
        Self { line: KeptLine::new(timer) }
    }

    /// What changed after a revision, by what a host knows of the store.
    ///
    /// # Errors
    ///
    /// What is wrong, if it does not answer, may not tell, or knows only what is too old.
    pub(crate) async fn ask(
        &mut self,
        role: PeerRole,
        host: &RosterMember,
        kind: ObjectKind,
        after: Option<u64>,
        asked_at: TimePoint,
    ) -> Result<FeedNews<StoreObject>, LineFault> {
        let query = FeedQuery { kind, after, wait: role.wait() };
        let request = line_request(Method::GET, host.address, &query.to_path(), "")?;
        let (status, body) = self.line.call(host.address, request, query.wait + SLACK).await?;
        if status != StatusCode::OK {
            return Err(LineFault("it does not read the store"));
        }
        let message: FeedMessage =
            serde_json::from_slice(&body).map_err(|_error| LineFault("it can't be understood"))?;
        if role.is_too_old(Duration::from_millis(message.age_ms)) {
            return Err(LineFault("what it knows is too old"));
        }
        Ok(message.into_news(asked_at))
    }
}
