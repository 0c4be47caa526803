use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::{Receiver, Sender};
use async_std::io::{BufRead, Read, ReadExt};
use futures::Stream;
use hollyhook_core::{Error, ErrorKind, Result};
use tide::Body;

/// The sending end of a body that is streamed in chunks; the body ends when every clone of the sender is dropped.
#[derive(Debug, Clone)]
pub struct BodySender {
    sender: Sender<Vec<u8>>,
}

impl BodySender {
    /// Sends a chunk, waiting while the buffer is full.
    ///
    /// Returns `false` if the body has been dropped.
    pub async fn send(&self, chunk: Vec<u8>) -> bool {
        self.sender.send(chunk).await.is_ok()
    }

    /// Whether the body has been dropped.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the body has been dropped.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// Creates a body of unknown length and its sender, with a buffer of `capacity` chunks between them.
pub fn body_channel(capacity: usize) -> (BodySender, Body) {
    let (sender, receiver) = async_channel::bounded(capacity);
    let reader = ChannelReader { chunks: Box::pin(receiver), chunk: Vec::new(), consumed: 0 };
    (BodySender { sender }, Body::from_reader(reader, None))
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// `BodyTooLarge` if the body exceeds the limit, `RequestTimeout` if reading it times out, `InvalidRequest` if reading
/// it fails in any other way.
pub async fn read_body(body: Body, limit: usize) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let outcome = body.take(limit as u64 + 1).read_to_end(&mut bytes).await;
    if bytes.len() > limit {
        let message = format!("the body is larger than the limit of {limit} bytes");
        return Err(Error::new(ErrorKind::BodyTooLarge, message));
    }
    match outcome {
        Ok(_) => Ok(bytes),
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            Err(Error::new(ErrorKind::RequestTimeout, "the body did not arrive whole in time"))
        }
        Err(error) => Err(Error::new(ErrorKind::InvalidRequest, format!("the body broke off: {error}"))),
    }
}

/// The receiving end of a streamed body.
struct ChannelReader {
    chunks: Pin<Box<Receiver<Vec<u8>>>>,
    chunk: Vec<u8>,
    /// The number of bytes of `chunk` that have been consumed.
    consumed: usize,
}

impl BufRead for ChannelReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.consumed == this.chunk.len() {
            match ready!(this.chunks.as_mut().poll_next(cx)) {
                Some(chunk) => {
                    this.chunk = chunk;
                    this.consumed = 0;
                }
                None => return Poll::Ready(Ok(&[])),
            }
        }
        Poll::Ready(Ok(&this.chunk[this.consumed..]))
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        self.consumed += amt;
    }
}

impl Read for ChannelReader {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = available.len().min(buf.len());
        buf[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
