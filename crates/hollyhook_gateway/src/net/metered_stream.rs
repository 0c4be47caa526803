use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use futures::io::{AsyncRead, AsyncWrite};
use smol_hyper::rt::FuturesIo;

use super::UsageMeter;

/// A connection whose bytes are counted.
#[derive(Debug)]
pub(crate) struct MeteredStream<S> {
    inner: S,
    meter: Arc<UsageMeter>,
}

/// Wraps a connection so that `hyper` can read and write it and its bytes are counted.
pub(crate) fn metered_stream<S>(inner: S, meter: &Arc<UsageMeter>) -> FuturesIo<MeteredStream<S>> {
    FuturesIo::new(MeteredStream { inner, meter: Arc::clone(meter) })
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.meter.count_received(bytes);
        Poll::Ready(Ok(bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.meter.count_sent(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, bufs))?;
        self.meter.count_sent(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
