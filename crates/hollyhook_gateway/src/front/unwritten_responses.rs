use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use futures::io::{AsyncRead, AsyncWrite};

use crate::gateway::RequestGuard;
use crate::sync::lock;

/// The requests of one connection whose responses are complete but still in the connection's write buffer.
#[derive(Debug, Clone, Default)]
pub(super) struct UnwrittenResponses(Arc<Mutex<Vec<RequestGuard>>>);

impl UnwrittenResponses {
    /// Counts a request until the connection has been flushed.
    pub(super) fn add(&self, guard: RequestGuard) {
        lock(&self.0).push(guard);
    }

    fn clear(&self) {
        lock(&self.0).clear();
    }
}

/// A caller's connection that records when responses have been written.
#[derive(Debug)]
pub(super) struct FlushedStream<S> {
    inner: S,
    unwritten: UnwrittenResponses,
}

impl<S> FlushedStream<S> {
    pub(super) fn new(inner: S, unwritten: UnwrittenResponses) -> Self {
        Self { inner, unwritten }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FlushedStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FlushedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    /// The HTTP connection flushes only once it has written all that it buffered.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(cx))?;
        self.unwritten.clear();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
