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

/// What became of waiting for the next request on a connection.
#[derive(Debug)]
pub(super) enum HeadOutcome {
    /// A head is there, checked.
    Ready,
    /// The caller closed the connection between requests, or was silent between them for too long.
    Ended,
}

/// A connection that is read a head at a time under a limit and a deadline, and then no further than its body.
#[derive(Debug, Clone)]
pub(super) struct GuardedStream {
    stream: TcpStream,
    state: Arc<Mutex<GuardState>>,
}

#[derive(Debug)]
struct GuardState {
    /// Bytes that were read ahead, of which `used` are consumed.
    ahead: Vec<u8>,
    used: usize,
    /// Body bytes that may still be read from the connection; unbounded if chunked.
    body_left: Option<u64>,
    read_timeout: Duration,
    write_timeout: Duration,
    read_limit: Option<Timer>,
    write_limit: Option<Timer>,
}

impl GuardedStream {
    pub(super) fn new(stream: TcpStream, read_timeout: Duration, write_timeout: Duration) -> Self {
        let state = GuardState {
            ahead: Vec::new(),
            used: 0,
            body_left: Some(0),
            read_timeout,
            write_timeout,
            read_limit: None,
            write_limit: None,
        };
        Self { stream, state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for the next head of up to `limit` bytes, up to `idle` for its first byte and the read timeout for all.
    pub(super) async fn next_head(&self, limit: usize, idle: Duration) -> Result<HeadOutcome> {
        let mut bytes = self.take_ahead();
        let mut deadline = Timer::after(if bytes.is_empty() { idle } else { self.lock().read_timeout });
        let mut piece = [0; 2_048];
        loop {
            if let Some(end) = head_end(&bytes) {
                return self.set_head(bytes, end);
            }
            if bytes.len() > limit {
                let message = format!("the head is larger than the limit of {limit} bytes");
                return Err(Error::new(ErrorKind::HeadTooLarge, message).param("head"));
            }
            let was_empty = bytes.is_empty();
            match read_before(&self.stream, &mut piece, &mut deadline).await {
                Some(Ok(count)) if count > 0 => bytes.extend_from_slice(&piece[..count]),
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

    /// Waits until the caller has closed its side.
    pub(super) async fn hung_up(&self) {
        const RECHECK: Duration = Duration::from_millis(100);
        let mut probe = [0; 1];
        // Data that waits is a body or a next request; the end can be seen only behind it.
        while let Ok(1..) = self.stream.peek(&mut probe).await {
            Timer::after(RECHECK).await;
        }
    }

    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn take_ahead(&self) -> Vec<u8> {
        let mut state = self.lock();
        let used = state.used;
        let rest = state.ahead.split_off(used);
        state.ahead.clear();
        state.used = 0;
        rest
    }

    fn set_head(&self, bytes: Vec<u8>, end: usize) -> Result<HeadOutcome> {
        let head = RequestHead::parse(&bytes[..end])?;
        let early = (bytes.len() - end) as u64;
        let mut state = self.lock();
        state.body_left = head.content_length.map(|length| length.saturating_sub(early));
        state.ahead = bytes;
        Ok(HeadOutcome::Ready)
    }

    fn lock(&self) -> MutexGuard<'_, GuardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Read for GuardedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut state = this.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.used < state.ahead.len() {
            let count = buf.len().min(state.ahead.len() - state.used);
            let start = state.used;
            buf[..count].copy_from_slice(&state.ahead[start..start + count]);
            state.used += count;
            if state.used == state.ahead.len() {
                // A stream may last for minutes; its head is not needed any more.
                state.ahead = Vec::new();
                state.used = 0;
            }
            return Poll::Ready(Ok(count));
        }
        let room = state.body_left.map_or(buf.len(), |left| buf.len().min(left as usize));
        if room == 0 {
            return Poll::Ready(Ok(0));
        }
        match Pin::new(&mut this.stream).poll_read(cx, &mut buf[..room]) {
            Poll::Ready(outcome) => {
                state.read_limit = None;
                if let (Ok(count), Some(left)) = (&outcome, &mut state.body_left) {
                    *left -= *count as u64;
                }
                Poll::Ready(outcome)
            }
            Poll::Pending => {
                let timeout = state.read_timeout;
                expire(&mut state.read_limit, timeout, cx)
            }
        }
    }
}

impl Write for GuardedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if let Poll::Ready(outcome) = Pin::new(&mut this.stream).poll_write(cx, buf) {
            return Poll::Ready(outcome);
        }
        let mut state = this.state.lock().unwrap_or_else(PoisonError::into_inner);
        let timeout = state.write_timeout;
        expire(&mut state.write_limit, timeout, cx)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.lock().write_limit = None;
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_close(cx)
    }
}

/// Reads once; none if the deadline comes first.
async fn read_before(mut stream: &TcpStream, piece: &mut [u8], deadline: &mut Timer) -> Option<io::Result<usize>> {
    match select(stream.read(piece), deadline).await {
        Either::Left((outcome, _)) => Some(outcome),
        Either::Right(_) => None,
    }
}

/// Pending until the limit, which starts with the first call, then a timeout error.
fn expire(limit: &mut Option<Timer>, timeout: Duration, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
    let timer = limit.get_or_insert_with(|| Timer::after(timeout));
    ready!(Pin::new(timer).poll(cx));
    *limit = None;
    Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
}
