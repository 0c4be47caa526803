use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::{BoxFuture, Either, select};
use futures::stream::FuturesUnordered;
use hollyhook_core::TimePoint;
use hollyhook_kernel::TimerService;
use http::Response;

use crate::net::{ExchangeError, PersistentClient};

/// A read of the store whose exchange has ended.
pub(super) struct EndedRead {
    pub(super) query: ReadQuery,
    /// The client, whose connection can be used again.
    pub(super) client: PersistentClient,
    pub(super) outcome: Result<Response<Bytes>, ExchangeError>,
}

/// What a read asks of the store, and when it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReadQuery {
    pub(super) address: SocketAddr,
    pub(super) path: String,
    /// How long the path asks the store to wait before it answers.
    pub(super) wait: Duration,
    pub(super) sent_at: TimePoint,
}

impl EndedRead {
    /// Whether this is a successful answer to what a query asks.
    fn answers(&self, query: &ReadQuery) -> bool {
        let is_success = self.outcome.as_ref().is_ok_and(|response| response.status().is_success());
        is_success && self.query.address == query.address && self.query.path == query.path
    }
}

/// A read of the store that is under way.
pub(super) type ReadFuture = BoxFuture<'static, EndedRead>;

/// Reads whose time limit has passed and that the store may still answer.
///
/// A host whose limits are shorter than the store needs would otherwise close each connection just before its answer, and
/// never learn how long answers take.
#[derive(Default)]
pub(super) struct LateReads {
    /// Never locked; the mutex lets tasks share references to their owner.
    reads: Mutex<FuturesUnordered<ReadFuture>>,
}

impl LateReads {
    /// Gives the reads up, as their answers would be older than what is known by now.
    pub(super) fn clear(&mut self) {
        self.get_mut().clear();
    }

    /// Waits for the answer to a query, by `read` or by a late read that asks the same; `None` after `limit`, when `read`
    /// is late too. `observe` is called with each late read of something else that is answered.
    pub(super) async fn answer(
        &mut self,
        timer: &TimerService,
        query: &ReadQuery,
        mut read: ReadFuture,
        limit: Duration,
        observe: impl Fn(&ReadQuery),
    ) -> Option<EndedRead> {
        let ended = timer.within(limit, self.first_answer(query, &mut read, observe)).await;
        if ended.is_none() {
            self.get_mut().push(read);
        }
        ended
    }

    async fn first_answer(
        &mut self,
        query: &ReadQuery,
        read: &mut ReadFuture,
        observe: impl Fn(&ReadQuery),
    ) -> EndedRead {
        let reads = self.get_mut();
        loop {
            if reads.is_empty() {
                return read.await;
            }
            match select(&mut *read, reads.next()).await {
                Either::Left((ended, _late)) => return ended,
                Either::Right((Some(late), _read)) if late.answers(query) => return late,
                Either::Right((Some(late), _read)) if late.outcome.is_ok() => observe(&late.query),
                Either::Right(_) => {}
            }
        }
    }

    fn get_mut(&mut self) -> &mut FuturesUnordered<ReadFuture> {
        self.reads.get_mut().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for LateReads {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LateReads").finish_non_exhaustive()
    }
}
