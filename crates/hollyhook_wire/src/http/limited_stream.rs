use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_io::Timer;
use async_std::io::{Read, ReadExt, Write};
use async_std::net::TcpStream;
use futures::future::{Either, select};
use hollyhook_core::{Error, ErrorKind, Result};

use super::request_head::{RequestHead, head_end};

/// The result of waiting for the next request head on a connection.
#[derive(Debug)]
pub(super) enum HeadOutcome {
    /// A head has been received and is valid.
    Ready,
    /// No further request: the connection was closed, failed, or was idle for too long between requests.
    Ended,
}

/// A connection to a caller that is read under size limits and timeouts.
///
/// [`next_head`](Self::next_head) receives and checks one request head. The HTTP library then reads the head and the
/// body from this stream; unless the body is chunked, it can't read beyond the body from the connection.
#[derive(Debug, Clone)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    state: Arc<Mutex<LimitState>>,
}

#[derive(Debug)]
struct LimitState {
    /// Received bytes: the head, and the bytes received along with it. The HTTP library has read the first `consumed`
    /// of these bytes.
    buffered: Vec<u8>,
    consumed: usize,
    /// The number of body bytes still to be read from the connection; `None` if the body is chunked.
    body_remaining: Option<u64>,
    read_timeout: Duration,
    write_timeout: Duration,
    /// Runs while a read is pending.
    read_timer: Option<Timer>,
    /// Runs while a write is pending.
    write_timer: Option<Timer>,
}

impl LimitedStream {
    pub(super) fn new(stream: TcpStream, read_timeout: Duration, write_timeout: Duration) -> Self {
        let state = LimitState {
            buffered: Vec::new(),
            consumed: 0,
            body_remaining: Some(0),
            read_timeout,
            write_timeout,
            read_timer: None,
            write_timer: None,
        };
        Self { stream, state: Arc::new(Mutex::new(state)) }
    }

    /// Waits up to `idle` for the first byte of the next request head, then up to the read timeout for the rest.
    ///
    /// # Errors
    ///
    /// `HeadTooLarge` if the head has more than `limit` bytes, `RequestTimeout` if the rest does not
    /// arrive in time, and the errors of [`RequestHead::parse`].
    pub(super) async fn next_head(&self, limit: usize, idle: Duration) -> Result<HeadOutcome> {
        let mut bytes = self.take_buffered();
        let mut deadline = Timer::after(if bytes.is_empty() { idle } else { self.lock().read_timeout });
        let mut chunk = [0; 2_048];
        loop {
            let end = head_end(&bytes);
            if end.unwrap_or(bytes.len()) > limit {
                let message = format!("the head is larger than the limit of {limit} bytes");
                return Err(Error::new(ErrorKind::HeadTooLarge, message).param("head"));
            }
            if let Some(end) = end {
                return self.accept_head(bytes, end);
            }
            let was_empty = bytes.is_empty();
            match read_until(&self.stream, &mut chunk, &mut deadline).await {
                Some(Ok(count)) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
                None if !was_empty => {
                    let message = "the head did not arrive whole in time";
                    return Err(Error::new(ErrorKind::RequestTimeout, message).param("head"));
                }
                _ => return Ok(HeadOutcome::Ended),
            }
            if was_empty {
                deadline = Timer::after(self.lock().read_timeout);
            }
        }
    }

    /// Waits until the caller has closed the connection or the connection has failed.
    pub(super) async fn closed(&self) {
        const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
        let mut probe = [0; 1];
        // Unread data is a body or the next request. `peek` detects the end of the connection only after that data has
        // been read.
        while let Ok(1..) = self.stream.peek(&mut probe).await {
            Timer::after(RECHECK_INTERVAL).await;
        }
    }

    pub(super) fn tcp_stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Takes the bytes that arrived after the previous request.
    fn take_buffered(&self) -> Vec<u8> {
        let mut state = self.lock();
        let consumed = state.consumed;
        let rest = state.buffered.split_off(consumed);
        state.buffered.clear();
        state.consumed = 0;
        rest
    }

    fn accept_head(&self, bytes: Vec<u8>, end: usize) -> Result<HeadOutcome> {
        let head = RequestHead::parse(&bytes[..end])?;
        let received = (bytes.len() - end) as u64;
        let mut state = self.lock();
        state.body_remaining = head.content_length.map(|length| length.saturating_sub(received));
        state.buffered = bytes;
        Ok(HeadOutcome::Ready)
    }

    fn lock(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Read for LimitedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut state = this.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.consumed < state.buffered.len() {
            let count = buf.len().min(state.buffered.len() - state.consumed);
            let start = state.consumed;
            buf[..count].copy_from_slice(&state.buffered[start..start + count]);
            state.consumed += count;
            if state.consumed == state.buffered.len() {
                // Frees the buffer, since the response may stream for minutes and the head is not needed any more.
                state.buffered = Vec::new();
                state.consumed = 0;
            }
            return Poll::Ready(Ok(count));
        }
        let room = state.body_remaining.map_or(buf.len(), |left| buf.len().min(left as usize));
        if room == 0 {
            return Poll::Ready(Ok(0));
        }
        match Pin::new(&mut this.stream).poll_read(cx, &mut buf[..room]) {
            Poll::Ready(outcome) => {
                state.read_timer = None;
                if let (Ok(count), Some(left)) = (&outcome, &mut state.body_remaining) {
                    *left -= *count as u64;
                }
                Poll::Ready(outcome)
            }
            Poll::Pending => {
                let timeout = state.read_timeout;
                poll_timeout(&mut state.read_timer, timeout, cx)
            }
        }
    }
}

impl Write for LimitedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let outcome = Pin::new(&mut this.stream).poll_write(cx, buf);
        let mut state = this.state.lock().unwrap_or_else(PoisonError::into_inner);
        if outcome.is_ready() {
            state.write_timer = None;
            return outcome;
        }
        let timeout = state.write_timeout;
        poll_timeout(&mut state.write_timer, timeout, cx)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_close(cx)
    }
}

/// Reads once, or returns `None` if the deadline passes first.
async fn read_until(mut stream: &TcpStream, chunk: &mut [u8], deadline: &mut Timer) -> Option<io::Result<usize>> {
    match select(stream.read(chunk), deadline).await {
        Either::Left((outcome, _)) => Some(outcome),
        Either::Right(_) => None,
    }
}

/// Fails with `TimedOut` once `timer` has run for `timeout`, and is pending until then.
///
/// Starts the timer if it is not running.
fn poll_timeout(timer: &mut Option<Timer>, timeout: Duration, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
    let running = timer.get_or_insert_with(|| Timer::after(timeout));
    ready!(Pin::new(running).poll(cx));
    *timer = None;
    Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
}
